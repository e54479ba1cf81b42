package losses

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/explain"
)

// minSuspiciousTargets is the number of different targets at which attempts with the same
// content must lose their response for it to be listed: such a content may crash targets.
const minSuspiciousTargets = 2

// Content sums up the failed attempts with the same request content, across request IDs.
type Content struct {
	Name, Service string
	// Lost is the number of attempts that lost their response.
	Lost int
	// Targets are the targets at which responses were lost.
	Targets map[string]bool
	// Requests are the IDs of the requests that the attempts belong to.
	Requests map[string]bool
	// From and To are the times of day of the first and the last loss.
	From, To time.Duration
}

// addContent records the line of an attempt that lost its response; only those
// lines name a content.
func (t *Table) addContent(l *explain.Line) {
	name := l.Get("content")
	if l.Event != eventlog.AttemptFailed || name == "" {
		return
	}
	c := t.contents[name]
	if c == nil {
		c = &Content{Name: name, Service: l.Get("service"), Targets: make(map[string]bool), Requests: make(map[string]bool), From: l.At}
		t.contents[name] = c
	}
	c.Lost++
	c.Targets[l.Get("target")] = true
	c.Requests[l.Get("request")] = true
	c.To = l.At
}

// SuspiciousContents returns the contents whose responses were lost at several targets,
// those with the most targets first.
func (t *Table) SuspiciousContents() []*Content {
	var all []*Content
	for _, c := range t.contents {
		if len(c.Targets) >= minSuspiciousTargets {
			all = append(all, c)
		}
	}
	sort.Slice(all, func(a, b int) bool {
		if len(all[a].Targets) != len(all[b].Targets) {
			return len(all[a].Targets) > len(all[b].Targets)
		}
		return all[a].Name < all[b].Name
	})
	return all
}

// maxContentsPrinted bounds the number of contents that are listed.
const maxContentsPrinted = 10

func (t *Table) printContents(w io.Writer) {
	all := t.SuspiciousContents()
	if len(all) == 0 {
		return
	}
	fmt.Fprintln(w, "\ncontent that lost its answer at several targets\tservice\ttargets\tattempts\trequests\tover s")
	for _, c := range all[:min(len(all), maxContentsPrinted)] {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%.1f\n", c.Name, c.Service, len(c.Targets), c.Lost, len(c.Requests), (c.To - c.From).Seconds())
	}
}
