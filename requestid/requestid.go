package requestid

import (
	"github.com/google/uuid"
)

// maxLen bounds an id that a caller brings, in bytes.
const maxLen = 128

// Accept returns the id that a caller brought if it is fit to be logged, and
// a new one otherwise.
func Accept(id string) string {
	if valid(id) {
		return id
	}
	return uuid.NewString()
}

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
