package instance_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/emulator"
	"github.com/clementinereel/clementinereel/examples"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/instance"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/logservice/standin"
	"github.com/clementinereel/clementinereel/publication"
	"github.com/clementinereel/clementinereel/settings"
)

const host = "quotes.daugava.example"

// bench is a small fleet in this process.
type bench struct {
	log     *logservice.Client
	list    *standin.Server
	logURL  string
	targets []*emulator.Emulator
	all     []*instance.Instance
}

func newBench(t *testing.T, n int) *bench {
	t.Helper()
	b := &bench{list: standin.New(standin.Options{})}
	srv := httptest.NewServer(b.list.Handler())
	t.Cleanup(srv.Close)
	b.logURL = srv.URL
	b.log = logservice.NewClient(srv.URL, 0)
	b.publish(t)
	for k := range n {
		b.start(t, k)
	}
	for _, i := range b.all {
		poll.WaitOn(t, ready(i), poll.WithTimeout(20*time.Second))
	}
	return b
}

func (b *bench) publish(t *testing.T) {
	t.Helper()
	con, err := contract.Decode(examples.Daugava)
	assert.NilError(t, err)
	b.append(t)(publication.EncodeContract("p-1", publication.NoRevision, con))
	for _, svc := range con.Services {
		for k := range 3 {
			em, err := emulator.New(emulator.Options{Slots: svc.Slots})
			assert.NilError(t, err)
			srv := httptest.NewServer(em.Handler())
			t.Cleanup(srv.Close)
			b.targets = append(b.targets, em)
			id := fleet.TargetID(fmt.Sprintf("%s-%d", svc.Name, k))
			b.append(t)(publication.EncodeTarget("join-"+string(id), publication.NoRevision, publication.Announcement{
				ID: id, Service: fleet.NewServiceID(con.Customer, svc.Name),
				Addr: strings.TrimPrefix(srv.URL, "http://"), Zone: "a", State: fleet.Joined,
			}))
		}
	}
}

func (b *bench) append(t *testing.T) func([]byte, error) {
	return func(rec []byte, err error) {
		t.Helper()
		assert.NilError(t, err)
		_, err = b.log.Append(context.Background(), publication.Stream, rec)
		assert.NilError(t, err)
	}
}

func (b *bench) start(t *testing.T, k int) {
	t.Helper()
	cfg := &settings.Settings{
		Instance: fleet.InstanceID(fmt.Sprintf("i-%d", k)), Zone: "a",
		Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", AdminListen: "127.0.0.1:0",
		Platform: settings.Platform{URL: b.logURL},
		Stop:     settings.Stop{BalancerWait: contract.Duration(time.Millisecond)},
	}
	assert.NilError(t, cfg.Complete())
	i, err := instance.New(cfg)
	assert.NilError(t, err)
	b.list.Put(logservice.Listed{ID: cfg.Instance, Addr: i.PeerAddr(), Zone: cfg.Zone, State: logservice.Live})
	i.Start()
	t.Cleanup(i.Stop)
	b.all = append(b.all, i)
}

func ready(i *instance.Instance) poll.Check {
	return func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + i.AdminAddr() + "/readyz")
		if err != nil {
			return poll.Continue("%v", err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("status %d", resp.StatusCode)
		}
		return poll.Success()
	}
}

func send(t *testing.T, i *instance.Instance, method, path, body string, h http.Header) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+i.CallerAddr()+path, strings.NewReader(body))
	assert.NilError(t, err)
	if h != nil {
		req.Header = h
	}
	req.Host = host
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(got)
}

func TestEachClassComesBackWhole(t *testing.T) {
	t.Parallel()
	b := newBench(t, 3)
	for k, i := range b.all {
		resp, got := send(t, i, http.MethodGet, "/v1/prices/worktops", "", nil)
		assert.Equal(t, resp.StatusCode, http.StatusOK, got)
		key := http.Header{"Idempotency-Key": {fmt.Sprintf("quote-%d", k)}}
		resp, got = send(t, i, http.MethodPost, "/v1/quotes/confirmations", `{"quote":1}`, key)
		assert.Equal(t, resp.StatusCode, http.StatusOK, got)
		resp, got = send(t, i, http.MethodPost, "/v1/plans/kitchen.jpg", strings.Repeat("x", 1<<20), nil)
		assert.Equal(t, resp.StatusCode, http.StatusOK, got)
		assert.Assert(t, resp.Header.Get("Request-Id") != "")
	}
}

func TestRepeatThroughAnotherInstanceGetsTheFirstAnswer(t *testing.T) {
	t.Parallel()
	b := newBench(t, 2)
	const path = "/v1/quotes/confirmations"
	key := http.Header{"Idempotency-Key": {"quote-1"}}
	first, want := send(t, b.all[0], http.MethodPost, path, `{"quote":1}`, key)
	assert.Equal(t, first.StatusCode, http.StatusOK, want)
	again, got := send(t, b.all[1], http.MethodPost, path, `{"quote":1}`, key)
	assert.Equal(t, again.StatusCode, http.StatusOK, got)
	assert.Equal(t, got, want)
	assert.Equal(t, again.Header.Get("Operation-Replayed"), "true")
	other, got := send(t, b.all[1], http.MethodPost, path, `{"quote":2}`, key)
	assert.Equal(t, other.StatusCode, http.StatusUnprocessableEntity, got)
	none, got := send(t, b.all[0], http.MethodPost, path, `{"quote":1}`, nil)
	assert.Equal(t, none.StatusCode, http.StatusBadRequest, got)
	assert.Equal(t, b.work(), 1)
}

// work counts the requests that reached targets.
func (b *bench) work() int {
	n := 0
	for _, target := range b.targets {
		n += target.Stats().Work
	}
	return n
}

func TestUnknownHostIsAProblem(t *testing.T) {
	t.Parallel()
	b := newBench(t, 1)
	req, err := http.NewRequest(http.MethodGet, "http://"+b.all[0].CallerAddr()+"/v1/prices", nil)
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusNotFound)
	assert.Equal(t, resp.Header.Get("Content-Type"), "application/problem+json")
}
