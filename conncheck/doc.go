// Package conncheck checks idle connections before they are reused.
package conncheck
