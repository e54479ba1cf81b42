package follow

import (
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/logservice/standin"
	"github.com/clementinereel/clementinereel/peer/peerv1"
	"github.com/clementinereel/clementinereel/peer/peerv1/peerv1connect"
	"github.com/clementinereel/clementinereel/publication"
)

const limit = time.Minute

// quick are settings that let tests end soon.
var quick = Settings{
	ReadWait:           50 * time.Millisecond,
	RetryMin:           time.Millisecond,
	RetryMax:           10 * time.Millisecond,
	PeerWait:           100 * time.Millisecond,
	PeerInterval:       5 * time.Millisecond,
	CheckpointInterval: 5 * time.Millisecond,
}

// mesh lets followers pull from each other in the process.
type mesh struct {
	mu        sync.Mutex
	followers map[fleet.InstanceID]*Follower
	// stale holds snapshots that are served in place of a follower's answer.
	stale map[fleet.InstanceID]Pulled
	// unheld makes long polls fail, and hidden hides the offsets.
	unheld, hidden bool
}

type meshPeers struct {
	mesh *mesh
	self fleet.InstanceID
}

func (p meshPeers) Offsets() map[fleet.InstanceID]logservice.Offset {
	p.mesh.mu.Lock()
	defer p.mesh.mu.Unlock()
	offsets := make(map[fleet.InstanceID]logservice.Offset)
	for id, f := range p.mesh.followers {
		switch {
		case id == p.self:
		case p.mesh.hidden:
			offsets[id] = 0
		default:
			offsets[id] = f.Next()
		}
	}
	return offsets
}

func (p meshPeers) Pull(ctx context.Context, id fleet.InstanceID, from logservice.Offset, wait time.Duration) (Pulled, error) {
	p.mesh.mu.Lock()
	f, ok := p.mesh.followers[id]
	stale, old := p.mesh.stale[id]
	ok = ok && (wait == 0 || !p.mesh.unheld)
	p.mesh.mu.Unlock()
	if old {
		return stale, nil
	}
	if !ok {
		return Pulled{}, errors.New("no such peer")
	}
	return f.Serve(ctx, p.self, from, wait)
}

// unreachable is a log that cannot be reached.
type unreachable struct{}

func (unreachable) Append(context.Context, string, []byte) (logservice.Offset, error) {
	return 0, errors.New("unreachable")
}

func (unreachable) Read(context.Context, string, logservice.Offset, int, time.Duration) (logservice.Batch, error) {
	return logservice.Batch{}, errors.New("unreachable")
}

type fixture struct {
	t       testing.TB
	mesh    *mesh
	server  *standin.Server
	log     *logservice.Client
	example *contract.Contract
}

func newFixture(t testing.TB) *fixture {
	server := standin.New(standin.Options{AppendRate: -1})
	ts := httptest.NewServer(server.Handler())
	t.Cleanup(ts.Close)
	data, err := os.ReadFile(filepath.Join("..", "examples", "daugava.json"))
	assert.NilError(t, err)
	c, err := contract.Decode(data)
	assert.NilError(t, err)
	m := &mesh{followers: map[fleet.InstanceID]*Follower{}, stale: map[fleet.InstanceID]Pulled{}}
	return &fixture{t: t, mesh: m, server: server, log: logservice.NewClient(ts.URL, time.Second), example: c}
}

// start runs a follower until the test ends.
func (x *fixture) start(id fleet.InstanceID, o Options) *Follower {
	if o.Settings == (Settings{}) {
		o.Settings = quick
	}
	o.Peers = meshPeers{x.mesh, id}
	f := New(o)
	x.mesh.mu.Lock()
	x.mesh.followers[id] = f
	x.mesh.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(done)
	}()
	x.t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

// publish appends a revision of the example contract, past all faults.
func (x *fixture) publish(id string, base logservice.Offset) logservice.Offset {
	data, err := publication.EncodeContract(id, base, x.example)
	assert.NilError(x.t, err)
	return x.server.Append(publication.Stream, data)
}

