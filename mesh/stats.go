package mesh

import "time"

// Kind is the purpose of a datagram.
type Kind uint8

const (
	// Heartbeats go to the own zone and to instances that have never sent a datagram.
	Heartbeats Kind = iota
	// Updates carry observations of this instance's own attempts.
	Updates
	// Relayed datagrams carry packets from other zones to the own zone.
	Relayed
	// Digests summarize the own zone for the others.
	Digests
	// Announcements report a new version of the configuration or the targets.
	Announcements
	// Greetings reply to an instance that was just discovered.
	Greetings
	// Loans are requests for, and grants of, parts of retry budgets.
	Loans
	// Rates are the rates that targets declare, and the requests and responses for their tokens.
	Rates
	// Departures are targets that announced that they are leaving.
	Departures
	// Quotas are requests for tokens of tenants' quotas, and the responses.
	Quotas
	numKinds
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	return [...]string{"heartbeats", "news", "passed", "digests", "announcements", "greetings", "loans", "rates", "departures", "quotas"}[k]
}

// Kinds returns all kinds of datagrams.
func Kinds() []Kind {
	all := make([]Kind, 0, numKinds)
	for k := range numKinds {
		all = append(all, k)
	}
	return all
}

// Stats counts datagrams since the start of the node.
type Stats struct {
	Sent, Received, Malformed int64
	// Bytes counts the payload of all datagrams sent and received.
	Bytes int64
	// SentBytes counts the payload of the datagrams sent, by kind.
	SentBytes [numKinds]int64
	// MaxBytesPerSecond is the largest payload sent within one second.
	MaxBytesPerSecond int64
	// Dropped counts the updates that newer ones displaced while they waited for the link.
	Dropped int64
}

// meter counts the datagrams that a node sends and receives.
type meter struct {
	Stats
	// secondStart is the start of the current one-second window, and secondBytes the payload sent
	// in it.
	secondStart time.Time
	secondBytes int64
}

// sent counts a datagram of the given size that went to the given number of instances.
func (m *meter) sent(now time.Time, k Kind, to, size int) {
	bytes := int64(to * size)
	m.Sent += int64(to)
	m.Bytes += bytes
	m.SentBytes[k] += bytes
	if now.Sub(m.secondStart) >= time.Second {
		m.secondStart, m.secondBytes = now, 0
	}
	m.secondBytes += bytes
	m.MaxBytesPerSecond = max(m.MaxBytesPerSecond, m.secondBytes)
}

// received counts a datagram that arrived.
func (m *meter) received(size int) {
	m.Received++
	m.Bytes += int64(size)
}
