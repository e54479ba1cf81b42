package explain

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
)

// contextWindow bounds the age, at the request's last line, of the changes of the
// instance's environment (store, peers, readiness, stop) that are included.
const contextWindow = 10 * time.Second

// Explanation states why a request ended as it did.
type Explanation struct {
	ID string
	// Lines are the relevant lines, in order of time.
	Lines []*Line
	// Deciding is the line that decided the outcome; nil if there is none.
	Deciding *Line
	Cause    string
	// Missing lists the information that the logs do not contain.
	Missing []string
}

// Request returns the explanation of the request with the given ID.
func (g *Log) Request(id string) *Explanation {
	x := &Explanation{ID: id}
	for _, l := range g.Lines {
		if l.Get("request") == id {
			x.Lines = append(x.Lines, l)
		}
	}
	if len(x.Lines) == 0 {
		x.Missing = append(x.Missing, "no line names the request: it was served at the first attempt, never reached these instances, or was lost with a process")
		if ended := g.unexpectedExits(); len(ended) > 0 {
			x.Missing = append(x.Missing, "processes that ended without a stop, with all that they had taken: "+strings.Join(ended, ", "))
		}
		return x.addLineCounts(g)
	}
	x.sortLines()
	x.Deciding, x.Cause = decidingLine(x.Lines)
	x.addContext(g)
	x.sortLines()
	x.addHealthEstimate()
	return x.addLineCounts(g)
}

// unexpectedExits returns the instances whose process ended without a signal to stop,
// each with the times of its last line and of the next start.
func (g *Log) unexpectedExits() []string {
	type instance struct{ file, prefix string }
	last := make(map[instance]*Line)
	stopping := make(map[instance]bool)
	var ended []string
	for _, l := range g.Lines {
		in := instance{l.File, l.Prefix}
		switch {
		case l.Event == eventlog.Stopping:
			stopping[in] = true
		case l.Event == eventlog.Started && last[in] != nil && !stopping[in]:
			ended = append(ended, fmt.Sprintf("%s after %s, started again at %s", l.Get("instance"), formatTimeOfDay(last[in].At), formatTimeOfDay(l.At)))
		}
		if l.Event == eventlog.Started {
			stopping[in] = false
		}
		last[in] = l
	}
	return ended
}

// formatTimeOfDay formats a time of day with milliseconds.
func formatTimeOfDay(at time.Duration) string {
	return time.Time{}.Add(at).Format("15:04:05.000")
}

func (x *Explanation) sortLines() {
	sort.SliceStable(x.Lines, func(a, b int) bool { return x.Lines[a].At < x.Lines[b].At })
}

// addLineCounts adds the numbers of dropped and skipped lines to Missing.
func (x *Explanation) addLineCounts(g *Log) *Explanation {
	if g.Dropped > 0 {
		x.Missing = append(x.Missing, fmt.Sprintf("instances left out %d lines by their rate", g.Dropped))
	}
	if g.Skipped > 0 {
		x.Missing = append(x.Missing, fmt.Sprintf("%d lines could not be read", g.Skipped))
	}
	return x
}

// decidingLine returns the line that decided the outcome, and the cause in words.
func decidingLine(lines []*Line) (*Line, string) {
	var failed, denied, final *Line
	for _, l := range lines {
		switch l.Event {
		case eventlog.AttemptFailed, eventlog.AttemptOpen:
			failed = l
		case eventlog.AttemptNotAdded, eventlog.RequestGivenUp:
			denied = l
		case eventlog.RequestFailed, eventlog.RequestRefused, eventlog.CallerDisconnected:
			final = l
		}
	}
	switch {
	case final == nil && failed != nil:
		return failed, "an attempt failed and a further one served the request"
	case final == nil:
		return lines[len(lines)-1], "the request was served"
	case final.Event == eventlog.CallerDisconnected:
		return final, "the caller left before the answer"
	case failed == nil:
		return final, final.Get("why")
	}
	cause := fmt.Sprintf("target %s: %s", failed.Get("target"), attemptCause(failed))
	if denied != nil {
		cause += "; no further attempt: " + denialCause(denied)
	}
	return failed, cause
}

