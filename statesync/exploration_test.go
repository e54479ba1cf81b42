package statesync

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/registry"
)

// writer is a target's own state, which it writes to the store.
type writer struct {
	sequence int64
	leaving  bool
	removed  bool
}

// logRecord is a record of the store's log of targets; entry is nil for a removal.
type logRecord struct {
	id    fleet.TargetID
	entry *registry.Entry
}

// world simulates a store, its writers, the instances that follow it, and responses in flight.
type world struct {
	t       *rapid.T
	now     time.Time
	epoch   registry.Epoch
	targets []logRecord
	// documents are the versions in the store; version is the last one written.
	documents []document.Version
	version   document.Version
	writers   []*writer
	instances []*modelInstance
	pending   []func()
}

// modelInstance is an instance with what check has seen of it.
type modelInstance struct {
	*State
	// maxVersion is the highest document version that was applied.
	maxVersion document.Version
	// usedSequences are the last sequences seen in use, by target.
	usedSequences map[fleet.TargetID]int64
	// knownLeft are targets whose last entry or leaving notice the instance has received.
	knownLeft map[fleet.TargetID]bool
}

func idOf(n int) fleet.TargetID { return fleet.TargetID(fmt.Sprint("t", n)) }

func (w *world) freshInstance() *modelInstance {
	s := NewState(0, nil)
	s.clock = func() time.Time { return w.now }
	return &modelInstance{State: s, usedSequences: make(map[fleet.TargetID]int64), knownLeft: make(map[fleet.TargetID]bool)}
}

// write appends a target's entry with the next sequence.
func (w *world) write(n int) {
	x := w.writers[n]
	x.sequence++
	w.rewrite(n)
}

// rewrite appends a target's entry with the same sequence, or its removal.
func (w *world) rewrite(n int) {
	x := w.writers[n]
	if x.removed {
		w.targets = append(w.targets, logRecord{idOf(n), nil})
		return
	}
	w.targets = append(w.targets, logRecord{idOf(n), &registry.Entry{ID: idOf(n), Service: "s", Sequence: x.sequence, Leaving: x.leaving}})
}

// join adds a target.
func (w *world) join() {
	w.writers = append(w.writers, new(writer))
	w.write(len(w.writers) - 1)
}

// pickTarget draws a target that is not removed; it returns false if there is none.
func (w *world) pickTarget() (int, bool) {
	var left []int
	for n, x := range w.writers {
		if !x.removed {
			left = append(left, n)
		}
	}
	if len(left) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(left).Draw(w.t, "target"), true
}

func (w *world) renew() {
	if n, ok := w.pickTarget(); ok {
		w.write(n)
	}
}

func (w *world) leave() {
	if n, ok := w.pickTarget(); ok {
		w.writers[n].leaving = true
		w.write(n)
	}
}

// vanish removes a target's entry without a leaving notice.
func (w *world) vanish() {
	if n, ok := w.pickTarget(); ok {
		w.writers[n].removed = true
		w.rewrite(n)
	}
}

// configure writes a new document.
func (w *world) configure() {
	w.version++
	w.documents = append(w.documents, w.version)
}

// restore restores the store from an older copy.
func (w *world) restore() {
	w.epoch++
	w.targets = w.targets[:rapid.IntRange(max(len(w.targets)-6, 0), len(w.targets)).Draw(w.t, "kept")]
	w.documents = w.documents[:rapid.IntRange(max(len(w.documents)-2, 0), len(w.documents)).Draw(w.t, "documents")]
}

// end returns the position after the last record of targets.
func (w *world) end() registry.Position {
	return registry.Position{Epoch: w.epoch, Offset: registry.Offset(len(w.targets))}
}

// expireEntries removes the entries of removed targets from the store.
func (w *world) expireEntries() {
	newest := w.newestEntries()
	for n, x := range w.writers {
		if x.removed && newest[idOf(n)] != nil {
			w.rewrite(n)
		}
	}
}

// newestEntries returns the store's entries; nil for one that was removed.
func (w *world) newestEntries() map[fleet.TargetID]*registry.Entry {
	newest := make(map[fleet.TargetID]*registry.Entry)
	for _, r := range w.targets {
		newest[r.id] = r.entry
	}
	return newest
}

