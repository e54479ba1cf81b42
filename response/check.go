package response

import (
	"net/http"

	"github.com/pkg/errors"
)

// ErrInvalid is the error of a response that is not one of HTTP. The server may have run the request.
var ErrInvalid = errors.New("invalid response")

// Check returns an error that wraps ErrInvalid if the status is none of HTTP's.
func Check(status int, _ http.Header) error {
	if status < http.StatusContinue {
		return errors.Wrapf(ErrInvalid, "status %03d", status)
	}
	return nil
}

// EndsWithConnection reports whether the end of the connection ends the body of a response.
func EndsWithConnection(r *http.Response) bool {
	return r.ProtoMajor == 1 && r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}
