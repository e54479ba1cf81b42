package requestid

import (
	"github.com/google/uuid"
)

// maxLen limits a caller's request ID, in bytes.
const maxLen = 128

// Accept returns the caller's id if it is safe to log, and a new UUID otherwise.
func Accept(id string) string {
	if valid(id) {
		return id
	}
	return uuid.NewString()
}

// valid reports whether id consists of 1 to maxLen printable ASCII characters other
// than space, quote and backslash.
func valid(id string) bool {
	if id == "" || len(id) > maxLen {
		return false
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}
