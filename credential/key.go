package credential

import (
	"strings"

	"github.com/pkg/errors"
)

// Key is an API key.
type Key string

// redacted is the formatted value of every key.
const redacted = "[key]"

// String implements fmt.Stringer. It does not contain the key.
func (Key) String() string { return redacted }

// GoString implements fmt.GoStringer. It does not contain the key.
func (Key) GoString() string { return redacted }

// maxKeyLen bounds the length of a key, in bytes.
const maxKeyLen = 512

// Errors of Parse. They do not contain any part of the header field.
var (
	ErrMissing   = errors.New("no API key")
	ErrSeveral   = errors.New("more than one Authorization field")
	ErrMalformed = errors.New("the Authorization field is not a scheme and a key")
)

// Parse returns the key in the values of the Authorization field (RFC 9110, section 11.6.2): the scheme,
// whose case does not matter, spaces, and the key.
func Parse(scheme string, values []string) (Key, error) {
	switch len(values) {
	case 0:
		return "", errors.WithStack(ErrMissing)
	case 1:
	default:
		return "", errors.WithStack(ErrSeveral)
	}
	got, key, _ := strings.Cut(values[0], " ")
	key = strings.TrimLeft(key, " ")
	if !strings.EqualFold(got, scheme) || key == "" || len(key) > maxKeyLen || strings.ContainsFunc(key, notVisible) {
		return "", errors.WithStack(ErrMalformed)
	}
	return Key(key), nil
}

// notVisible reports whether c is not a visible ASCII character. A comma would separate the credentials of
// several fields that were joined.
func notVisible(c rune) bool { return c <= ' ' || c > '~' || c == ',' }
