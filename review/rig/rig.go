// Package rig starts a small deployment of the gateway for the scripted cases of this review: the store and the
// targets are the project's stand-ins and run in the process of the case, each gateway is a process of its own.
package rig

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/clementinereel/clementinereel/platform/standin"
)

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Bounds of the deployment, as in the settings of a small one.
const (
	DrainTime       = 2 * time.Second
	Grace           = 6 * time.Second
	StabilityWindow = 3 * time.Second
)

// maxDuration bounds a case.
const maxDuration = 115 * time.Second

// readyTimeout bounds the start of a gateway.
const readyTimeout = 20 * time.Second

// Host is the host of all routes.
const Host = "jepu9.example"

// Rig is a running deployment.
type Rig struct {
	Store    *standin.Store
	Targets  []*standin.Target
	Gateways []*Gateway
	// Trouble is false if the case runs without its disruption (TROUBLE=0).
	Trouble bool

	program string
	dir     string
	network string
	ports   [3]int
	began   time.Time

	mu     sync.Mutex
	record *os.File
	nextID int
}

// New returns a rig with a store. The working directory is the root of the repository, caseDir the folder of the case.
func New(caseDir string) (*Rig, error) {
	program, err := filepath.Abs("target/clementinereel")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	r := &Rig{program: program, Trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	if r.record, err = os.Create(filepath.Join(caseDir, "record.txt")); err != nil {
		return nil, err
	}
	if r.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	pid := os.Getpid()
	r.network = fmt.Sprintf("127.%d.%d", 64+pid%128, pid/128%250)
	for i := range r.ports {
		if r.ports[i], err = freePort(r.IP(1)); err != nil {
			return nil, err
		}
	}
	r.Store, err = standin.NewStore(r.IP(200) + ":0")
	go r.endWhenInterrupted()
	return r, err
}

// endWhenInterrupted ends the case, with all processes that it started, on a signal or when it takes too long.
func (r *Rig) endWhenInterrupted() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-interrupted:
	case <-time.After(maxDuration):
	}
	r.Close()
	os.Exit(CannotRun)
}

