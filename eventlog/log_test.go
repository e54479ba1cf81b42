package eventlog

import (
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"
)

// blocked is a standard output that nobody reads.
type blocked struct{ release chan struct{} }

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

type sink struct {
	mu sync.Mutex
	b  strings.Builder
}

func (s *sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *sink) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func restore() {
	klog.SetOutput(os.Stderr)
	rate = limiter{tokens: LinesBurst, at: time.Now()}
}

func TestABlockedOutputHoldsNobodyUp(t *testing.T) {
	defer restore()
	b := &blocked{make(chan struct{})}
	defer close(b.release)
	start(b)
	before := Dropped()
	begin := time.Now()
	for range 3 * queueLines {
		Info(Started) // not limited by the rate
	}
	assert.Assert(t, time.Since(begin) < 2*time.Second)
	assert.Assert(t, Dropped()-before > queueLines, "what was left out is counted")
}

func TestTheRateBoundsTheVolume(t *testing.T) {
	defer restore()
	s := new(sink)
	start(s)
	rate = limiter{tokens: LinesBurst, at: time.Now()}
	before := limited.Load()
	for range 10 * LinesBurst {
		Info(AttemptFailed, "request", "x")
	}
	Flush(time.Second)
	lines := strings.Count(s.String(), string(AttemptFailed))
	assert.Assert(t, lines >= LinesBurst && lines < LinesBurst+LinesPerSecond, lines)
	assert.Equal(t, limited.Load()-before, int64(10*LinesBurst-lines))
}

func TestALineIsKeysAndValues(t *testing.T) {
	defer restore()
	s := new(sink)
	start(s)
	Error(StoreLost, io.ErrUnexpectedEOF, "stream", "targets")
	Flush(time.Second)
	assert.Assert(t, strings.Contains(s.String(), `"store-lost" err="unexpected EOF" stream="targets"`), s.String())
}
