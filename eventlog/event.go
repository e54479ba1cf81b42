package eventlog

import "strconv"

// Event is the name of a log line. The values are stable, since tools match them.
type Event string

// Events of the process and its dependencies.
const (
	Started          Event = "started"
	Stopping         Event = "stopping"
	Stopped          Event = "stopped"
	SettingsReloaded Event = "settings-reloaded"
	SettingsRefused  Event = "settings-refused"
	// StoreUnreachable and StoreReachable are about this instance's own reads;
	// StoreUnavailable is about all instances.
	StoreUnreachable Event = "store-lost"
	StoreReachable   Event = "store-back"
	StoreRestored    Event = "store-restored"
	StoreCallFailed  Event = "store-call-failed"
	// StoreReadLate is logged when a read of the store has no response after its wait and is
	// repeated: its connection may have gone silent, or the store is slow or unavailable.
	StoreReadLate Event = "store-read-late"
	ReaderRole    Event = "reader-role"
	PeerFound     Event = "peer-found"
	PeerLost      Event = "peer-lost"
	PullFailed    Event = "pull-failed"
	// PullHedged is logged when peers do not respond to a pull and another query is made.
	PullHedged Event = "pull-hedged"
	// PullDeclined is logged when a peer sends its state to too many others to send it here too.
	PullDeclined Event = "pull-declined"
	// StatePulled and StateServed are logged when a peer's state has arrived or broken off, unless
	// it is small, and when this instance has written its state to a peer.
	StatePulled   Event = "state-pulled"
	StateServed   Event = "state-served"
	ReadyChanged  Event = "ready-changed"
	LinesDropped  Event = "lines-dropped"
	PacketRefused Event = "packet-refused"
	MeshTraffic   Event = "mesh-traffic"
	ServerError   Event = "server-error"
)

// Events that change the state of the instance.
const (
	DocumentApplied Event = "document-applied"
	DocumentRefused Event = "document-refused"
	TargetAdded     Event = "target-added"
	TargetRemoved   Event = "target-gone"
	// RateAnnounced is logged when a target sets, changes or withdraws its rate limit,
	// RateRefused when the rate that it sends is invalid.
	RateAnnounced Event = "rate-named"
	RateRefused   Event = "rate-refused"
	// RateEndOutdated is logged when a response without a rate limit does not end the one in force,
	// since its attempt began before that was announced.
	RateEndOutdated Event = "rate-end-outdated"
	// TargetLeaving is logged when a target announces in a response that it is shutting down.
	TargetLeaving Event = "target-leaving"
	// TargetBackoff is logged when the instance backs off from a target that rejected a request.
	TargetBackoff Event = "target-backoff"
	// AdviceRefused is logged when a response field about the target's own state is invalid.
	AdviceRefused Event = "advice-refused"
	// TargetGracePeriod is logged when a target whose entry vanished stays in use for a
	// grace period.
	TargetGracePeriod Event = "target-held"
	// StoreUnavailable is logged when the store appears to become unavailable to all
	// instances, or available again.
	StoreUnavailable Event = "store-away"
	// SnapshotProgress is logged now and then while the newest records of the store are read, and
	// SnapshotRead once those of a stream were read that take several calls.
	SnapshotProgress Event = "snapshot-progress"
	SnapshotRead     Event = "snapshot-read"
	// StoreOutage is logged when a period in which the store answered no instance becomes
	// known, with whether it counts as an outage and why.
	StoreOutage  Event = "store-outage"
	EntryRefused Event = "entry-refused"
	// EntriesDropped is logged for the records of a snapshot that were refused beyond those that
	// are logged one by one.
	EntriesDropped  Event = "entries-dropped"
	TargetSuspected Event = "target-suspected"
	TargetCleared   Event = "target-cleared"
	// PathAvoided is logged when the path from this instance to a target fails and is
	// avoided for a while.
	PathAvoided Event = "path-cut"
	// PathsChanged is logged when this instance has lost its paths to all targets of a service, or
	// has one again.
	PathsChanged Event = "paths-changed"
	// ContentJudged is logged when the handling of requests with some content changes.
	ContentJudged Event = "content-judged"
	// ContentTried is logged for a trial request, which shows whether its content still
	// crashes a target.
	ContentTried Event = "content-tried"
	// ContentPersisted is logged when quarantined content is added to or removed from the store.
	ContentPersisted Event = "content-kept"
	// RequestAtFault is logged when a failure is attributed to the request, which fails at
	// every target, and not to the target.
	RequestAtFault Event = "request-at-fault"
	// QuotaPartChanged is logged when the instances of the zone that are received from, or the number of
	// all instances, change: the zone's part of the quotas follows from them.
	QuotaPartChanged Event = "quota-part"
	// ServiceRejecting is logged when the targets of a service in one zone appear to reject requests widely, or
	// no longer.
	ServiceRejecting Event = "service-rejecting"
	// InstanceCountChanged is logged when the number of instances that share the slack of
	// the retry budgets changes.
	InstanceCountChanged Event = "instances-counted"
	ConnectionStats      Event = "connections-used"
)

// Events of requests.
const (
	AttemptFailed Event = "attempt-failed"
	// AttemptAnswered is logged for a later attempt of a request that must not run twice.
	AttemptAnswered Event = "attempt-answered"
	// AttemptOpen is logged for an attempt that is pending when its request times out.
	AttemptOpen Event = "attempt-open"
	// AttemptAdded and AttemptNotAdded are logged when a further attempt is granted or denied.
	AttemptAdded    Event = "attempt-added"
	AttemptNotAdded Event = "attempt-not-added"
	RequestRefused  Event = "request-refused"
	// RequestWaits is logged when a request waits for a later attempt: targets rejected it, the retry budget allows
	// no attempt now, or all targets are in backoff. RequestResumed is logged when it gets one, RequestGivenUp when
	// it does not.
	RequestWaits   Event = "request-waits"
	RequestResumed Event = "request-resumed"
	RequestGivenUp Event = "request-given-up"
	// ResponseCut is logged when a response could not be written whole: the caller has disconnected or read too slowly.
	ResponseCut Event = "response-cut"
	// ResponseWaited is logged when a response has waited for memory, or its time was over.
	ResponseWaited Event = "response-waited"
	// QuotaStandbyUsed is logged when a request runs although no holder of its tenant's quota granted it.
	QuotaStandbyUsed Event = "quota-standby-used"
	// RequestRelayed is logged when a request was sent to another instance, since this one has lost its
	// paths, RelayServed and RelayDeclined at that one.
	RequestRelayed     Event = "request-relayed"
	RelayServed        Event = "relay-served"
	RelayDeclined      Event = "relay-declined"
	RequestFailed      Event = "request-failed"
	CallerDisconnected Event = "caller-left"
	// CallerEvicted is logged when a caller's connection is closed to make room, CallerTurnedAway when a new one finds
	// none.
	CallerEvicted    Event = "caller-evicted"
	CallerTurnedAway Event = "caller-turned-away"
	// EarlyStartDropped is logged when a request that was started before its turn on its connection
	// is canceled, or its response is not used.
	EarlyStartDropped Event = "early-start-dropped"
	// BudgetLent is logged when this instance lends part of a retry budget to another one.
	BudgetLent Event = "budget-lent"
)

// Fraction is a probability or a proportion, logged with three decimals.
type Fraction float64

// String implements fmt.Stringer.
func (f Fraction) String() string { return strconv.FormatFloat(float64(f), 'f', 3, 64) }
