// The driver of case 8: the store stops answering a third of the machines, those that read it, and serves the others,
// while the operator changes the configuration.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/review/rig"
)

const (
	gateways = 18
	targets  = 3
	work     = 30 * time.Millisecond
	// calm is how long the deployment runs before anything happens.
	calm = 8 * time.Second
	// changeAfter is the time from the first change to the second, silentAfter that from the second to the silence.
	changeAfter = 60 * time.Millisecond
	silentAfter = 150 * time.Millisecond
	// watched is how long requests are watched after the second change.
	watched = 5 * time.Second
	// configurationTime is config_propagation_ms.
	configurationTime = 2 * time.Second
	// sendersPerGateway is the number of consumers of a gateway, sendInterval their pause between two requests.
	sendersPerGateway = 2
	sendInterval      = 50 * time.Millisecond
)

func main() { os.Exit(run()) }

// routes returns the routes, of which lookups go to the service.
func routes(service string, timeout int) string {
	return fmt.Sprintf(`["lookup","%s","/get/","idempotent",%d,1200,2,2,"%s"]`, rig.Host, timeout, service)
}

func run() int {
	r, err := rig.New("review/8")
	if err != nil {
		fmt.Println(err)
		return rig.CannotRun
	}
	defer r.Close()
	r.Configure(1, routes("cenas", 1500))
	for n := range 2 * targets {
		service := []string{"cenas", "ligumi"}[n%2]
		if _, err := r.AddTarget(fmt.Sprintf("%s-%d", service, n), service, rig.Zone(n), work); err != nil {
			fmt.Println(err)
			return rig.CannotRun
		}
	}
	if err := r.StartGateways(gateways); err != nil {
		fmt.Println(err)
		return rig.CannotRun
	}
	time.Sleep(calm)
	readers, others := r.Readers()
	r.Logf("%d of %d gateways read the store", len(readers), gateways)
	if len(readers) == 0 || len(others) == 0 {
		return rig.CannotRun
	}
	w := watch{r: r, stop: make(chan struct{})}
	for _, g := range others {
		for range sendersPerGateway {
			w.senders.Go(func() { w.send(g) })
		}
	}
	time.Sleep(time.Second)
	r.Configure(2, routes("cenas", 1600))
	if _, err := r.AddTarget("ligumi-new", "ligumi", rig.Zone(0), work); err != nil {
		fmt.Println(err)
		return rig.CannotRun
	}
	time.Sleep(changeAfter)
	r.Configure(3, routes("ligumi", 1600))
	acked := time.Now()
	time.Sleep(silentAfter)
	if r.Trouble {
		for _, g := range readers {
			g.Store.SetSilent(true)
			r.Logf("the store does not answer %s any more", g.Name)
		}
	}
	time.Sleep(watched)
	close(w.stop)
	w.senders.Wait()
	late, last := w.late(acked)
	r.Logf("%d requests that were sent later than %v after the ack ran at the old service, the last one was sent after %v", late, configurationTime, last)
	fmt.Printf("requests sent later than %v after the ack that ran at the old service: %d, the last one after %v\n", configurationTime, late, last)
	if late > 0 {
		return rig.Broken
	}
	return rig.Held
}

// watch sends requests and keeps which service ran them.
type watch struct {
	r       *rig.Rig
	stop    chan struct{}
	senders sync.WaitGroup

	mu  sync.Mutex
	ran []lookup
}

type lookup struct {
	sent time.Time
	old  bool
}

func (w *watch) send(g *rig.Gateway) {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(sendInterval):
		}
		sent := time.Now()
		reply := w.r.Send(g, "GET", "/get/1", "")
		w.r.Logf("request %s to %s, sent %v ago: status %d, %v, %q", reply.ID, g.Name, time.Since(sent), reply.Status, reply.Err, reply.Body)
		w.mu.Lock()
		w.ran = append(w.ran, lookup{sent, strings.HasPrefix(reply.Body, "cenas")})
		w.mu.Unlock()
	}
}

// late returns how many requests the old service ran that were sent too long after the ack, and when the last one was.
func (w *watch) late(acked time.Time) (n int, last time.Duration) {
	for _, l := range w.ran {
		if after := l.sent.Sub(acked); l.old && after > configurationTime {
			n++
			last = max(last, after)
		}
	}
	return n, last
}