func freePort(ip string) (int, error) {
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return 0, err
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// IP returns a loopback address of the rig's network.
func (r *Rig) IP(host int) string { return fmt.Sprintf("%s.%d", r.network, host) }

// Logf writes a line to record.txt.
func (r *Rig) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// Close ends all processes that were started.
func (r *Rig) Close() {
	for _, g := range r.Gateways {
		g.Signal(syscall.SIGKILL)
	}
	for _, g := range r.Gateways {
		<-g.ended
		g.Store.close()
	}
	for _, t := range r.Targets {
		t.Stop()
	}
	r.Store.Close()
	_ = os.RemoveAll(r.dir)
	_ = r.record.Close()
}

// Configure writes a configuration with the rows of its routes.
func (r *Rig) Configure(version int, routes string) {
	r.Store.Put(standin.TopicOperator, standin.KeyConfig, fmt.Appendf(nil, `{"version":"r%d","routes":{"columns":["name","host","path_prefix","type","timeout_ms","target_latency_ms","priority","max_attempts","service"],
"rows":[%s]},"services":{"columns":["name","health_path","max_conns"],"rows":[["cenas","/health",330],["ligumi","/health",330],["plani","/health",330]]},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version, routes))
	r.Logf("operator: configuration r%d", version)
}

// Zone returns the zone of the n-th gateway or target.
func Zone(n int) string { return "riga-" + string(rune('a'+n%3)) }

// AddTarget starts a target, which takes the given time for a request.
func (r *Rig) AddTarget(id, service, zone string, work time.Duration) (*standin.Target, error) {
	t, err := standin.NewTarget(r.Store, r.IP(100)+":0", id, service, zone, work)
	if err == nil {
		r.Targets = append(r.Targets, t)
	}
	return t, err
}

// Gateway is a gateway process.
type Gateway struct {
	Name, IP, Front, Ready string

	// Store is the way to the store.
	Store *Proxy

	cmd   *exec.Cmd
	ended chan struct{}
}

// StartGateways starts n gateways and waits until all are ready.
func (r *Rig) StartGateways(n int) error {
	for i := range n {
		if err := r.startGateway(i); err != nil {
			return err
		}
	}
	for _, g := range r.Gateways {
		if err := g.waitReady(); err != nil {
			return err
		}
	}
	r.Logf("%d gateways are ready", n)
	return nil
}

func (r *Rig) startGateway(i int) error {
	ip := r.IP(1 + i)
	g := &Gateway{Name: fmt.Sprintf("edge-%s-%d", Zone(i), 1+i/3), IP: ip, ended: make(chan struct{})}
	g.Front, g.Ready = net.JoinHostPort(ip, strconv.Itoa(r.ports[0])), net.JoinHostPort(ip, strconv.Itoa(r.ports[1]))
	var err error
	if g.Store, err = newProxy(ip+":0", r.Store.Addr()); err != nil {
		return err
	}
	settings := fmt.Sprintf(`node_name = %q
role = "edge"
machine_class = "edge"
serves = ["edge","control"]
ip = %q
zone = %q
region = "riga"
internal_ports = [%d,%d]
seed_nodes = ["%s:1","%s:1","%s:1"]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
bounds = ["seed_lag_s=3","addr_reuse_s=2","stability_window_ms=3000","ack_ms=4000","sync_s=4","drain_ms=2000","grace_s=6","loss_slack_ms=200","config_propagation_ms=2000","revert_slack_ms=250","max_skew_ms=5000","budget_ratio=0.2","budget_window_s=10","retry_slack=58","recover_s=15","probes_per_s=3","floor_share=0.7"]
[zones]
riga-a = "riga"
riga-b = "riga"
riga-c = "riga"
[bind]
front = %q
ready = %q
[limits]
cpu_share = 0.32
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
[platform]
address = %q
form = "log"
`, g.Name, ip, Zone(i), r.ports[2], r.ports[2], r.IP(1), r.IP(2), r.IP(3), g.Front, g.Ready, g.Store.ln.Addr())
	file := filepath.Join(r.dir, g.Name+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	r.Gateways = append(r.Gateways, g)
	return r.run(g)
}

// run starts the process of a gateway, whose settings are written.
func (r *Rig) run(g *Gateway) error {
	log, err := os.OpenFile(filepath.Join(r.dir, g.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		close(g.ended)
		return err
	}
	defer log.Close()
	cmd, ended := exec.Command(r.program, "edge"), g.ended
	cmd.Env = append(os.Environ(), "CLEMENTINEREEL_NODE_FILE="+filepath.Join(r.dir, g.Name+".toml"))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		close(g.ended)
		return err
	}
	g.cmd = cmd
	go func() {
		_ = cmd.Wait() // the exit code of a killed process says nothing
		close(ended)
	}()
	return nil
}

// RestartGateways starts all gateways again, which have been killed.
func (r *Rig) RestartGateways() error {
	for _, g := range r.Gateways {
		<-g.ended
		g.ended = make(chan struct{})
		if err := r.run(g); err != nil {
			return err
		}
	}
	return nil
}

// Log returns what a gateway has logged.
func (r *Rig) Log(g *Gateway) string {
	b, _ := os.ReadFile(filepath.Join(r.dir, g.Name+".log")) // empty if it cannot be read
	return string(b)
}

// Readers returns the gateways that read the store, by their logs, and the others.
func (r *Rig) Readers() (readers, others []*Gateway) {
	for _, g := range r.Gateways {
		log := r.Log(g)
		line, _, _ := strings.Cut(log[max(strings.LastIndex(log, "reader-role"), 0):], "\n")
		if strings.Contains(line, "reads=true") {
			readers = append(readers, g)
			r.Logf("%s reads the store", g.Name)
			continue
		}
		others = append(others, g)
	}
	return readers, others
}

// Signal sends a signal to the process, which may have ended.
func (g *Gateway) Signal(s syscall.Signal) {
	if g.cmd != nil {
		_ = g.cmd.Process.Signal(s)
	}
}

// Ended is closed once the process has ended.
func (g *Gateway) Ended() <-chan struct{} { return g.ended }

func (g *Gateway) waitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + g.Ready + "/readiness")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", g.Name, readyTimeout)
}

// Reply is what a consumer got for a request.
type Reply struct {
	ID     string
	Status int
	Body   string
	Seal   string
	Err    error
}

// NewID returns the ID of a new request.
func (r *Rig) NewID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextID++
	return fmt.Sprintf("%016x", r.nextID)
}

// Send sends a request to a gateway on a new connection.
func (r *Rig) Send(g *Gateway, method, path, body string) Reply {
	reply := Reply{ID: r.NewID()}
	req, err := http.NewRequest(method, "http://"+g.Front+path, strings.NewReader(body))
	if err != nil {
		reply.Err = err
		return reply
	}
	req.Host = Host
	req.Header.Set("X-Request-Id", reply.ID)
	req.Header.Set("X-Request-Deadline", "4000")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 4 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		reply.Err = err
		return reply
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	reply.Status, reply.Body, reply.Seal, reply.Err = resp.StatusCode, string(b), resp.Header.Get("X-Server-Seal"), err
	return reply
}

// Runs returns how often a request has run on all targets together.
func (r *Rig) Runs(id string) int {
	n := 0
	for _, t := range r.Targets {
		n += t.RunCounts()[id]
	}
	return n
}
