package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a response that is cut off although its caller reads it, slowly, and still waits.
func TestResponseIsWrittenAsLongAsCallerWaits(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name           string
		callerDeadline time.Time
		want           time.Duration
	}{
		{"the caller has not said how long it waits", time.Time{}, minWriteTimeout},
		{"the caller waits for a short time", now.Add(time.Second), minWriteTimeout},
		{"the caller waits for longer", now.Add(12 * time.Second), 12 * time.Second},
		{"the caller waits for very long", now.Add(time.Hour), maxWriteTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := &call{callerDeadline: tc.callerDeadline}
			assert.Equal(t, c.writeDeadline(now).Sub(now), tc.want)
		})
	}
}
