package header

import (
	"net/http"

	"github.com/pkg/errors"
)

// CheckStatus returns an error if a response's status is none of HTTP's. net/http reads statuses below 100 but panics
// if one is to be written.
func CheckStatus(status int) error {
	if status < http.StatusContinue {
		return errors.Errorf("invalid status %03d", status)
	}
	return nil
}
