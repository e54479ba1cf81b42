package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Times of a stop of 1 s: requests that would be cut are refused from 0.6 s on, the process ends at 0.96 s.
const (
	stopGrace = time.Second
	// lateInStop is a time at which they are refused.
	lateInStop = 750 * time.Millisecond
	// longDeadline is a deadline that is after the end.
	longDeadline = 4 * time.Second
)

// TestStopRefusesBodiesThatEndLate guards against uploads and confirmations whose bodies end late in a stop: they
// were passed on to targets and cut off at the end of the process.
func TestStopRefusesBodiesThatEndLate(t *testing.T) {
	for _, tc := range []struct{ name, method, path, framing, first, last string }{
		{"upload", "PUT", "/file/1", "Content-Length: 8", "half", "half"},
		{"confirmation", "POST", "/long/1", "Content-Length: 8", "half", "half"},
		{"chunks", "POST", "/long/1", "Transfer-Encoding: chunked", "4\r\nhalf\r\n", "0\r\n\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBackend(t, hang)
			url, stop := startGatewayWithGrace(t, stopGrace, b)
			conn, err := net.Dial("tcp4", strings.TrimPrefix(url, "http://"))
			assert.NilError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h\r\n%s: late-body\r\n%s: %d\r\n%s\r\n\r\n%s", tc.method, tc.path,
				headerNames.RequestID, headerNames.Deadline, longDeadline.Milliseconds(), tc.framing, tc.first)
			assert.NilError(t, err)
			stop()
			time.Sleep(lateInStop)
			_, err = io.WriteString(conn, tc.last)
			assert.NilError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer resp.Body.Close()
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
			assert.Assert(t, resp.Header.Get("Retry-After") != "")
			assert.Equal(t, totalRuns(b), 0)
		})
	}
}

// TestStopRefusesWhatWasRejectedLate guards against requests that a target rejects late in a stop: they were
// sent to another one and cut off there.
func TestStopRefusesWhatWasRejectedLate(t *testing.T) {
	for _, tc := range []struct{ method, path string }{{"POST", "/long/1"}, {"GET", "/file/1"}} {
		t.Run(tc.method+" "+tc.path, func(t *testing.T) {
			stopped, began := make(chan struct{}), time.Time{}
			rejectLate := func(w http.ResponseWriter, _ *http.Request) {
				<-stopped
				time.Sleep(time.Until(began.Add(lateInStop)))
				w.Header().Set(headerNames.NotRun, "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			bs := []*backend{newBackend(t, rejectLate), newBackend(t, rejectLate)}
			url, stop := startGatewayWithGrace(t, stopGrace, bs...)
			done := make(chan int, 1)
			go func() {
				status, _, _ := sendRequestWithDeadline(t.Context(), t, tc.method, url+tc.path, longDeadline)
				done <- status
			}()
			for totalRuns(bs...) == 0 {
				time.Sleep(time.Millisecond)
			}
			stop()
			began = time.Now()
			close(stopped)
			assert.Equal(t, <-done, http.StatusServiceUnavailable)
			assert.Equal(t, totalRuns(bs...), 1, "no second attempt")
		})
	}
}
