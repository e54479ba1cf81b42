package follow

import "time"

// Settings tune a Follower. The zero value of a field means its default.
type Settings struct {
	// ReadLimit bounds the records of one read of the log. Default 1000.
	ReadLimit int
	// ReadWait is how long a read of the log waits for a new record. It
	// bounds how old Follower.Contact gets while the log answers. Default 5 s.
	ReadWait time.Duration
	// RetryMin and RetryMax bound the pause after an error; it doubles from
	// one to the other. Defaults 100 ms and 2 s.
	RetryMin, RetryMax time.Duration
	// Upstreams is how many long polls are held at peers while the log cannot
	// be relied on. Default 2.
	Upstreams int
	// Fanout is how many peers are told of each advance. Default 3.
	Fanout int
	// PeerWait is how long a peer may hold a pull while it has nothing newer.
	// Default 5 s.
	PeerWait time.Duration
	// PeerInterval is the time between looks at the peers' offsets. Default
	// 250 ms.
	PeerInterval time.Duration
	// Retention is how long the log keeps a record. A checkpoint is appended
	// when the newest one is a quarter as old. Default 24 h.
	Retention time.Duration
	// CheckpointRecords is how many records may follow the newest checkpoint
	// before another is appended. Default 5000.
	CheckpointRecords int
	// CheckpointInterval is the time between looks at whether a checkpoint is
	// due. Default 10 s.
	CheckpointInterval time.Duration
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// withDefaults fills in the fields that are zero.
func (s Settings) withDefaults() Settings {
	setDefault(&s.ReadLimit, 1000)
	setDefault(&s.ReadWait, 5*time.Second)
	setDefault(&s.RetryMin, 100*time.Millisecond)
	setDefault(&s.RetryMax, 2*time.Second)
	setDefault(&s.Upstreams, 2)
	setDefault(&s.Fanout, 3)
	setDefault(&s.PeerWait, 5*time.Second)
	setDefault(&s.PeerInterval, 250*time.Millisecond)
	setDefault(&s.Retention, 24*time.Hour)
	setDefault(&s.CheckpointRecords, 5000)
	setDefault(&s.CheckpointInterval, 10*time.Second)
	return s
}
