package lab

import (
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// lateEvidence is how long after its end a fault may still be the reason for
// an ejection, on top of the timeout of a try.
const lateEvidence = time.Second

// watch sees a run from outside and counts.
type watch struct {
	m Measures
	// lastSick holds when a target was last sick for an instance, or never.
	lastSick [][]time.Duration
	// sick lists the targets that the fault ever makes sick.
	sick []sickTarget
	// leftAt is when a target was announced to leave.
	leftAt map[int]time.Duration
	// out counts, for each target, the instances that set it aside.
	out []int
}

// sickTarget follows the detection of one target.
type sickTarget struct {
	target  int
	victims []int
	failed  bool
	first   time.Duration
	done    bool
	took    time.Duration
	// seen holds the victims that set the target aside at least once, last
	// when the last of them did.
	seen map[int]bool
	last time.Duration
}

const never = -time.Hour

func newWatch(r *run) *watch {
	s := r.Service
	w := &watch{out: make([]int, s.Targets), leftAt: map[int]time.Duration{}}
	for i := range s.Instances {
		w.lastSick = append(w.lastSick, make([]time.Duration, s.Targets))
		for t := range s.Targets {
			w.lastSick[i][t] = never
		}
	}
	for t := range s.Targets {
		var victims []int
		for i := range s.Instances {
			if r.plan.health(s.Onset, t, i).Sick {
				victims = append(victims, i)
			}
		}
		if len(victims) > 0 {
			w.sick = append(w.sick, sickTarget{target: t, victims: victims, seen: map[int]bool{}})
		}
	}
	return w
}

func (w *watch) counts(r *run) bool { return r.now >= warmup }

func (w *watch) offered(r *run) {
	if w.counts(r) {
		w.m.Offered++
	}
}

func (w *watch) answered(r *run, q *request) {
	if q.start >= warmup {
		w.m.Answered++
	}
}

func (w *watch) try(_ *run, y *try, h Health) {
	w.m.Tries++
	if _, left := w.leftAt[y.target]; left {
		w.m.LeftTries++
	}
	if h.Sick {
		w.m.SickTries++
	}
}

func (w *watch) message(m Message) {
	w.m.Messages++
	w.m.Bytes += m.Bytes
}

// result notes the first failure of a sick target: a try that failed, or one
// that a slow target answered late.
func (w *watch) result(r *run, y *try, result fleet.TryResult) {
	for i := range w.sick {
		k := &w.sick[i]
		if k.target != y.target || k.failed {
			continue
		}
		h := r.plan.health(y.start, y.target, y.instance)
		if h.Sick && (result.Failed() || h.Slow > 1) {
			k.failed = true
			k.first = r.now
		}
	}
}

// look compares all of an instance's weights with what they were.
func (w *watch) look(r *run, i int) {
	for _, t := range r.known {
		w.lookAt(r, i, numberOf(t.ID))
	}
}

func (w *watch) lookAt(r *run, i, t int) {
	if _, left := w.leftAt[t]; left {
		return
	}
	in := r.instances[i]
	was := in.weights[t]
	now := in.policy.Weight(t)
	if was == now {
		return
	}
	in.weights[t] = now
	in.rebalance(r.now)
	if (was > 0) == (now > 0) {
		return
	}
	if now > 0 {
		in.nOut--
		w.out[t]--
		return
	}
	in.nOut++
	w.out[t]++
	w.ejected(r, i, t)
}

// left takes a target that leaves out of the counts of ejections.
func (w *watch) left(r *run, t int) {
	w.leftAt[t] = r.now
	for _, in := range r.instances {
		if in.weights[t] <= 0 {
			in.nOut--
		}
	}
	w.out[t] = 0
}

func (w *watch) ejected(r *run, i, t int) {
	w.m.Ejections++
	w.noteSick(r, i, t)
	if r.now-w.lastSick[i][t] > r.Service.Deadline+lateEvidence {
		w.m.FalseEjections++
	}
	for n := range w.sick {
		k := &w.sick[n]
		if k.target == t && r.now >= r.Service.Onset {
			k.see(r.now, i)
			w.detect(r, k)
		}
	}
}

// see notes that an instance has set the target aside.
func (k *sickTarget) see(now time.Duration, instance int) {
	if k.seen[instance] || !slices.Contains(k.victims, instance) {
		return
	}
	k.seen[instance] = true
	k.last = now
}

func (w *watch) noteSick(r *run, i, t int) {
	if r.plan.health(r.now, t, i).Sick {
		w.lastSick[i][t] = r.now
	}
}

// detect notes when the last victim has set the target aside.
func (w *watch) detect(r *run, k *sickTarget) {
	if k.done {
		return
	}
	for _, i := range k.victims {
		if r.instances[i].weights[k.target] > 0 {
			return
		}
	}
	k.done = true
	if k.failed {
		k.took = r.now - k.first
	}
}

// sample looks at the whole fleet.
func (w *watch) sample(r *run) {
	s := r.Service
	joined := len(r.known) - len(w.leftAt)
	minInUse := s.MinInUse(joined)
	sum, union := 0.0, 0
	for _, known := range r.known {
		t := numberOf(known.ID)
		if known.State != fleet.Joined {
			continue
		}
		if w.out[t] > 0 {
			union++
		}
		serving := 0.0
		for i := range r.instances {
			h := r.plan.health(r.now, t, i)
			serving = max(serving, h.serving(s.Slots))
			w.sampleSick(r, i, t, h)
		}
		sum += serving * float64(s.Mean) / float64(r.targets[t].mean)
	}
	if w.counts(r) {
		healthy := sum * float64(s.Slots) / s.Mean.Seconds()
		w.m.CouldAnswer += min(s.rate(r.Load), healthy) * sampleEvery.Seconds()
	}
	for _, in := range r.instances {
		if joined-in.nOut < minInUse {
			w.m.BelowFloor += sampleEvery
		}
	}
	if joined-union < minInUse {
		w.m.UnionBelowFloor += sampleEvery
	}
}

func (w *watch) sampleSick(r *run, i, t int, h Health) {
	if h.Sick {
		w.lastSick[i][t] = r.now
	}
	if h.Sick || r.instances[i].weights[t] > 0 {
		return
	}
	w.m.HealthyOut += sampleEvery
}

// finish completes the measures.
func (w *watch) finish(r *run) Measures {
	m := w.m
	m.Instances = r.Service.Instances
	m.Length = r.Service.Length
	for _, k := range w.sick {
		if !k.failed && !k.done {
			continue
		}
		m.Sick++
		if k.done {
			m.Detected = append(m.Detected, k.took)
		}
		if len(k.seen) == len(k.victims) {
			m.Seen = append(m.Seen, max(0, k.last-k.first))
		}
	}
	return m
}
