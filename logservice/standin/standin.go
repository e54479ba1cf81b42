package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/logservice"
)

// Defaults of Options.
const (
	// DefaultAppendRate is the log's rate limit, in appends a second.
	DefaultAppendRate = 500
	// DefaultMaxRecord bounds one record, in bytes.
	DefaultMaxRecord = 1 << 20
	// DefaultMaxWait bounds a long poll.
	DefaultMaxWait = 30 * time.Second
)

// Options set up a Server. The zero value serves without faults.
type Options struct {
	// AppendRate bounds the appends of all streams together, a second; above
	// it they are refused with 429. Default DefaultAppendRate; negative: no
	// limit.
	AppendRate float64
	// MaxRecord bounds the data of one record, in bytes. Default
	// DefaultMaxRecord.
	MaxRecord int64
	// Faults are the faults from the start on. Default none.
	Faults Faults
	// Now is the clock of the log. Default time.Now.
	Now func() time.Time
}

// Server is the log and the list. It is safe for concurrent use.
type Server struct {
	opts Options

	mu      sync.Mutex
	faults  Faults
	streams map[string]*stream
	list    list
	bucket  bucket
	// faultsChanged is closed when faults change.
	faultsChanged chan struct{}
}

// stream holds the kept records of one stream. The first of them has offset
// first.
type stream struct {
	first   logservice.Offset
	records []logservice.WireRecord
	// grown is closed when a record is added.
	grown chan struct{}
}

func (s *stream) next() logservice.Offset { return s.first + logservice.Offset(len(s.records)) }

// New returns a server without records or instances.
func New(o Options) *Server {
	if o.AppendRate == 0 {
		o.AppendRate = DefaultAppendRate
	}
	if o.MaxRecord <= 0 {
		o.MaxRecord = DefaultMaxRecord
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Server{
		opts:          o,
		faults:        o.Faults,
		streams:       make(map[string]*stream),
		bucket:        bucket{rate: o.AppendRate, tokens: o.AppendRate},
		faultsChanged: make(chan struct{}),
	}
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", s.platformCall(s.serveAppend))
	mux.HandleFunc("GET /v1/streams/{stream}/records", s.platformCall(s.serveRead))
	mux.HandleFunc("GET /v1/instances", s.platformCall(s.serveInstances))
	mux.HandleFunc("PUT /v1/instances/{id}", s.servePut)
	mux.HandleFunc("DELETE /v1/instances/{id}", s.serveDelete)
	mux.HandleFunc("GET /faults", s.serveFaults)
	mux.HandleFunc("PUT /faults", s.serveSetFaults)
	return mux
}

// stream returns a stream, which exists from its first use on.
func (s *Server) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{grown: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// bucket is a token bucket of one second's depth.
type bucket struct {
	rate   float64
	tokens float64
	last   time.Time
}

func (b *bucket) take(now time.Time) bool {
	if b.rate < 0 {
		return true
	}
	if !b.last.IsZero() {
		b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.last).Seconds())
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