// advanceTime advances the clock beyond all grace periods and the retention of unconfirmed
// targets. Pending responses are lost, as none is that late, and all instances first read
// everything in the store.
func (w *world) advanceTime() {
	w.pending = nil
	w.expireEntries()
	w.sync()
	const long = time.Minute
	w.now = w.now.Add(long)
	for _, in := range w.instances {
		in.tick(w.now, storeStatus{})
	}
}

// rewriteOne lets one writer rewrite an entry that the store may have lost.
func (w *world) rewriteOne() {
	if n, ok := w.pickTarget(); ok {
		w.rewrite(n)
	}
}

func (w *world) pickInstance() *modelInstance {
	return rapid.SampledFrom(w.instances).Draw(w.t, "instance")
}

// deliverNowOrLater applies a response at once, or adds it to the pending ones.
func (w *world) deliverNowOrLater(apply func()) {
	if rapid.IntRange(0, 3).Draw(w.t, "late") == 0 {
		w.pending = append(w.pending, apply)
		return
	}
	apply()
}

// deliverPending delivers or drops any of the pending responses.
func (w *world) deliverPending() {
	if len(w.pending) == 0 {
		return
	}
	n := rapid.IntRange(0, len(w.pending)-1).Draw(w.t, "answer")
	apply := w.pending[n]
	w.pending = append(w.pending[:n], w.pending[n+1:]...)
	if rapid.Bool().Draw(w.t, "lost") {
		return
	}
	apply()
}

// snapshotOf returns the newest record of each key.
func (w *world) snapshotOf(stream Stream) Batch {
	b := Batch{Next: registry.Offset(len(w.targets)), Epoch: w.epoch}
	if stream == Documents {
		b.Next = registry.Offset(len(w.documents))
		if len(w.documents) > 0 {
			b.Records = []Record{{Document: documentOf(w.documents[len(w.documents)-1])}}
		}
		return b
	}
	for id, e := range w.newestEntries() {
		if e != nil {
			b.Records = append(b.Records, Record{ID: id, Entry: e})
		}
	}
	return b
}

// changesOf returns the changes from an offset on, up to a limit.
func (w *world) changesOf(stream Stream, from, limit int) Batch {
	b := Batch{Next: registry.Offset(from), Epoch: w.epoch}
	for o := from; o < min(from+limit, max(len(w.targets), len(w.documents))); o++ {
		switch {
		case stream == Documents && o < len(w.documents):
			b.Records = append(b.Records, Record{Offset: registry.Offset(o), Document: documentOf(w.documents[o])})
		case stream == Targets && o < len(w.targets):
			b.Records = append(b.Records, Record{Offset: registry.Offset(o), ID: w.targets[o].id, Entry: w.targets[o].entry})
		}
	}
	b.Next += registry.Offset(len(b.Records))
	return b
}

// read lets an instance read a stream from the store, as Follower.readOnce does.
func (w *world) read(in *modelInstance, stream Stream, limit int, deliver func(func())) {
	next := in.next(stream)
	end := len(w.targets)
	if stream == Documents {
		end = len(w.documents)
	}
	if next.Offset == 0 || next.Epoch != w.epoch || int(next.Offset) > end {
		b := w.snapshotOf(stream)
		deliver(func() { in.applySnapshot(stream, b, "store") })
		return
	}
	b := w.changesOf(stream, int(next.Offset), limit)
	deliver(func() { in.applyBatch(stream, b, "store") })
}

// sync lets all instances read everything in the store.
func (w *world) sync() {
	now := func(apply func()) { apply() }
	for _, in := range w.instances {
		w.read(in, Documents, math.MaxInt32, now)
		w.read(in, Targets, math.MaxInt32, now)
	}
}

// pull lets an instance pull from a peer.
func (w *world) pull(in, peer *modelInstance, deliver func(func())) {
	version, position := in.Versions()
	r := pullRequest{document: version, registry: position, full: in.needsPeerState()}
	whole := peer.peerSnapshot(r)
	deliver(func() { in.applyPeerSnapshot(whole, "peer", r.full) })
}

// check fails if an instance has gone back to an older document or uses a target again that it
// knows to be removed.
func (w *world) check() {
	for i, in := range w.instances {
		version, _ := in.Versions()
		if version < in.maxVersion {
			w.t.Fatalf("instance %d went back from document %d to %d", i, in.maxVersion, version)
		}
		in.maxVersion = version
		for n, x := range w.writers {
			w.checkTarget(i, in, idOf(n), x)
		}
	}
}

