// Package wait provides context-aware delays and backoff for loops.
package wait
