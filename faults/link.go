package faults

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// Direction is a way along a Link.
type Direction string

const (
	// Requests go from the connecting side to the listening side.
	Requests Direction = "upstream"
	// Answers go back.
	Answers Direction = "downstream"
)

// loopback asks the kernel for a port.
const loopback = "127.0.0.1:0"

// ownLoopback is for processes that are started again under their address:
// connections of other processes leave from 127.0.0.1 and can't take the port
// in between.
const ownLoopback = "127.0.0.2:0"

// Link is a TCP proxy that can be made faulty.
type Link struct {
	t     testing.TB
	proxy *toxiproxy.Proxy
}

// NewLink starts a link to an address; it ends with the test.
func NewLink(t testing.TB, name, to string) *Link {
	t.Helper()
	l, err := startLink(t, name, to)
	assert.NilError(t, err)
	t.Cleanup(l.proxy.Stop)
	return l
}

func startLink(t testing.TB, name, to string) (*Link, error) {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	l := &Link{t: t, proxy: toxiproxy.NewProxy(server, name, loopback, to)}
	return l, l.proxy.Start()
}

// Addr is the address at which the link listens.
func (l *Link) Addr() string { return l.proxy.Listen }

// Cut drops all that goes in a direction; connections stay open, and further
// ones come about.
func (l *Link) Cut(d Direction) { l.add("timeout", d, "timeout", 0) }

// CutBoth drops all that goes in either direction.
func (l *Link) CutBoth() {
	l.Cut(Requests)
	l.Cut(Answers)
}

// Delay holds all that goes in a direction back for some time.
func (l *Link) Delay(d Direction, by time.Duration) {
	l.add("latency", d, "latency", by.Milliseconds())
}

// CutAnswersAfter breaks connections off once some bytes went back.
func (l *Link) CutAnswersAfter(bytes int64) { l.add("limit_data", Answers, "bytes", bytes) }

// Heal ends all faults. Connections that lost something are closed.
func (l *Link) Heal() {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	l.proxy.Toxics.ResetToxics(ctx)
}

func (l *Link) add(kind string, d Direction, attribute string, value int64) {
	l.t.Helper()
	doc := fmt.Sprintf(`{"type":%q,"stream":%q,"attributes":{%q:%d}}`, kind, d, attribute, value)
	_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(doc))
	assert.NilError(l.t, err)
}
