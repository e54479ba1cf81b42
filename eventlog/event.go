package eventlog

import "strconv"

// Event names what a line tells.
type Event string

// Events of the process and what it depends on.
const (
	Started          Event = "started"
	Stopping         Event = "stopping"
	Stopped          Event = "stopped"
	SettingsReloaded Event = "settings-reloaded"
	SettingsRefused  Event = "settings-refused"
	StoreLost        Event = "store-lost"
	StoreBack        Event = "store-back"
	StoreRestored    Event = "store-restored"
	StoreCallFailed  Event = "store-call-failed"
	ReaderRole       Event = "reader-role"
	PeerFound        Event = "peer-found"
	PeerLost         Event = "peer-lost"
	PullFailed       Event = "pull-failed"
	ReadyChanged     Event = "ready-changed"
	LinesDropped     Event = "lines-dropped"
	PacketRefused    Event = "packet-refused"
	MeshTraffic      Event = "mesh-traffic"
	ServerError      Event = "server-error"
)

// Events that change what the instance believes.
const (
	DocumentApplied Event = "document-applied"
	DocumentRefused Event = "document-refused"
	TargetAdded     Event = "target-added"
	TargetGone      Event = "target-gone"
	// RateNamed tells that a target names a rate, another one, or none any more; RateRefused that
	// what it names is none.
	RateNamed   Event = "rate-named"
	RateRefused Event = "rate-refused"
	// TargetLeaving tells that a target says in an answer that it leaves.
	TargetLeaving Event = "target-leaving"
	// TargetBackoff tells that a target turned a request away, and that the instance backs off from it.
	TargetBackoff Event = "target-backoff"
	// AdviceRefused tells that a field by which targets say something of themselves says nothing.
	AdviceRefused Event = "advice-refused"
	// TargetHeld tells that a target stays in use though its entry has vanished.
	TargetHeld Event = "target-held"
	// StoreAway tells that the store is believed to answer nobody, or no longer.
	StoreAway Event = "store-away"
	// StoreOutage tells that the store is known to have answered nobody for a time, or that what
	// was taken for that was none.
	StoreOutage     Event = "store-outage"
	EntryRefused    Event = "entry-refused"
	TargetSuspected Event = "target-suspected"
	TargetCleared   Event = "target-cleared"
	PathCut         Event = "path-cut"
	// ContentJudged tells what may be done with requests of one content.
	ContentJudged Event = "content-judged"
	// ContentTried tells of a request that shows whether its content still crashes a target.
	ContentTried Event = "content-tried"
	// ContentKept tells that the store keeps a content in quarantine, or no longer does.
	ContentKept Event = "content-kept"
	// RequestAtFault tells that a failure is put down to the request, which fails at each target.
	RequestAtFault Event = "request-at-fault"
	// InstancesCounted tells by how many the slack of the retry budgets is divided.
	InstancesCounted Event = "instances-counted"
	ConnectionsUsed  Event = "connections-used"
)

// Events of requests.
const (
	AttemptFailed  Event = "attempt-failed"
	AttemptOpen    Event = "attempt-open"
	AttemptAdded   Event = "attempt-added"
	AttemptRefused Event = "attempt-not-added"
	RequestRefused Event = "request-refused"
	RequestFailed  Event = "request-failed"
	CallerLeft     Event = "caller-left"
	BudgetLent     Event = "budget-lent"
)

// Share is a probability or a part of a whole, which lines write with three digits.
type Share float64

// String implements fmt.Stringer.
func (s Share) String() string { return strconv.FormatFloat(float64(s), 'f', 3, 64) }
