package mesh

import "time"

// Kind tells what a datagram is for.
type Kind uint8

const (
	// Heartbeats go to the own zone, and to instances that were never heard.
	Heartbeats Kind = iota
	// News is what this instance's own attempts say.
	News
	// Passed is what came from other zones and goes on to the own one.
	Passed
	// Digests sum up the own zone for the others.
	Digests
	// Announcements tell of a new version of the configuration or the targets.
	Announcements
	// Greetings answer an instance that was just found.
	Greetings
	// Loans are asked for and given, out of retry budgets.
	Loans
	// Rates are those that targets name, and what is asked for and given of them.
	Rates
	// Departures are targets that said that they leave.
	Departures
	kinds
)

// String names the kind in logs and metrics.
func (k Kind) String() string {
	return [...]string{"heartbeats", "news", "passed", "digests", "announcements", "greetings", "loans", "rates", "departures"}[k]
}

// Kinds are all kinds of datagrams.
func Kinds() []Kind {
	all := make([]Kind, 0, kinds)
	for k := range kinds {
		all = append(all, k)
	}
	return all
}

// Stats count datagrams since the start.
type Stats struct {
	Sent, Received, Malformed int64
	// Bytes are those of all datagrams that were sent or received.
	Bytes int64
	// SentBytes are those that were sent, by kind.
	SentBytes [kinds]int64
	// MostBytes is the most that was sent within one second.
	MostBytes int64
	// Dropped are pieces of news that waited for the link until newer ones came.
	Dropped int64
}

// meter counts what a node sends and receives.
type meter struct {
	Stats
	// second is the second that is under way, sinceBytes what was sent in it.
	second     time.Time
	sinceBytes int64
}

// sent counts a datagram that went to a number of instances.
func (m *meter) sent(now time.Time, k Kind, to, size int) {
	bytes := int64(to * size)
	m.Sent += int64(to)
	m.Bytes += bytes
	m.SentBytes[k] += bytes
	if now.Sub(m.second) >= time.Second {
		m.second, m.sinceBytes = now, 0
	}
	m.sinceBytes += bytes
	m.MostBytes = max(m.MostBytes, m.sinceBytes)
}

// received counts a datagram that arrived.
func (m *meter) received(size int) {
	m.Received++
	m.Bytes += int64(size)
}
