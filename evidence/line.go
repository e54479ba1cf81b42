package evidence

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/outlier"
)

// line is the way to one aggregating instance: at most one call is under
// way, and what comes up meanwhile waits, the newest report of each service.
type line struct {
	busy    bool
	waiting []outlier.Report
}

// put queues reports in place of older ones of the same services. A newer
// report of a session says all that an older one said, unless the older one
// has been acknowledged.
func (l *line) put(rs []outlier.Report) {
	for _, r := range rs {
		l.putOne(r)
	}
}

func (l *line) putOne(r outlier.Report) {
	for i := range l.waiting {
		if l.waiting[i].Service == r.Service {
			l.waiting[i] = r
			return
		}
	}
	l.waiting = append(l.waiting, r)
}

// send starts the calls that carry the reports of a tick.
func (t *Table) send(now time.Time, reports map[fleet.InstanceID][]outlier.Report) {
	for to, rs := range reports {
		if to == t.self {
			t.sendSelf(now, rs)
			continue
		}
		t.mu.Lock()
		l := t.lines[to]
		if l == nil {
			l = &line{}
			t.lines[to] = l
		}
		l.put(rs)
		if !l.busy {
			l.busy = true
			t.calls.Add(1)
			go t.drain(to, l)
		}
		t.mu.Unlock()
	}
}

func (t *Table) sendSelf(now time.Time, rs []outlier.Report) {
	for _, r := range rs {
		if v, ok := t.fold(now, r); ok {
			t.apply(now, v)
		}
	}
}

// drain sends what waits on a line until nothing does.
func (t *Table) drain(to fleet.InstanceID, l *line) {
	defer t.calls.Done()
	for {
		t.mu.Lock()
		rs := l.waiting
		l.waiting = nil
		if len(rs) == 0 || t.ctx.Err() != nil {
			l.busy = false
			delete(t.lines, to)
			t.mu.Unlock()
			return
		}
		t.mu.Unlock()
		t.report(to, rs)
	}
}

func (t *Table) report(to fleet.InstanceID, rs []outlier.Report) {
	ctx, cancel := context.WithTimeout(t.ctx, t.settings.Timeout)
	defer cancel()
	t.counters.sent.Inc(int64(len(rs)))
	vs, err := t.sender.Report(ctx, to, rs)
	if err != nil {
		t.counters.lost.Inc(int64(len(rs)))
		klog.V(2).InfoS("Evidence not delivered", "to", to, "reports", len(rs), "err", err)
		return
	}
	now := t.now()
	for _, v := range vs {
		t.apply(now, v)
	}
}

// announce starts the calls that tell reporters of changed verdicts.
func (t *Table) announce(now time.Time, s *Service, v outlier.Verdicts, to []fleet.InstanceID) {
	if len(to) == 0 {
		return
	}
	s.apply(now, v)
	t.calls.Add(1)
	go t.announceAll(v, to)
}

func (t *Table) announceAll(v outlier.Verdicts, to []fleet.InstanceID) {
	defer t.calls.Done()
	for _, id := range to {
		if id == t.self {
			continue
		}
		select {
		case t.slots <- struct{}{}:
		case <-t.ctx.Done():
			return
		}
		t.calls.Add(1)
		go t.announceOne(v, id)
	}
}

func (t *Table) announceOne(v outlier.Verdicts, to fleet.InstanceID) {
	defer t.calls.Done()
	defer func() { <-t.slots }()
	ctx, cancel := context.WithTimeout(t.ctx, t.settings.Timeout)
	defer cancel()
	t.counters.announced.Inc(1)
	if err := t.sender.Announce(ctx, to, []outlier.Verdicts{v}); err != nil {
		klog.V(2).InfoS("Verdicts not delivered", "to", to, "service", v.Service, "err", err)
	}
}
