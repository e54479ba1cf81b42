package response

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalid is the error of a response that is not one of HTTP. The server may have run the request.
var ErrInvalid = errors.New("invalid response")

// Check returns an error that wraps ErrInvalid if the status or a field is none of HTTP's. A field whose name holds a
// blank could be one that frames the body, such as Content-Length.
func Check(status int, h http.Header) error {
	if status < http.StatusContinue {
		return errors.Wrapf(ErrInvalid, "status %03d", status)
	}
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrInvalid, "field name %q", shorten(name))
		}
		for _, v := range values {
			if strings.ContainsAny(v, "\x00\r\n") {
				return errors.Wrapf(ErrInvalid, "value of field %q", shorten(name))
			}
		}
	}
	return nil
}

// maxQuotedBytes limits how much of a response an error quotes.
const maxQuotedBytes = 40

func shorten(s string) string { return s[:min(len(s), maxQuotedBytes)] }

// EndsWithConnection reports whether the end of the connection ends the body of a response.
func EndsWithConnection(r *http.Response) bool {
	return r.ProtoMajor == 1 && r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}
