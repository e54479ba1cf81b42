package eventlog

import (
	"flag"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// Limits of the log volume.
const (
	// LinesPerSecond and LinesBurst limit the lines of all events except unlimitedEvents.
	// At about 250 bytes per line this is 25 KB/s.
	LinesPerSecond = 100
	LinesBurst     = 400
	// maxQueuedLines limits the lines that wait for standard output.
	maxQueuedLines = 1024
	// reportInterval is the interval at which the number of dropped lines is logged.
	reportInterval = 5 * time.Second
)

// unlimitedEvents are exempt from the rate limit.
var unlimitedEvents = map[Event]bool{
	Started: true, Stopping: true, Stopped: true, SettingsReloaded: true, SettingsRefused: true,
	StoreUnreachable: true, StoreReachable: true, StoreUnavailable: true, StoreOutage: true, ReadyChanged: true, LinesDropped: true,
	DocumentApplied: true, DocumentRefused: true,
}

// limiter is a token bucket with LinesPerSecond and LinesBurst.
type limiter struct {
	mu     sync.Mutex
	tokens float64
	last   time.Time
}

func (l *limiter) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens = min(l.tokens+now.Sub(l.last).Seconds()*LinesPerSecond, LinesBurst)
	l.last = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

var (
	lineLimiter     = limiter{tokens: LinesBurst, last: time.Now()}
	droppedByRate   atomic.Int64 // lines dropped by the rate limit
	droppedByOutput atomic.Int64 // lines dropped because the queue was full or the write failed
)

// Dropped returns the number of lines dropped so far.
func Dropped() int64 { return droppedByRate.Load() + droppedByOutput.Load() }

// Info logs an event with key/value pairs.
func Info(e Event, keysAndValues ...any) {
	if allowed(e) {
		klog.InfoSDepth(1, string(e), keysAndValues...)
	}
}

// Error logs an event with the error that caused it and key/value pairs.
func Error(e Event, err error, keysAndValues ...any) {
	if allowed(e) {
		klog.ErrorSDepth(1, err, string(e), keysAndValues...)
	}
}

func allowed(e Event) bool {
	if unlimitedEvents[e] || lineLimiter.allow(time.Now()) {
		return true
	}
	droppedByRate.Add(1)
	return false
}

// queue is an io.Writer that drops lines instead of blocking.
type queue struct {
	lines chan []byte
	// pending is the number of accepted lines that are not written yet.
	pending atomic.Int64
}

// Write implements io.Writer.
func (q *queue) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	q.pending.Add(1)
	select {
	case q.lines <- line:
	default:
		q.pending.Add(-1)
		droppedByOutput.Add(1)
	}
	return len(b), nil
}

// drain writes queued lines to w. It never returns.
func (q *queue) drain(w io.Writer) {
	for line := range q.lines {
		if _, err := w.Write(line); err != nil {
			droppedByOutput.Add(1)
		}
		q.pending.Add(-1)
	}
}

// flush waits until all accepted lines are written, for at most timeout.
func (q *queue) flush(timeout time.Duration) {
	for end := time.Now().Add(timeout); q.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// output is the queue created by Start, or nil.
var output atomic.Pointer[queue]

// Flush waits until all accepted lines are written, for at most timeout.
func Flush(timeout time.Duration) {
	if q := output.Load(); q != nil {
		q.flush(timeout)
	}
}

// Start directs all lines to standard output.
func Start() { start(os.Stdout) }

func start(w io.Writer) {
	fs := flag.NewFlagSet("klog", flag.PanicOnError)
	klog.InitFlags(fs)
	for name, value := range map[string]string{
		"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true",
	} {
		if err := fs.Set(name, value); err != nil {
			panic(err) // unreachable: klog defines these flags
		}
	}
	q := &queue{lines: make(chan []byte, maxQueuedLines)}
	klog.SetOutput(q)
	go q.drain(w)
	output.Store(q)
	go report()
}

// report logs the number of dropped lines every reportInterval if it has grown.
func report() {
	var reported int64
	for range time.Tick(reportInterval) {
		if n := Dropped(); n != reported {
			klog.InfoS(string(LinesDropped), "since_last", n-reported, "total", n, "by_rate", droppedByRate.Load(), "by_output", droppedByOutput.Load())
			reported = n
		}
	}
}
