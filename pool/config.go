package pool

import "time"

// Config bounds the connections to targets.
type Config struct {
	// DialTimeout bounds the opening of one connection. Default "250ms".
	DialTimeout time.Duration
	// IdleTimeout closes a connection that was idle for so long. It has to be
	// less than the targets' own, or a request may meet a connection that the
	// target is just closing. Default "45s".
	IdleTimeout time.Duration
	// KeepAlive is the time between TCP keep-alive probes on an idle
	// connection. Default "60s".
	KeepAlive time.Duration
	// ContinueTimeout is how long a request with "Expect: 100-continue" waits
	// for the target's word before its body is sent all the same. Default "1s".
	ContinueTimeout time.Duration
	// Warm is how many connections to each target are kept open ahead of
	// use, within the instance's share. Default 1; -1 for none.
	Warm int
	// MaxHeader bounds the header of an answer in bytes. Default 64 KiB.
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
