package operate

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/clementinereel/clementinereel/claim"
	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/membership"
	"github.com/clementinereel/clementinereel/operation"
	"github.com/clementinereel/clementinereel/ticket"
)

// Settings limits the resources of a Service. It is part of an instance's
// settings file.
type Settings struct {
	// Partitions is the number of log streams that store the keys. Default 16.
	// It must be equal on all instances and must not change while keys are
	// retained.
	Partitions int `json:"partitions,omitempty"`
	// Recorders is the number of instances that read a partition. Default 2.
	Recorders int `json:"recorders,omitempty"`
	// ClaimTimeout bounds the wait for a claim. Default "2s".
	ClaimTimeout contract.Duration `json:"claim_timeout,omitempty"`
	// AppendsPerSecond bounds the appends to all partitions. Default 300.
	AppendsPerSecond float64 `json:"appends_per_second,omitempty"`
	// Linger is how long a claim waits to share an append. Default "2ms".
	Linger contract.Duration `json:"linger,omitempty"`
	// MaxRecordedAnswer is the largest answer body that is written to the log,
	// in bytes. Default 16384. A larger body is replayed only while the
	// instance that received it is running and has it in memory.
	MaxRecordedAnswer int `json:"max_recorded_answer_bytes,omitempty"`
	// MaxKeptAnswers bounds the memory for those larger answers, in bytes. Default 16 MiB.
	MaxKeptAnswers int64 `json:"max_kept_answers_bytes,omitempty"`
	// MaxAttempts bounds the keyed operations of the instance whose outcome
	// is not yet in the log. Default 20000.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// MaxPending bounds the entries that wait at a recorder for one
	// partition. Default 4096.
	MaxPending int `json:"max_pending_claims,omitempty"`
	// MaxKeys bounds the keys of one partition. Default 200000.
	MaxKeys int `json:"max_keys_per_partition,omitempty"`
	// MaxPartitionBytes bounds the memory of one partition. Default 64 MiB.
	MaxPartitionBytes int64 `json:"max_partition_bytes,omitempty"`
	// MaxTickets bounds the tickets of the instance. Default 50000.
	MaxTickets int `json:"max_tickets,omitempty"`
	// MaxSurveys bounds the keys that wait for a survey while the log is
	// unavailable. Default 1024. Beyond it the outcome is reported as unknown
	// and safe to repeat.
	MaxSurveys int `json:"max_surveys,omitempty"`
	// MaxSurveyed is the largest number of instances for which surveys are
	// made. Default 100. In larger fleets they would cost too much.
	MaxSurveyed int `json:"max_surveyed,omitempty"`
	// CheckpointInterval is the interval between snapshots of a partition in the
	// log.
	// Default "10m". It must be less than a quarter of the log's retention.
	CheckpointInterval contract.Duration `json:"checkpoint_interval,omitempty"`
	// GoneAfter is the time after which a process that the platform no longer
	// lists counts as ended. Default "1m". It must exceed the lag with which the
	// platform lists new instances.
	GoneAfter contract.Duration `json:"gone_after,omitempty"`
}

// WithDefaults returns s with unset fields replaced by their defaults.
func (s Settings) WithDefaults() Settings {
	orDefault(&s.Partitions, 16)
	orDefault(&s.Recorders, 2)
	orDefault(&s.ClaimTimeout, contract.Duration(2*time.Second))
	orDefault(&s.AppendsPerSecond, 300)
	orDefault(&s.Linger, contract.Duration(2*time.Millisecond))
	orDefault(&s.MaxRecordedAnswer, 16<<10)
	orDefault(&s.MaxKeptAnswers, 16<<20)
	orDefault(&s.MaxSurveys, 1024)
	orDefault(&s.MaxSurveyed, 100)
	orDefault(&s.CheckpointInterval, contract.Duration(10*time.Minute))
	orDefault(&s.GoneAfter, contract.Duration(time.Minute))
	return s
}

func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// recorder returns the bounds of one partition's recorder.
func (s Settings) recorder() claim.RecorderConfig {
	return claim.RecorderConfig{
		Linger:     s.Linger.D(),
		AppendRate: s.AppendsPerSecond / float64(s.Partitions),
		MaxPending: s.MaxPending, MaxKeys: s.MaxKeys, MaxSize: s.MaxPartitionBytes,
	}
}

// Request is a request of class confirmation with its complete body.
type Request struct {
	Customer fleet.CustomerID
	Route    string
	Service  fleet.ServiceID
	// Key is the caller's Idempotency-Key, or empty.
	Key string
	// Ticket is the caller's Operation-Ticket, or empty.
	Ticket string
	// ID is the request's id in logs and answers.
	ID     string
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// Window is how long the operation is retained after its outcome.
	Window time.Duration
	// Deadline is the time by which the complete answer must have been received.
	Deadline time.Time
}

func (r *Request) digest() operation.Digest {
	return operation.NewDigest(r.Route, r.Method, r.Path, r.Query, r.Body)
}

func (r *Request) name() operation.Name {
	return operation.Name{RequestID: r.ID, Key: r.Key, Ticket: r.Ticket}
}

func (r *Request) opKey() operation.Key {
	return operation.Key{Customer: r.Customer, Name: r.Key}
}

// Result is the result of a Runner.
type Result struct {
	// Answer is the target's complete answer for Completed. For NotRun it may
	// be generated by the proxy.
	Answer operation.Answer
	// Outcome is Completed with a complete answer; NotRun only if nothing was
	// written to any target, or each target reported that it did not run the
	// request; Unknown otherwise.
	Outcome fleet.Outcome
	// Target is the last target that the request was sent to, or empty.
	Target fleet.TargetID
}

// Runner sends a request to a target, and to another one if the first reports
// that it did not run the request. It must return soon after its context ends.
type Runner func(ctx context.Context, req *Request) Result

// Answer is an operation's answer to one caller.
type Answer struct {
	operation.Answer
	delivered func()
}

// Delivered must be called once the answer was written to the caller or the
// write failed. A key that was reported as not run is released only then.
func (a Answer) Delivered() {
	if a.delivered != nil {
		a.delivered()
	}
}

// Config configures a Service.
type Config struct {
	Settings
	// Self is this process.
	Self fleet.Holder
	// Log is the platform's log.
	Log logservice.Log
	// Peers reaches the instance i at "http://i.peer", through a relay if needed.
	Peers *http.Client
	// Members returns every process that may be running, including this one:
	// those that peers report and those that the platform lists, live or
	// leaving. Unreachable processes are included. An unknown incarnation is 0.
	Members func() []fleet.Holder
	// View returns the member view, whose members are assigned roles. Default:
	// all Members with a known incarnation, as alive and ready.
	View func() []membership.Member
	// Run dispatches operations that arrive under a ticket from peers.
	Run Runner
	// Now is the clock. Default time.Now.
	Now func() time.Time
	// Metrics is the registry for the service's metrics. Default: a registry of its own.
	Metrics metrics.Registry
	// Attempts and Tickets are for tests; defaults apply.
	Attempts claim.TableConfig
	Tickets  ticket.Config
}
