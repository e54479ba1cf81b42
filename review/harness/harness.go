// Package harness runs gateways as separate processes beside stand-ins of the store, of servers and of consumers. The
// cases of the review use it.
package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/clementinereel/clementinereel/platform/standin"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Write adds a line with the time since the start.
func (r *Record) Write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// MemoryMB is the memory that a gateway may use, in MiB.
const MemoryMB = 284

// Zones of a deployment.
var Zones = []string{"zone-a", "zone-b", "zone-c"}

// Deployment is a store and gateways. Each gateway is a process on a loopback address of its own.
type Deployment struct {
	Store    *standin.Store
	Gateways []*Gateway
	Record   *Record
	dir      string
	ports    [4]int // consumers, readiness, control, first internal port
	bounds   []string
}

// Gateway is one gateway process.
type Gateway struct {
	Name, IP, Zone string
	d              *Deployment
	mu             sync.Mutex
	cmd            *exec.Cmd
	done           chan struct{}
}

// New starts the store. Gateways are added afterwards.
func New(r *Record, bounds []string) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Record: r, dir: dir, bounds: bounds}
	if d.Store, err = standin.NewStore("127.0.0.1:0"); err != nil {
		return nil, err
	}
	for i := range d.ports {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			d.Close()
			return nil, err
		}
		defer ln.Close() // open until all are chosen, so that they differ
		d.ports[i] = ln.Addr().(*net.TCPAddr).Port
	}
	go d.closeEarly()
	return d, nil
}

// maxRunTime is when a case that still runs is given up.
const maxRunTime = 118 * time.Second

// closeEarly ends all processes and the case, which counts as not run, when it is interrupted or takes too long.
func (d *Deployment) closeEarly() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-interrupted:
	case <-time.After(maxRunTime):
	}
	d.Record.Write("given up")
	d.Close()
	os.Exit(NotRun)
}

// EndedByItself returns the names of the gateways that have ended.
func (d *Deployment) EndedByItself() (names []string) {
	for _, g := range d.Gateways {
		select {
		case <-g.Ended():
			names = append(names, g.Name)
		default:
		}
	}
	return names
}

// AddGateways starts n gateways, spread over the zones, and waits until they are ready.
func (d *Deployment) AddGateways(n int) error {
	base := os.Getpid()%200 + 20
	for i := range n {
		d.Gateways = append(d.Gateways, &Gateway{d: d, Name: fmt.Sprintf("edge-%d", i+1), IP: fmt.Sprintf("127.%d.0.%d", base, i+1), Zone: Zones[i%len(Zones)]})
	}
	for _, g := range d.Gateways {
		if err := g.Start(); err != nil {
			return err
		}
	}
	for _, g := range d.Gateways {
		if err := g.WaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// Front returns the address for consumers.
func (g *Gateway) Front() string { return fmt.Sprintf("%s:%d", g.IP, g.d.ports[0]) }

// Start writes the settings file and starts the process.
func (g *Gateway) Start() error {
	path := filepath.Join(g.d.dir, g.Name+".toml")
	if err := os.WriteFile(path, g.settings(), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(g.d.dir, g.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/clementinereel", "edge")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CLEMENTINEREEL_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no gateway outlives the stand-ins
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.done = cmd, done
	g.mu.Unlock()
	go func() {
		err := cmd.Wait()
		g.d.Record.Write("process %s ended: %v", g.Name, err)
		close(done)
	}()
	g.d.Record.Write("process %s started at %s", g.Name, g.Front())
	return nil
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.d.Record.Write("signal %v to %s", s, g.Name)
	_ = g.cmd.Process.Signal(s)
}

// ResidentBytes returns the memory that the process holds; 0 if it has ended.
func (g *Gateway) ResidentBytes() int64 {
	g.mu.Lock()
	pid := g.cmd.Process.Pid
	g.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

// Ended is closed when the process has ended.
func (g *Gateway) Ended() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.done
}

// WaitReady waits until the readiness check succeeds.
func (g *Gateway) WaitReady(timeout time.Duration) error {
	end := time.Now().Add(timeout)
	c := &http.Client{Timeout: time.Second}
	for time.Now().Before(end) {
		resp, err := c.Get(fmt.Sprintf("http://%s:%d/readiness", g.IP, g.d.ports[1]))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready after %v", g.Name, timeout)
}

func (g *Gateway) settings() []byte {
	d := g.d
	var seeds []string
	for _, s := range d.Gateways[:min(3, len(d.Gateways))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.IP, d.ports[2]))
	}
	list := func(all []string) string {
		b, _ := json.Marshal(all) // strings can be encoded
		return string(b)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "node_name = %q\nrole = \"edge\"\nmachine_class = \"edge\"\nserves = [\"edge\",\"control\"]\nip = %q\nzone = %q\nregion = \"region\"\n", g.Name, g.IP, g.Zone)
	fmt.Fprintf(&b, "internal_ports = [%d,%d]\nseed_nodes = %s\nbootstrap = true\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1500\n", d.ports[3], d.ports[3]+15, list(seeds))
	fmt.Fprintf(&b, "bounds = %s\n", list(d.bounds))
	fmt.Fprintf(&b, "[zones]\n")
	for _, z := range Zones {
		fmt.Fprintf(&b, "%s = \"region\"\n", z)
	}
	fmt.Fprintf(&b, "[bind]\nfront = \"%s:%d\"\nready = \"%s:%d\"\ncontrol = \"%s:%d\"\n", g.IP, d.ports[0], g.IP, d.ports[1], g.IP, d.ports[2])
	fmt.Fprintf(&b, "[limits]\ncpu_share = 0.32\ncores = 1\nmemory_mb = %d\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n", MemoryMB)
	fmt.Fprintf(&b, "[platform]\naddress = %q\nform = \"log\"\nwrites_per_s = 400\nreads_per_s = 2000\n", d.Store.Addr())
	return b.Bytes()
}

// Logs returns the lines of all gateways that contain the text.
func (d *Deployment) Logs(text string) (found []string) {
	for _, g := range d.Gateways {
		data, err := os.ReadFile(filepath.Join(d.dir, g.Name+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, text) {
				found = append(found, g.Name+" "+strings.TrimSpace(line))
			}
		}
	}
	return found
}

// Close ends all processes and the store, and removes the temporary folder.
func (d *Deployment) Close() {
	for _, g := range d.Gateways {
		g.mu.Lock()
		cmd, done := g.cmd, g.done
		g.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
			<-done
		}
	}
	d.Store.Close()
	_ = os.RemoveAll(d.dir)
}