func attemptCause(l *Line) string {
	if l.Event == eventlog.AttemptOpen {
		return "it had not answered after " + l.Get("age_ms") + " ms"
	}
	switch l.Get("kind") {
	case "answered":
		return "it answered " + l.Get("status")
	case "refused":
		return "it refused the request unrun with " + l.Get("status")
	case "unsent":
		return "it was not reached: " + l.Get("err")
	case "withheld":
		return "it was to get no request any more, so that nothing was sent"
	case "overdue":
		return "it did not answer in " + l.Get("took_ms") + " ms"
	}
	return "its answer was lost: " + l.Get("err")
}

func denialCause(l *Line) string {
	if left := l.Get("budget_left"); left != "" {
		return "the service's retry budget has " + left + " left"
	}
	return l.Get("why")
}

// addContext adds, from the instance that wrote the request's last line, the last changes
// of the attempted targets' state before that line, and of the instance's environment
// before the request's first line.
func (x *Explanation) addContext(g *Log) {
	last := x.Lines[len(x.Lines)-1]
	begin := x.Lines[0].At
	targets := make(map[string]bool)
	for _, l := range x.Lines {
		if t := l.Get("target"); t != "" {
			targets[t] = true
		}
	}
	newest := make(map[string]*Line)
	for _, l := range g.Lines {
		if l.Prefix != last.Prefix || l.File != last.File || l.At > last.At {
			continue
		}
		if key := contextKey(l, targets); key != "" && (l.At <= begin || strings.HasPrefix(key, "target")) {
			newest[key] = l
		}
	}
	for key, l := range newest {
		if strings.HasPrefix(key, "target") || last.At-l.At < contextWindow || key == "document" {
			x.Lines = append(x.Lines, l)
		}
	}
}

// contextKey returns a key for the state that the line changes, or an empty string if
// that state is irrelevant to a request with the given targets.
func contextKey(l *Line, targets map[string]bool) string {
	switch l.Event {
	case eventlog.TargetSuspected, eventlog.TargetCleared, eventlog.TargetAdded, eventlog.TargetRemoved, eventlog.PathAvoided:
		if t := l.Get("target"); targets[t] {
			return "target " + t + string(l.Event)
		}
	case eventlog.DocumentApplied:
		return "document"
	case eventlog.StoreUnreachable, eventlog.StoreReachable, eventlog.Stopping, eventlog.ReadyChanged:
		return string(l.Event)
	case eventlog.PeerLost:
		return "peers"
	}
	return ""
}

// addHealthEstimate adds to the cause the age and origin of the health estimate that
// the choice of the deciding line's target was based on.
func (x *Explanation) addHealthEstimate() {
	if x.Deciding == nil || x.Deciding.Get("target") == "" {
		return
	}
	target := x.Deciding.Get("target")
	took, _ := time.ParseDuration(x.Deciding.Get("took_ms") + x.Deciding.Get("age_ms") + "ms") // one of the two; 0 if neither
	chosen := x.Deciding.At - took
	var estimate *Line
	for _, l := range x.Lines {
		if l.Get("target") == target && l.At < chosen && (l.Event == eventlog.TargetSuspected || l.Event == eventlog.TargetCleared) {
			estimate = l
		}
	}
	if estimate == nil {
		x.Missing = append(x.Missing, "nothing was known against target "+target+" before")
		return
	}
	x.Cause += fmt.Sprintf(" (%s %d ms before it was chosen, by %s; expected to fail with %s)", estimate.Event,
		(chosen - estimate.At).Milliseconds(), estimate.Get("by"), x.Deciding.Get("fails"))
}

// Print writes the explanation as text, with an asterisk before the deciding line.
func (x *Explanation) Print(w io.Writer) {
	fmt.Fprintf(w, "request %s\n", x.ID)
	if x.Cause != "" {
		fmt.Fprintf(w, "cause: %s\n", x.Cause)
	}
	for _, l := range x.Lines {
		mark := "  "
		if l == x.Deciding {
			mark = "* "
		}
		fmt.Fprintf(w, "%s%s\n", mark, strings.TrimSpace(l.Text))
	}
	for _, m := range x.Missing {
		fmt.Fprintf(w, "missing: %s\n", m)
	}
}
