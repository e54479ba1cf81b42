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

// window is the length of the time windows in which losses are counted.
const window = 2 * time.Second

// Table is a summary of lost requests, target failures and connections.
type Table struct {
	// Lost are the lost requests, in order of time.
	Lost []Lost
	// Services maps the name of a service to its detection figures.
	Services map[string]*Detection
	// Connections maps a key of the connections-used event to its sum: the
	// connections to targets by the reason why they were opened, and the reuses.
	Connections map[string]int
	// Skipped is the number of lines that could not be parsed, Dropped the number
	// of lines that instances left out.
	Skipped, Dropped int

	requests map[string]*requestLog
	targets  map[string]*targetLog
	contents map[string]*Content
}

// New returns the summary of a log.
func New(g *explain.Log) *Table {
	t := &Table{
		Services: make(map[string]*Detection), Connections: make(map[string]int), Skipped: g.Skipped, Dropped: g.Dropped,
		requests: make(map[string]*requestLog), targets: make(map[string]*targetLog),
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
		x.addTo(d)
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
		h = new(requestLog)
		t.requests[id] = h
	}
	h.add(l)
}

// addConnections adds the counts of a connections-used line, which cover the time
// since the instance's previous one.
func (t *Table) addConnections(l *explain.Line) {
	for key, value := range l.Keys {
		if n, err := strconv.Atoi(value); err == nil {
			t.Connections[key] += n
		}
	}
}

// causeKey is the key by which lost requests are grouped.
type causeKey struct{ service, class, outcome, cause string }

// Print writes the table. Causes of fewer than minRequests requests are summed up
// in one row.
func (t *Table) Print(out io.Writer, minRequests int) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	t.printCauses(w, minRequests)
	t.printWindows(w)
	t.printDetection(w)
	t.printContents(w)
	fmt.Fprintln(w, "\nconnections to targets")
	for _, name := range sortedKeys(t.Connections) {
		fmt.Fprintf(w, "%s\t%d\n", name, t.Connections[name])
	}
	fmt.Fprintf(w, "\nlines that could not be read\t%d\nlines that instances left out\t%d\n", t.Skipped, t.Dropped)
	return w.Flush()
}

func (t *Table) printCauses(w io.Writer, minRequests int) {
	counts := make(map[causeKey]int)
	for _, x := range t.Lost {
		counts[causeKey{x.Service, x.Class, x.Outcome, x.Cause}]++
	}
	keys := make([]causeKey, 0, len(counts))
	rest := 0
	for k, n := range counts {
		if n < minRequests {
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
		topCause := ""
		for _, c := range sortedKeys(causes) {
			if topCause == "" || causes[c] > causes[topCause] {
				topCause = c
			}
		}
		fmt.Fprintf(w, "%.0f s\t%d\t%d %s\n", (begin - start).Seconds(), to-from, causes[topCause], topCause)
		from = to
	}
}

func (t *Table) printDetection(w io.Writer) {
	fmt.Fprintln(w, "\nservice\tbouts\tdetection median ms\tmost ms\tordinary failures\ttrials failed\tsingle failures\tset aside\tfalsely")
	for _, name := range sortedKeys(t.Services) {
		d := t.Services[name]
		longest := time.Duration(0)
		if n := len(d.Times); n > 0 {
			longest = d.Times[n-1]
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", name, d.UnhealthyPeriods, d.Median().Milliseconds(), longest.Milliseconds(),
			d.OrdinaryFailures, d.TrialFailures, d.SingleFailures, d.Ejections, d.FalseEjections)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
