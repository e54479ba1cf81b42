package claim

import "time"

// RecorderConfig bounds a recorder of one partition.
type RecorderConfig struct {
	// Linger is how long a claim may wait for others to share its append.
	// Default 2 ms.
	Linger time.Duration
	// OutcomeLinger is the same for all other entries. No dispatch waits for
	// them, so they can share appends with claims. Default 50 ms.
	OutcomeLinger time.Duration
	// AppendRate bounds appends per second. Default 18, so that 16 partitions
	// stay within 300 per second.
	AppendRate float64
	// AppendBurst is how many appends may come at once above the rate.
	// Default 10.
	AppendBurst int
	// MaxBatch bounds the entries of one append. Default 512.
	MaxBatch int
	// MaxRecord bounds the estimated size of one append, in bytes. Default
	// 256 KiB.
	MaxRecord int
	// MaxPending bounds entries that wait to be appended or read back.
	// Default 4096. Beyond it claims are refused.
	MaxPending int
	// MaxKeys bounds the keys of the partition. Default 200000. Beyond it
	// claims are refused; no key is evicted.
	MaxKeys int
	// MaxSize bounds the estimated memory of the partition's keys and
	// answers, in bytes. Default 64 MiB.
	MaxSize int64
	// MaxWait is how long entries may wait without one being read back before
	// further claims are refused, because the log is down or too slow. Default 2 s.
	MaxWait time.Duration
	// RetryAppend is how long after a failed append an entry that was not
	// read back is appended again. Default 250 ms.
	RetryAppend time.Duration
}

// WithDefaults fills in the defaults.
func (c RecorderConfig) WithDefaults() RecorderConfig {
	setDefault(&c.Linger, 2*time.Millisecond)
	setDefault(&c.OutcomeLinger, 50*time.Millisecond)
	setDefault(&c.AppendRate, 18)
	setDefault(&c.AppendBurst, 10)
	setDefault(&c.MaxBatch, 512)
	setDefault(&c.MaxRecord, 256<<10)
	setDefault(&c.MaxPending, 4096)
	setDefault(&c.MaxKeys, 200_000)
	setDefault(&c.MaxSize, 64<<20)
	setDefault(&c.MaxWait, 2*time.Second)
	setDefault(&c.RetryAppend, 250*time.Millisecond)
	return c
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