func (x *fixture) await(f *Follower, id string) {
	x.t.Helper()
	poll.WaitOn(x.t, func(poll.LogT) poll.Result {
		if p := f.View().Contracts["daugava"]; p != nil && p.PublicationID == id {
			return poll.Success()
		}
		return poll.Continue("%s is not in force", id)
	}, poll.WithTimeout(limit), poll.WithDelay(time.Millisecond))
}

func TestFollowsTheLog(t *testing.T) {
	x := newFixture(t)
	seen := make(chan logservice.Offset, 100)
	f := x.start("a", Options{Log: x.log, OnChange: func(v *publication.View) { seen <- v.Next }})
	base := x.publish("one", publication.NoRevision)
	x.await(f, "one")
	x.publish("two", base)
	x.await(f, "two")
	assert.Assert(t, <-seen > 0)
	assert.Assert(t, !f.Contact().IsZero())
}

func TestSkipsMalformedAndRefusesStaleRecords(t *testing.T) {
	x := newFixture(t)
	f := x.start("a", Options{Log: x.log})
	for range 2 * maxLines {
		x.server.Append(publication.Stream, []byte("rubbish"))
	}
	base := x.publish("one", publication.NoRevision)
	x.publish("late", publication.NoRevision)
	x.publish("two", base)
	x.await(f, "two")
	assert.Equal(t, f.counters.malformed.Count(), int64(2*maxLines))
	assert.Equal(t, f.counters.refused.Count(), int64(1))
	assert.Equal(t, f.counters.records.Count(), int64(2*maxLines+3))
}

func TestFollowsPeersWithoutTheLog(t *testing.T) {
	x := newFixture(t)
	x.start("a", Options{Log: x.log})
	cut := x.start("cut", Options{Log: unreachable{}})
	idle := x.start("idle", Options{Log: x.log, Tail: func() bool { return false }})
	base := x.publish("one", publication.NoRevision)
	x.await(cut, "one")
	x.await(idle, "one")
	x.publish("two", base)
	x.await(cut, "two")
	x.await(idle, "two")
	assert.Assert(t, !cut.Contact().IsZero())
}

// TestTellingReachesWhomLongPollsDoNot follows a log that one of many reaches,
// while long polls fail and offsets are not known.
func TestTellingReachesWhomLongPollsDoNot(t *testing.T) {
	x := newFixture(t)
	x.mesh.unheld, x.mesh.hidden = true, true
	cut := []*Follower{}
	for _, id := range []fleet.InstanceID{"b", "c", "d"} {
		cut = append(cut, x.start(id, Options{Log: unreachable{}}))
	}
	x.start("a", Options{Log: x.log})
	base := x.publish("one", publication.NoRevision)
	for _, f := range cut {
		x.await(f, "one")
	}
	x.publish("two", base)
	for _, f := range cut {
		x.await(f, "two")
	}
}

func TestLogDownKeepsWhatIsInForce(t *testing.T) {
	x := newFixture(t)
	f := x.start("a", Options{Log: x.log})
	base := x.publish("one", publication.NoRevision)
	x.await(f, "one")
	for _, outage := range []standin.Outage{standin.Refuse, standin.Hang} {
		x.server.SetFaults(standin.Faults{Outage: outage})
		failed := f.counters.logErrors.Count()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if f.counters.logErrors.Count() > failed {
				return poll.Success()
			}
			return poll.Continue("the log has not failed")
		}, poll.WithTimeout(limit), poll.WithDelay(time.Millisecond))
		assert.Equal(t, f.View().Contracts["daugava"].PublicationID, "one")
	}
	fresh := x.start("fresh", Options{Log: x.log})
	x.await(fresh, "one")
	x.server.SetFaults(standin.Faults{})
	x.publish("two", base)
	x.await(f, "two")
	x.await(fresh, "two")
}

