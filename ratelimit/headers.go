package ratelimit

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// SetHeaders writes the RateLimit and RateLimit-Policy fields of the IETF
// httpapi draft (structured fields, one policy named "contract") and, for a
// refused request, Retry-After. The policy's window is the time in which the
// rate refills the burst, at least one second.
func SetHeaders(h http.Header, d Decision) {
	if d.Limit.Rate > 0 {
		h["Ratelimit-Policy"] = []string{policy(d.Limit)}
		h["Ratelimit"] = []string{state(d)}
	}
	if !d.OK {
		SetRetryAfter(h, d.RetryAfter)
	}
}

// SetRetryAfter writes Retry-After in whole seconds, rounded up and at
// least 1.
func SetRetryAfter(h http.Header, d time.Duration) {
	h["Retry-After"] = []string{strconv.FormatInt(wholeSeconds(d), 10)}
}

func policy(l Limit) string {
	window := max(1, int64(math.Ceil(l.Burst/l.Rate)))
	quota := int64(math.Max(l.Burst, l.Rate*float64(window)))
	return `"contract";q=` + strconv.FormatInt(quota, 10) + `;w=` + strconv.FormatInt(window, 10)
}

func state(d Decision) string {
	left := int64(math.Max(0, d.Remaining))
	return `"contract";r=` + strconv.FormatInt(left, 10) + `;t=` + strconv.FormatInt(wholeSeconds(d.Reset), 10)
}

func wholeSeconds(d time.Duration) int64 {
	return max(1, int64(math.Ceil(d.Seconds())))
}
