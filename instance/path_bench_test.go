package instance

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/textproto"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/publication"
)

const plainAnswer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nbody"

// plainTarget answers requests without bodies at little cost, so that a
// benchmark shows the instance's.
func plainTarget(tb testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	tb.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerPlainly(c)
		}
	}()
	return l.Addr().String()
}

func answerPlainly(c net.Conn) {
	defer c.Close()
	r := textproto.NewReader(bufio.NewReader(c))
	for {
		line, err := r.ReadLineBytes()
		if err != nil {
			return
		}
		if len(line) == 0 {
			_, _ = c.Write([]byte(plainAnswer))
		}
	}
}

// pathState is a configuration of one customer with targets at the address.
func pathState(tb testing.TB, addr string) *publication.State {
	s := publication.NewState()
	add := func(rec []byte, err error) {
		assert.NilError(tb, err)
		s.Apply(logservice.Record{Offset: s.Next(), Time: time.Now().Add(-time.Hour), Data: rec})
	}
	c, err := contract.Decode([]byte(`{"format":"clementinereel/contract/v1","customer":"daugava","hosts":["daugava.example"],
		"limits":{"rate_per_second":100000},"services":[{"name":"main","slots_per_target":64,"connections_per_target":300,"detection":{}}],
		"routes":[{"name":"main","path_prefix":"/","service":"main","class":"lookup","limits":{"rate_per_second":100000},
		"deadline":"2s","retry":{},"hedge":{"after":"150ms"}}]}`))
	assert.NilError(tb, err)
	add(publication.EncodeContract("p-1", publication.NoRevision, c))
	for k := range 10 {
		add(publication.EncodeTarget(fmt.Sprintf("t-%d", k), publication.NoRevision, publication.Announcement{
			ID: fleet.TargetID(fmt.Sprintf("target-%d", k)), Service: fleet.NewServiceID(c.Customer, "main"),
			Addr: addr, Zone: "zone-0", State: fleet.Joined,
		}))
	}
	return s
}

// discard is an http.ResponseWriter that keeps the status only.
type discard struct {
	h      http.Header
	status int
}

func (d *discard) Header() http.Header         { return d.h }
func (d *discard) WriteHeader(status int)      { d.status = status }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }

// BenchmarkLookup sends lookups through the handler to a target on loopback.
func BenchmarkLookup(b *testing.B) {
	i := benchInstance(b, 1, 0)
	i.apply(pathState(b, plainTarget(b)).View())
	i.evidence.Tick(time.Now())
	i.services.Tick(time.Now(), i.members.Load().forBalancer)
	go i.allowances.Run(b.Context()) // or the limits run dry
	r, err := http.NewRequest(http.MethodGet, "http://daugava.example/x", http.NoBody)
	assert.NilError(b, err)
	r.Header.Set("User-Agent", "benchmark")
	r.Header.Set("Accept", "*/*")
	b.ReportAllocs()
	var refused int
	n := 0
	before := processTime(b)
	for b.Loop() {
		w := &discard{h: http.Header{}}
		i.callers.Handler.ServeHTTP(w, r)
		if w.status != http.StatusOK {
			refused++
		}
		if n++; n%1000 == 0 {
			i.services.Tick(time.Now(), i.members.Load().forBalancer)
		}
	}
	b.ReportMetric(float64((processTime(b)-before).Microseconds())/float64(n), "cpu-us/op")
	assert.Assert(b, refused*100 <= n, "%d of %d refused", refused, n)
}

// processTime is the processor time that the process has used, which other
// work on the machine sways less than the clock.
func processTime(tb testing.TB) time.Duration {
	var u syscall.Rusage
	assert.NilError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
