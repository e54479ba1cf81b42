// The driver of case 6: the instances that read the store are killed together, and at that moment the entry of a
// target is removed that does not report that it drains.
package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/clementinereel/clementinereel/review/rig"
)

const (
	gateways = 12
	targets  = 4
	work     = 250 * time.Millisecond
	// calm is how long the deployment runs before anything happens.
	calm = 8 * time.Second
	// killAfterChange is the time from the last change of the targets before the kill to the kill.
	killAfterChange = 800 * time.Millisecond
	// removeAfter is the time from the kill to the removal of the entry.
	removeAfter = 200 * time.Millisecond
	// watched is how long requests are watched after the removal.
	watched = 8 * time.Second
	// sendersPerGateway is the number of consumers of a gateway, sendInterval their pause between two requests.
	sendersPerGateway = 4
	sendInterval      = 50 * time.Millisecond
)

func main() { os.Exit(run()) }

func run() int {
	r, err := rig.New("review/6")
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
	readers, others := r.Readers()
	if len(readers) == 0 || len(others) == 0 {
		fmt.Println("all or none of the gateways read the store")
		return rig.CannotRun
	}
	stop := make(chan struct{})
	var senders sync.WaitGroup
	for _, g := range others {
		for range sendersPerGateway {
			senders.Go(func() { sendUntil(r, g, stop) })
		}
	}
	time.Sleep(time.Second)
	if _, err := r.AddTarget("i-new", "cenas", rig.Zone(0), work); err != nil {
		fmt.Println(err)
		return rig.CannotRun
	}
	r.Logf("a new target has registered")
	time.Sleep(killAfterChange)
	if r.Trouble {
		for _, g := range readers {
			g.Signal(syscall.SIGKILL)
		}
		r.Logf("killed %d of %d gateways", len(readers), gateways)
	}
	time.Sleep(removeAfter)
	gone := r.Targets[0]
	gone.RemoveEntry()
	acked := time.Now()
	r.Logf("the entry of %s is removed; the store has acknowledged it", gone.ID)
	time.Sleep(watched)
	close(stop)
	senders.Wait()
	late, last := 0, time.Duration(0)
	for _, at := range gone.Arrivals() {
		if after := at.Sub(acked); after > rig.DrainTime {
			late++
			last = max(last, after)
		}
	}
	r.Logf("%d requests reached %s later than %v after the ack, the last one after %v", late, gone.ID, rig.DrainTime, last)
	fmt.Printf("requests at the removed target later than %v after the ack: %d, the last one after %v\n", rig.DrainTime, late, last)
	if late > 0 {
		return rig.Broken
	}
	return rig.Held
}

func sendUntil(r *rig.Rig, g *rig.Gateway, stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(sendInterval):
		}
		method, path := "GET", "/get/1"
		if n%2 == 1 {
			method, path = "POST", "/buy/1"
		}
		reply := r.Send(g, method, path, "")
		r.Logf("request %s to %s: %s, status %d, %v, %q", reply.ID, g.Name, method, reply.Status, reply.Err, reply.Body)
	}
}
