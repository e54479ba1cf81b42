package peer

import (
	"time"

	"github.com/pkg/errors"
)

// Settings bounds the calls between instances. The zero value of a field means
// its default.
type Settings struct {
	// Secret, if not empty, is demanded of every caller and sent with every
	// call. All instances must have the same one.
	Secret string
	// ConnectTimeout bounds a new connection to a peer. Default 300 ms.
	ConnectTimeout time.Duration
	// PingAfter is how long a call waits for its answer before the peer is
	// pinged, and again as long after each ping. Default 300 ms.
	PingAfter time.Duration
	// PingTimeout is how long a peer may take to answer a ping before the
	// path counts as cut. It must cover the pauses of a busy process.
	// Default 500 ms.
	PingTimeout time.Duration
	// RetryMin and RetryMax bound the time after which a path that is cut is
	// tried again; it doubles from one to the other. Defaults 1 s and 15 s.
	RetryMin, RetryMax time.Duration
	// IdleTimeout closes connections that carry no call. Default 30 s.
	IdleTimeout time.Duration
	// CallTimeout bounds a call on the server's side. Default 60 s.
	CallTimeout time.Duration
	// MaxBody bounds the body of a call and of its answer, in bytes.
	// Default 8 MiB.
	MaxBody int64
	// MaxHeader bounds the headers of a call, in bytes. Default 16 KiB.
	MaxHeader int
	// MaxCalls bounds the calls that one connection carries at a time.
	// Default 256.
	MaxCalls int
	// MaxRelayed bounds the calls that an instance forwards at a time; above
	// it, it refuses to. Default 128.
	MaxRelayed int
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// withDefaults fills in the fields that are zero.
func (s Settings) withDefaults() Settings {
	setDefault(&s.ConnectTimeout, 300*time.Millisecond)
	setDefault(&s.PingAfter, 300*time.Millisecond)
	setDefault(&s.PingTimeout, 500*time.Millisecond)
	setDefault(&s.RetryMin, time.Second)
	setDefault(&s.RetryMax, 15*time.Second)
	setDefault(&s.IdleTimeout, 30*time.Second)
	setDefault(&s.CallTimeout, 60*time.Second)
	setDefault(&s.MaxBody, 8<<20)
	setDefault(&s.MaxHeader, 16<<10)
	setDefault(&s.MaxCalls, 256)
	setDefault(&s.MaxRelayed, 128)
	return s
}

// Check returns an error if a field is out of range.
func (s Settings) Check() error {
	s = s.withDefaults()
	for _, d := range []time.Duration{
		s.ConnectTimeout, s.PingAfter, s.PingTimeout,
		s.RetryMin, s.RetryMax, s.IdleTimeout, s.CallTimeout,
	} {
		if d < 0 {
			return errors.Errorf("peer: negative time %v", d)
		}
	}
	if s.RetryMax < s.RetryMin {
		return errors.Errorf("peer: retry max %v below retry min %v", s.RetryMax, s.RetryMin)
	}
	if s.MaxBody < 0 || s.MaxHeader < 0 || s.MaxCalls < 0 || s.MaxRelayed < 0 {
		return errors.New("peer: negative bound")
	}
	return nil
}
