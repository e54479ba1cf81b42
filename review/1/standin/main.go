// Command standin runs case 1 of the review: servers reject requests and send an answer twice.
package main

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/platform/standin"
	"github.com/clementinereel/clementinereel/review/harness"
)

// configuration returns the routes of a deployment with downloads: a non-idempotent one for each service, and a download.
func configuration() []byte {
	var routes, names strings.Builder
	for n := range services {
		fmt.Fprintf(&routes, `["charge-%[1]d","gateway.example","/charge/%[1]d/","non_idempotent",4000,1500,1,2,"ledger-%[1]d"],`, n)
		fmt.Fprintf(&names, `["ledger-%d","/health",1500,"h1",false],`, n)
	}
	return fmt.Appendf(nil, `{"version":"r1","routes":{"columns":["name","host","path_prefix","type","timeout_ms","target_latency_ms","priority","max_attempts","service"],
"rows":[%s["bundle","gateway.example","/bundle/","download",null,1500,2,2,"ledger-0"]]},
"services":{"columns":["name","health_path","max_conns","protocol","tls"],"rows":[%s]},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, routes.String(), strings.TrimSuffix(names.String(), ","))
}

var bounds = []string{"stability_window_ms=3000", "drain_ms=2500", "grace_s=6", "config_propagation_ms=2500", "budget_ratio=0.2", "budget_window_s=10", "retry_slack=186"}

const (
	gateways    = 3
	services    = 6
	servers     = 5 // of each service
	garbled     = 3 // of these: a share of 0.6
	perSecond   = 60
	trafficTime = 103 * time.Second
	deadlineMS  = 8000
	// The disruptions, each at the figures that the pages name.
	shedShare, shedTime     = 0.55, 8500 * time.Millisecond
	garbleShare, garbleTime = 0.03, 5 * time.Second
)

func main() {
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	r, err := harness.NewRecord(*record)
	if err != nil {
		fmt.Println(err)
		os.Exit(harness.NotRun)
	}
	os.Exit(run(r, os.Getenv("TROUBLE") != "0"))
}

// windows tells when a disruption is on: from each start for its length.
func windows(trouble bool, begin time.Time, length time.Duration, starts ...float64) func() bool {
	return func() bool {
		if !trouble {
			return false
		}
		at := time.Since(begin)
		for _, s := range starts {
			from := time.Duration(s * float64(time.Second))
			if at >= from && at < from+length {
				return true
			}
		}
		return false
	}
}

func run(r *harness.Record, trouble bool) int {
	d, err := harness.New(r, bounds)
	if err != nil {
		fmt.Println(err)
		return harness.NotRun
	}
	defer d.Close()
	d.Store.Put(standin.TopicOperator, standin.KeyConfig, configuration())
	begin := time.Now()
	shedding := windows(trouble, begin, shedTime, 6, 18, 30, 42, 54, 66, 78, 90)
	garbling := windows(trouble, begin, garbleTime, 9, 21, 33, 45, 57, 69, 81, 93)
	var all []*harness.Server
	for i := range services * servers {
		n := i / services
		s := &harness.Server{
			ID: fmt.Sprintf("i-%d", i+1), Service: fmt.Sprintf("ledger-%d", i%services), Zone: harness.Zones[n%len(harness.Zones)], Slots: 4, Queue: 16,
			Work:      func() time.Duration { return time.Duration(100+rand.IntN(200)) * time.Millisecond },
			Shed:      harness.Chance(shedShare, shedding),
			ExtraLate: harness.Chance(garbleShare, func() bool { return n < garbled && garbling() }),
		}
		if err := d.AddServer(s); err != nil {
			fmt.Println(err)
			return harness.NotRun
		}
		all = append(all, s)
	}
	if err := d.AddGateways(gateways); err != nil {
		fmt.Println(err)
		return harness.NotRun
	}
	answers := traffic(d)
	time.Sleep(2 * time.Second)
	if ended := d.EndedByItself(); len(ended) > 0 {
		fmt.Println("ended by themselves:", ended)
		return harness.NotRun
	}
	return judge(r, all, answers)
}

// traffic sends non-idempotent requests, each on a new connection, and returns the statuses by request; 0 if there was
// no answer.
func traffic(d *harness.Deployment) map[string]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	answers := make(map[string]int)
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	end := time.Now().Add(trafficTime)
	for n := 0; time.Now().Before(end); n++ {
		<-tick.C
		g := d.Gateways[rand.IntN(len(d.Gateways))]
		id := fmt.Sprintf("%016x", rand.Uint64())
		wg.Go(func() {
			status := send(g.Front(), id)
			d.Record.Write("consumer: %s by %s answered %d", id, g.Name, status)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = status
		})
	}
	wg.Wait()
	return answers
}

func send(addr, id string) int {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadlineMS * time.Millisecond))
	body := "amount=1&charge=" + id
	var b bytes.Buffer
	b.WriteString("POST /charge/" + strconv.Itoa(rand.IntN(services)) + "/1 HTTP/1.1\r\nHost: gateway.example\r\nX-Request-Id: " + id + "\r\nX-Request-Deadline: " + strconv.Itoa(deadlineMS) + "\r\n")
	b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	if _, err := c.Write(b.Bytes()); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// judge checks TWICE and REFUSED as the rules have them.
func judge(r *harness.Record, servers []*harness.Server, answers map[string]int) int {
	runs := make(map[string]int)
	for _, s := range servers {
		for id, n := range s.Runs() {
			runs[id] += n
		}
	}
	twice, refused := 0, 0
	statuses := make(map[int]int)
	for id, status := range answers {
		statuses[status]++
		if runs[id] > 1 {
			twice++
			r.Write("TWICE: %s ran %d times, answered %d", id, runs[id], status)
		}
		switch status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if runs[id] > 0 {
				refused++
				r.Write("REFUSED: %s ran %d times, answered %d", id, runs[id], status)
			}
		}
	}
	summary := fmt.Sprintf("%d requests, answers by status %v; ran more than once: %d; refused and run: %d", len(answers), statuses, twice, refused)
	r.Write("%s", summary)
	fmt.Println(summary)
	switch {
	case twice+refused > 0:
		return harness.Broken
	case statuses[http.StatusOK] == 0:
		return harness.NotRun
	}
	return harness.Held
}
