package peer

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// Stats are counts since the start of the process. Bytes are those on the
// connections, framing included.
type Stats struct {
	CallsOut, CallsIn int64
	BytesOut, BytesIn int64
	// ConnsOut and ConnsIn are the connections that are open now.
	ConnsOut, ConnsIn int64
	// RelayedOut are calls sent through a relay; RelayedIn are calls that
	// this instance forwarded.
	RelayedOut, RelayedIn int64
	// PathsCut counts the times that a direct path was found cut.
	PathsCut int64
	// Malformed are calls refused for their form or size; Unauthorized are
	// calls without the right secret.
	Malformed, Unauthorized int64
	// GossipDropped are membership messages not sent since too many were
	// under way.
	GossipDropped int64
}

// counters hold the stats of one instance, in a registry.
type counters struct {
	callsOut, callsIn       metrics.Counter
	bytesOut, bytesIn       metrics.Counter
	connsOut, connsIn       metrics.Counter
	relayedOut, relayedIn   metrics.Counter
	pathsCut                metrics.Counter
	malformed, unauthorized metrics.Counter
	gossipDropped           metrics.Counter
}

// newCounters registers the counters under "peer.". A nil registry keeps them
// private.
func newCounters(r metrics.Registry) *counters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("peer."+name, r)
	}
	return &counters{
		callsOut: counter("calls.out"), callsIn: counter("calls.in"),
		bytesOut: counter("bytes.out"), bytesIn: counter("bytes.in"),
		connsOut: counter("conns.out"), connsIn: counter("conns.in"),
		relayedOut: counter("relayed.out"), relayedIn: counter("relayed.in"),
		pathsCut:      counter("paths.cut"),
		malformed:     counter("malformed"),
		unauthorized:  counter("unauthorized"),
		gossipDropped: counter("gossip.dropped"),
	}
}

func (c *counters) stats() Stats {
	return Stats{
		CallsOut: c.callsOut.Count(), CallsIn: c.callsIn.Count(),
		BytesOut: c.bytesOut.Count(), BytesIn: c.bytesIn.Count(),
		ConnsOut: c.connsOut.Count(), ConnsIn: c.connsIn.Count(),
		RelayedOut: c.relayedOut.Count(), RelayedIn: c.relayedIn.Count(),
		PathsCut:      c.pathsCut.Count(),
		Malformed:     c.malformed.Count(),
		Unauthorized:  c.unauthorized.Count(),
		GossipDropped: c.gossipDropped.Count(),
	}
}

// countedConn counts a connection's bytes, and the connection while open.
type countedConn struct {
	net.Conn
	counters *counters
	open     metrics.Counter
	closed   chan struct{}
}

func newCountedConn(c net.Conn, counters *counters, open metrics.Counter) *countedConn {
	open.Inc(1)
	closed := make(chan struct{}, 1)
	closed <- struct{}{}
	return &countedConn{Conn: c, counters: counters, open: open, closed: closed}
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.bytesIn.Inc(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.bytesOut.Inc(int64(n))
	return n, err
}

func (c *countedConn) Close() error {
	select {
	case <-c.closed:
		c.open.Dec(1)
	default:
	}
	return c.Conn.Close()
}

// countedListener counts the bytes of the connections it accepts.
type countedListener struct {
	net.Listener
	counters *counters
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCountedConn(c, l.counters, l.counters.connsIn), nil
}
