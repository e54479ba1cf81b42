package losses

import (
	"fmt"
	"io"
	"sort"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/explain"
)

// window is the length of the spans of time by which losses are counted.
const window = 2 * time.Second

// Table is what was lost.
type Table struct {
	Lost []Lost
	// Services are the figures of detection by service.
	Services map[string]*Detection
	// Connections counts, by reason, why connections to targets were opened, and
	// Reused those that carried a request again.
	Connections map[string]int
	// Skipped and Dropped are the lines that could not be read and those that
	// instances left out.
	Skipped, Dropped int

	requests map[string]*history
	targets  map[string]*targetLog
	contents map[string]*Content
}

// New sums up the lines of a log.
func New(g *explain.Log) *Table {
	t := &Table{
		Services: make(map[string]*Detection), Connections: make(map[string]int), Skipped: g.Skipped, Dropped: g.Dropped,
		requests: make(map[string]*history), targets: make(map[string]*targetLog),
		contents: make(map[string]*Content),
	}
	lines := append([]*explain.Line(nil), g.Lines...)
	sort.SliceStable(lines, func(a, b int) bool { return lines[a].At < lines[b].At })
	for _, l := range lines {
		t.addRequest(l)
		t.addTarget(l)
		t.addContent(l)
		if l.Event == eventlog.ConnectionStats {
			t.addConnections(l)
		}
	}
	for id, h := range t.requests {
		if x, ok := h.lost(id); ok {
			t.Lost = append(t.Lost, x)
		}
	}
	sort.Slice(t.Lost, func(a, b int) bool { return t.Lost[a].At < t.Lost[b].At })
	for _, x := range t.targets {
		d := t.Services[x.service]
		if d == nil {
			d = new(Detection)
			t.Services[x.service] = d
		}
		x.detect(d)
	}
	for _, d := range t.Services {
		sort.Slice(d.Times, func(a, b int) bool { return d.Times[a] < d.Times[b] })
	}
	return t
}

func (t *Table) addRequest(l *explain.Line) {
	id := l.Get("request")
	if id == "" {
		return
	}
	h := t.requests[id]
	if h == nil {
		h = new(history)
		t.requests[id] = h
	}
	h.add(l)
}

// addConnections adds an instance's counts since its last line.
func (t *Table) addConnections(l *explain.Line) {
	for key, value := range l.Keys {
		if n, err := strconv.Atoi(value); err == nil {
			t.Connections[key] += n
		}
	}
}

// key is what losses are counted by.
type key struct{ service, class, outcome, cause string }

// Print writes the table; causes that took fewer than least requests are summed up.
func (t *Table) Print(out io.Writer, least int) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	t.printCauses(w, least)
	t.printWindows(w)
	t.printDetection(w)
	t.printContents(w)
	fmt.Fprintln(w, "\nconnections to targets")
	for _, name := range sorted(t.Connections) {
		fmt.Fprintf(w, "%s\t%d\n", name, t.Connections[name])
	}
	fmt.Fprintf(w, "\nlines that could not be read\t%d\nlines that instances left out\t%d\n", t.Skipped, t.Dropped)
	return w.Flush()
}

func (t *Table) printCauses(w io.Writer, least int) {
	counts := make(map[key]int)
	for _, x := range t.Lost {
		counts[key{x.Service, x.Class, x.Outcome, x.Cause}]++
	}
	keys := make([]key, 0, len(counts))
	rest := 0
	for k, n := range counts {
		if n < least {
			rest += n
			continue
		}
		keys = append(keys, k)
	}
	sort.Slice(keys, func(a, b int) bool {
		if counts[keys[a]] != counts[keys[b]] {
			return counts[keys[a]] > counts[keys[b]]
		}
		return fmt.Sprint(keys[a]) < fmt.Sprint(keys[b])
	})
	fmt.Fprintf(w, "requests lost\t%d\n", len(t.Lost))
	for _, k := range keys {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", counts[k], k.service, k.class, k.outcome, k.cause)
	}
	if rest > 0 {
		fmt.Fprintf(w, "%d\tother causes\n", rest)
	}
}

func (t *Table) printWindows(w io.Writer) {
	if len(t.Lost) == 0 {
		return
	}
	fmt.Fprintln(w, "\nfrom\tlost\tmost by")
	start := t.Lost[0].At
	for from := 0; from < len(t.Lost); {
		begin := start + (t.Lost[from].At-start)/window*window
		causes := make(map[string]int)
		to := from
		for ; to < len(t.Lost) && t.Lost[to].At < begin+window; to++ {
			causes[t.Lost[to].Service+": "+t.Lost[to].Cause]++
		}
		most := ""
		for _, c := range sorted(causes) {
			if most == "" || causes[c] > causes[most] {
				most = c
			}
		}
		fmt.Fprintf(w, "%.0f s\t%d\t%d %s\n", (begin - start).Seconds(), to-from, causes[most], most)
		from = to
	}
}

func (t *Table) printDetection(w io.Writer) {
	fmt.Fprintln(w, "\nservice\tbouts\tdetection median ms\tmost ms\tordinary failures\ttrials failed\tsingle failures\tset aside\tfalsely")
	for _, name := range sorted(t.Services) {
		d := t.Services[name]
		most := time.Duration(0)
		if n := len(d.Times); n > 0 {
			most = d.Times[n-1]
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", name, d.Bouts, d.Median().Milliseconds(), most.Milliseconds(),
			d.Ordinary, d.Trials, d.Single, d.Aside, d.False)
	}
}

func sorted[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
