// Package conncheck looks at connections that nobody reads.
package conncheck
