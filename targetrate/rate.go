package targetrate

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Rate is a number of requests per second.
type Rate float64

const (
	// MinRate is the lowest rate that is applied; lower ones are raised to it, since a target
	// without any requests cannot announce its recovery.
	MinRate Rate = 0.1
	// MaxRate is the highest rate that is accepted.
	MaxRate Rate = 1e6
	// maxTextLen bounds the text of a rate, in bytes.
	maxTextLen = 32
)

// Cause is the reason for which an announced rate was refused.
type Cause string

// Causes, as they appear in logs and metrics.
const (
	SeveralFields Cause = "several-fields"
	TooLong       Cause = "too-long"
	NotANumber    Cause = "no-number"
	OutOfRange    Cause = "out-of-range"
	Unverified    Cause = "not-vouched-for"
)

// RefusedError is the error for a header field that does not contain a valid rate.
type RefusedError struct{ Cause Cause }

// Error implements the error interface.
func (r *RefusedError) Error() string { return "rate refused: " + string(r.Cause) }

// Parse parses the header fields in which a target announces its rate. It returns false if there are none.
// Rates below MinRate are raised to it. If it returns an error, the rate in force stays as it is.
func Parse(fields []string) (rate Rate, announced bool, err error) {
	switch len(fields) {
	case 0:
		return 0, false, nil
	case 1:
	default:
		return 0, true, errors.WithStack(&RefusedError{SeveralFields})
	}
	text := fields[0]
	if len(text) > maxTextLen {
		return 0, true, errors.WithStack(&RefusedError{TooLong})
	}
	if strings.ContainsFunc(text, notDecimal) {
		return 0, true, errors.WithStack(&RefusedError{NotANumber})
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, true, errors.WithStack(&RefusedError{NotANumber})
	}
	if v <= 0 || Rate(v) > MaxRate {
		return 0, true, errors.WithStack(&RefusedError{OutOfRange})
	}
	return max(Rate(v), MinRate), true, nil
}

// notDecimal reports whether c cannot occur in a decimal number, which excludes NaN, Inf and other bases.
func notDecimal(c rune) bool { return !strings.ContainsRune("0123456789.+-eE", c) }
