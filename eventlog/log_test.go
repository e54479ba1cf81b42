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

// blockedWriter blocks each write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

type syncBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func resetOutput() {
	klog.SetOutput(os.Stderr)
	lineLimiter = limiter{tokens: LinesBurst, last: time.Now()}
}

func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	defer resetOutput()
	b := &blockedWriter{make(chan struct{})}
	defer close(b.release)
	start(b)
	before := Dropped()
	begin := time.Now()
	for range 3 * maxQueuedLines {
		Info(Started) // exempt from the rate limit
	}
	assert.Assert(t, time.Since(begin) < 2*time.Second)
	assert.Assert(t, Dropped()-before > maxQueuedLines, "dropped lines are counted")
}

func TestRateLimit(t *testing.T) {
	defer resetOutput()
	s := new(syncBuffer)
	start(s)
	lineLimiter = limiter{tokens: LinesBurst, last: time.Now()}
	before := droppedByRate.Load()
	for range 10 * LinesBurst {
		Info(AttemptFailed, "request", "x")
	}
	Flush(time.Second)
	lines := strings.Count(s.String(), string(AttemptFailed))
	assert.Assert(t, lines >= LinesBurst && lines < LinesBurst+LinesPerSecond, lines)
	assert.Equal(t, droppedByRate.Load()-before, int64(10*LinesBurst-lines))
}

func TestLineHasKeysAndValues(t *testing.T) {
	defer resetOutput()
	s := new(syncBuffer)
	start(s)
	Error(StoreUnreachable, io.ErrUnexpectedEOF, "stream", "targets")
	Flush(time.Second)
	assert.Assert(t, strings.Contains(s.String(), `"store-lost" err="unexpected EOF" stream="targets"`), s.String())
}
