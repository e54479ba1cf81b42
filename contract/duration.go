package contract

import (
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration that JSON writes with its unit, as "800ms".
type Duration time.Duration

// D returns the duration as the standard library's type.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalText writes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration with its unit, as time.ParseDuration does.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.Errorf("%q is not a duration: write a number with its unit, as \"800ms\" or \"2s\"", b)
	}
	*d = Duration(v)
	return nil
}
