package proxy

import (
	"errors"
	"io"
	"net/http"
	"os"

	"github.com/clementinereel/clementinereel/problem"
)

// limitBody bounds the request's body in size and in time: a caller that
// sends slowly is cut off at the request's deadline.
func limitBody(x *exchange) *problem.Problem {
	if x.r.ContentLength > x.route.MaxBody {
		return tooLarge()
	}
	rc := http.NewResponseController(x.w)
	_ = rc.SetReadDeadline(x.deadline) // not offered by test recorders
	x.r.Body = http.MaxBytesReader(x.w, x.r.Body, x.route.MaxBody)
	return nil
}

// readBody reads the whole body of a request within its bounds.
func readBody(x *exchange) ([]byte, *problem.Problem) {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil, nil
	}
	if p := limitBody(x); p != nil {
		return nil, p
	}
	body, err := io.ReadAll(x.r.Body)
	if err != nil {
		return nil, bodyProblem(err)
	}
	return body, nil
}

// bodyProblem says why a caller's body could not be read.
func bodyProblem(err error) *problem.Problem {
	var max *http.MaxBytesError
	switch {
	case errors.As(err, &max):
		return tooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return problem.New(http.StatusRequestTimeout, problem.BodyTimeout, "the body did not arrive within the route's deadline")
	}
	return problem.New(http.StatusBadRequest, problem.BadRequest, "the body broke off")
}

func tooLarge() *problem.Problem {
	return problem.New(http.StatusRequestEntityTooLarge, problem.BodyTooLarge, "the body is larger than the contract allows")
}
