// Package credential holds the API keys by which callers authenticate.
//
// A key is a secret: its formatted value is a placeholder, so that logs, errors and metrics never
// contain one.
package credential
