// The driver of case 7: entries of another writer that are large and cannot be read, and then a restart of all gateways.
package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/clementinereel/clementinereel/platform/standin"
	"github.com/clementinereel/clementinereel/review/rig"
)

const (
	gateways = 6
	targets  = 6
	work     = 100 * time.Millisecond
	// calm is how long the deployment runs before anything happens, and between the entries and the kill.
	calm = 4 * time.Second
	// foreignEntries of entryBytes each are written.
	foreignEntries = 50
	entryBytes     = 200000
	// downTime is how long the killed processes stay away, recoverTime the rule's bound.
	downTime    = time.Second
	recoverTime = 15 * time.Second
	// watched is how long requests count, before the kill and after the recovery.
	watched      = 4 * time.Second
	sendInterval = 100 * time.Millisecond
)

func main() { os.Exit(run()) }

func run() int {
	r, err := rig.New("review/7")
	if err != nil {
		fmt.Println(err)
		return rig.CannotRun
	}
	defer r.Close()
	r.Configure(1, `["lookup","`+rig.Host+`","/get/","idempotent",1500,1200,2,2,"cenas"],["confirm","`+rig.Host+`","/buy/","non_idempotent",2000,1200,1,2,"cenas"]`)
	for n := range targets {
		if _, err := r.AddTarget(fmt.Sprintf("i-%02d", n), "cenas", rig.Zone(n), work); err != nil {
			fmt.Println(err)
			return rig.CannotRun
		}
	}
	if err := r.StartGateways(gateways); err != nil {
		fmt.Println(err)
		return rig.CannotRun
	}
	time.Sleep(calm)
	if r.Trouble {
		for n := range foreignEntries {
			r.Store.Put(standin.TopicTargets, fmt.Sprintf("x-%02d", n), bytes.Repeat([]byte{0xff}, entryBytes))
		}
		r.Logf("another writer: %d entries of %d bytes that cannot be read", foreignEntries, entryBytes)
	}
	time.Sleep(calm)
	before := serve(r, "before the kill")
	for _, g := range r.Gateways {
		g.Signal(syscall.SIGKILL)
	}
	r.Logf("killed all gateways")
	time.Sleep(downTime)
	if err := r.RestartGateways(); err != nil {
		fmt.Println(err)
		return rig.CannotRun
	}
	r.Logf("all gateways are started again")
	time.Sleep(recoverTime)
	after := serve(r, "after the recovery")
	fmt.Printf("share of requests served before the kill: %.2f, later than %v after the machines are back: %.2f\n", before, recoverTime, after)
	const quarter = 0.25
	switch {
	case before < quarter:
		return rig.CannotRun
	case after < quarter:
		return rig.Broken
	}
	return rig.Held
}

// serve sends requests to all gateways for a time and returns the share that is served.
func serve(r *rig.Rig, when string) float64 {
	var mu sync.Mutex
	served, all := 0, 0
	var senders sync.WaitGroup
	end := time.Now().Add(watched)
	for _, g := range r.Gateways {
		senders.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				method, path := "GET", "/get/1"
				if n%2 == 1 {
					method, path = "POST", "/buy/1"
				}
				reply := r.Send(g, method, path, "")
				r.Logf("request %s to %s: %s, status %d, %v, %q", reply.ID, g.Name, method, reply.Status, reply.Err, reply.Body)
				mu.Lock()
				all++
				if reply.Status == http.StatusOK && reply.Seal != "" {
					served++
				}
				mu.Unlock()
				time.Sleep(sendInterval)
			}
		})
	}
	senders.Wait()
	r.Logf("%s: %d of %d requests served", when, served, all)
	return float64(served) / float64(all)
}
