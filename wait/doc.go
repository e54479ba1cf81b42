// Package wait holds the pauses of loops that end with a context.
package wait