func TestFreshStartFromCheckpoint(t *testing.T) {
	x := newFixture(t)
	f := x.start("a", Options{Log: x.log, Checkpoint: func() bool { return true }})
	base := x.publish("one", publication.NoRevision)
	x.await(f, "one")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !f.replica.Checkpoint().Time.IsZero() {
			return poll.Success()
		}
		return poll.Continue("no checkpoint")
	}, poll.WithTimeout(limit), poll.WithDelay(time.Millisecond))
	x.server.Expire(publication.Stream, base+1)
	x.mesh.mu.Lock()
	delete(x.mesh.followers, "a")
	x.mesh.mu.Unlock()
	fresh := x.start("fresh", Options{Log: x.log})
	x.await(fresh, "one")
	x.publish("two", base)
	x.await(fresh, "two")
	assert.Assert(t, f.counters.checkpoints.Count() >= 1)
}

func TestExpiredWithoutCheckpointTakesPeersState(t *testing.T) {
	x := newFixture(t)
	f := x.start("a", Options{Log: x.log})
	x.publish("one", publication.NoRevision)
	x.await(f, "one")
	x.server.Expire(publication.Stream, 1)
	alone := New(Options{Log: x.log, Settings: quick})
	assert.ErrorContains(t, alone.read(context.Background()), "no checkpoint")
	x.await(x.start("fresh", Options{Log: x.log}), "one")
}

func TestNeverGoesBack(t *testing.T) {
	x := newFixture(t)
	f := x.start("a", Options{Log: x.log})
	base := x.publish("one", publication.NoRevision)
	x.await(f, "one")
	old, err := f.snapshot()
	assert.NilError(t, err)
	x.publish("two", base)
	x.await(f, "two")
	old.Next = 100
	x.mesh.mu.Lock()
	x.mesh.stale["liar"] = old
	x.mesh.mu.Unlock()
	assert.NilError(t, f.pullFrom(context.Background(), "liar", 0))
	assert.Equal(t, f.View().Contracts["daugava"].PublicationID, "two")
	behind := New(Options{Log: newFixture(t).log, Settings: quick})
	got, err := f.Serve(context.Background(), "", 0, 0)
	assert.NilError(t, err)
	behind.apply(got.Records)
	assert.ErrorContains(t, behind.read(context.Background()), "before the state in force")
	assert.Equal(t, behind.View().Contracts["daugava"].PublicationID, "two")
}

func TestCheckpointIsDueByAgeAndByRecords(t *testing.T) {
	x := newFixture(t)
	f := New(Options{Log: x.log, Settings: Settings{CheckpointRecords: 3}})
	now := time.Unix(1_800_000_000, 0)
	assert.Assert(t, !f.checkpointDue(now))
	f.apply([]logservice.Record{{Offset: 0, Time: now}})
	assert.Assert(t, f.checkpointDue(now))
	parts, err := f.state().EncodeCheckpoint()
	assert.NilError(t, err)
	f.apply([]logservice.Record{{Offset: 1, Time: now, Data: parts[0]}})
	assert.Assert(t, !f.checkpointDue(now.Add(5*time.Hour)))
	assert.Assert(t, f.checkpointDue(now.Add(7*time.Hour)))
	f.apply([]logservice.Record{{Offset: 2, Time: now}, {Offset: 3, Time: now}, {Offset: 4, Time: now}})
	assert.Assert(t, f.checkpointDue(now))
}

func TestPullOverConnect(t *testing.T) {
	x := newFixture(t)
	f := x.start("a", Options{Log: x.log})
	x.publish("one", publication.NoRevision)
	x.await(f, "one")
	path, h := f.Handler()
	assert.Equal(t, path, "/peer.v1.ConfigService/")
	ts := httptest.NewServer(h)
	t.Cleanup(ts.Close)
	c := peerv1connect.NewConfigServiceClient(ts.Client(), ts.URL)
	resp, err := c.Pull(context.Background(), connect.NewRequest(&peerv1.PullRequest{}))
	assert.NilError(t, err)
	other := New(Options{Log: x.log})
	other.apply(decodePulled(resp.Msg).Records)
	assert.DeepEqual(t, other.View(), f.View())
	_, err = c.Pull(context.Background(), connect.NewRequest(&peerv1.PullRequest{From: -1}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
}