// checkTarget checks that an instance does not use a target again that it knows to have left.
// An instance that received neither the target's last entry nor its leaving notice may use it
// again: to that instance, an entry with a higher sequence is valid.
func (w *world) checkTarget(i int, in *modelInstance, id fleet.TargetID, x *writer) {
	if t := in.Targets().Target(id); t != nil {
		if in.knownLeft[id] {
			w.t.Fatalf("instance %d uses %s again, which it knows to have left", i, id)
		}
		in.usedSequences[id] = t.Sequence
		return
	}
	if in.next(Targets) != w.end() || in.usedSequences[id] == 0 {
		return
	}
	newest := w.newestEntries()[id]
	receivedNotice := newest != nil && newest.Leaving
	receivedLast := x.removed && in.usedSequences[id] == x.sequence
	in.knownLeft[id] = in.knownLeft[id] || receivedNotice || receivedLast
}

// settle lets the writers rewrite what the store lost, removes the entries of removed targets,
// lets all instances read and pull from each other, and checks that they have converged.
func (w *world) settle() {
	w.pending = nil
	now := func(apply func()) { apply() }
	newest := w.newestEntries()
	for n, x := range w.writers {
		e := newest[idOf(n)]
		if kept := e != nil && e.Sequence == x.sequence && !x.removed; !kept && (e != nil || !x.removed) {
			w.rewrite(n)
		}
	}
	if len(w.documents) == 0 || w.documents[len(w.documents)-1] != w.version {
		w.documents = append(w.documents, w.version)
	}
	for range 3 {
		w.sync()
		for i, in := range w.instances {
			w.pull(in, w.instances[(i+1)%len(w.instances)], now)
		}
	}
	w.check()
	w.advanceTime()
	for i, in := range w.instances {
		version, _ := in.Versions()
		if version != w.version {
			w.t.Fatalf("instance %d has document %d, but %d was written last", i, version, w.version)
		}
		for n, x := range w.writers {
			if wants := !x.leaving && !x.removed; wants != (in.Targets().Target(idOf(n)) != nil) {
				w.t.Fatalf("instance %d: target %s in use: %v, want %v", i, idOf(n), !wants, wants)
			}
		}
	}
}

// TestInstancesConvergeToLastWrites explores writes, restores, late and lost responses, pulls
// between peers and restarts of instances. No instance may go back to an older document or use a
// target again after it has dropped it as left; once all pending work is done, all instances have
// what the writers wrote last.
func TestInstancesConvergeToLastWrites(t *testing.T) {
	for range *explorations {
		explore(t)
	}
}

// explorations can be raised for long manual runs.
var explorations = flag.Int("statesync.explorations", 30, "number of rapid checks to run, of 100 series each")

func explore(t *testing.T) {
	const instances = 3
	rapid.Check(t, func(rt *rapid.T) {
		w := &world{t: rt, epoch: 1, now: time.Unix(1000, 0)}
		for range instances {
			w.instances = append(w.instances, w.freshInstance())
		}
		for range 3 {
			w.join()
		}
		w.configure()
		w.sync()
		rt.Repeat(map[string]func(*rapid.T){
			"join":      func(*rapid.T) { w.join() },
			"renew":     func(*rapid.T) { w.renew() },
			"leave":     func(*rapid.T) { w.leave() },
			"vanish":    func(*rapid.T) { w.vanish() },
			"configure": func(*rapid.T) { w.configure() },
			"restore":   func(*rapid.T) { w.restore() },
			"repeat":    func(*rapid.T) { w.rewriteOne() },
			"sync":      func(*rapid.T) { w.sync() },
			"pass":      func(*rapid.T) { w.advanceTime() },
			"arrive":    func(*rapid.T) { w.deliverPending() },
			"start":     func(*rapid.T) { w.instances[rapid.IntRange(0, instances-1).Draw(rt, "started")] = w.freshInstance() },
			"read": func(*rapid.T) {
				stream := rapid.SampledFrom([]Stream{Documents, Targets}).Draw(rt, "stream")
				w.read(w.pickInstance(), stream, rapid.IntRange(1, 4).Draw(rt, "changes"), w.deliverNowOrLater)
			},
			"pull": func(*rapid.T) {
				if in, peer := w.pickInstance(), w.pickInstance(); in != peer {
					w.pull(in, peer, w.deliverNowOrLater)
				}
			},
			"": func(*rapid.T) { w.check() },
		})
		w.settle()
	})
}
