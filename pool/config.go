package pool

import "time"

// Config configures the connections to targets.
type Config struct {
	// DialTimeout limits the time to open one connection. Default "250ms".
	DialTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed. It must
	// be shorter than the idle timeout of the targets; otherwise a request may
	// be sent on a connection that the target is closing. Default "45s".
	IdleTimeout time.Duration
	// KeepAlive is the time between TCP keep-alive probes on an idle
	// connection. Default "60s".
	KeepAlive time.Duration
	// ContinueTimeout is how long a request with "Expect: 100-continue" waits
	// for a response before its body is sent anyway. Default "1s".
	ContinueTimeout time.Duration
	// Warm is the number of connections to each target that are kept open ahead
	// of use, within the instance's share. Default 1; -1 for none.
	Warm int
	// MaxHeader limits the size of a response header in bytes. Default 64 KiB.
	MaxHeader int64
	// BufferSize is the size in bytes of each connection's read buffer and
	// of its write buffer. Default 4 KiB.
	BufferSize int
}

// Defaults of Config.
const (
	DefaultDialTimeout = 250 * time.Millisecond
	DefaultIdleTimeout = 45 * time.Second
	DefaultKeepAlive   = time.Minute
	DefaultContinue    = time.Second
	DefaultWarm        = 1
	DefaultMaxHeader   = 64 << 10
	DefaultBufferSize  = 4 << 10
)

func (c Config) withDefaults() Config {
	c.DialTimeout = orDefault(c.DialTimeout, DefaultDialTimeout)
	c.IdleTimeout = orDefault(c.IdleTimeout, DefaultIdleTimeout)
	c.KeepAlive = orDefault(c.KeepAlive, DefaultKeepAlive)
	c.ContinueTimeout = orDefault(c.ContinueTimeout, DefaultContinue)
	c.Warm = orDefault(c.Warm, DefaultWarm)
	c.MaxHeader = orDefault(c.MaxHeader, DefaultMaxHeader)
	c.BufferSize = orDefault(c.BufferSize, DefaultBufferSize)
	return c
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
