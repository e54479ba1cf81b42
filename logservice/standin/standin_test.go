package standin

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/logservice"
)

func start(t *testing.T, o Options) (*Server, *logservice.Client, string) {
	s := New(o)
	ts := httptest.NewServer(s.Handler())
	t.Cleanup(ts.Close)
	return s, logservice.NewClient(ts.URL, time.Minute), ts.URL
}

func TestAppendAndRead(t *testing.T) {
	ctx := context.Background()
	_, c, _ := start(t, Options{})
	got := make(chan logservice.Batch, 1)
	go func() {
		b, _ := c.Read(ctx, "s", 0, 10, time.Minute)
		got <- b
	}()
	off, err := c.Append(ctx, "s", []byte("one"))
	assert.NilError(t, err)
	assert.Equal(t, off, logservice.Offset(0))
	b := <-got
	assert.Equal(t, string(b.Records[0].Data), "one")
	assert.Equal(t, b.Next, logservice.Offset(1))
	b, err = c.Read(ctx, "s", 1, 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(b.Records), 0)
}

func TestLostReplyTakesEffect(t *testing.T) {
	ctx := context.Background()
	s, c, _ := start(t, Options{})
	s.SetFaults(Faults{LoseReplies: 1})
	_, err := c.Append(ctx, "s", []byte("one"))
	assert.Assert(t, err != nil && !errors.Is(err, logservice.ErrRefused))
	off, err := c.Append(ctx, "s", []byte("two"))
	assert.NilError(t, err)
	assert.Equal(t, off, logservice.Offset(1))
}

func TestLateAppendTakesEffectLater(t *testing.T) {
	ctx := context.Background()
	s, c, _ := start(t, Options{})
	s.SetFaults(Faults{LateAppends: 1, LateBy: contract.Duration(20 * time.Millisecond)})
	_, err := c.Append(ctx, "s", []byte("late"))
	assert.Assert(t, err != nil && !errors.Is(err, logservice.ErrRefused))
	b, err := c.Read(ctx, "s", 0, 1, 30*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, string(b.Records[0].Data), "late")
}

func TestOutageBreaksLongPolls(t *testing.T) {
	s, c, _ := start(t, Options{})
	done := make(chan error, 1)
	go func() {
		_, err := c.Read(context.Background(), "s", 0, 1, 30*time.Second)
		done <- err
	}()
	s.SetFaults(Faults{Outage: Refuse})
	assert.Assert(t, <-done != nil)
}

func TestOutage(t *testing.T) {
	ctx := context.Background()
	s, c, url := start(t, Options{})
	req, err := http.NewRequest(http.MethodPut, url+"/faults", bytes.NewBufferString(`{"outage":"refuse"}`))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, s.Faults().Outage, Refuse)
	_, err = c.Read(ctx, "s", 0, 1, 0)
	assert.ErrorContains(t, err, "503")
	s.SetFaults(Faults{Outage: Hang})
	done := make(chan error, 1)
	go func() {
		_, err := c.Append(ctx, "s", []byte("x"))
		done <- err
	}()
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	_, err = c.Read(short, "s", 0, 1, 0)
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
	s.SetFaults(Faults{})
	assert.Assert(t, <-done != nil)
	b, err := c.Read(ctx, "s", 0, 1, 0)
	assert.NilError(t, err)
	assert.Equal(t, b.Next, logservice.Offset(0))
}

func TestExpiry(t *testing.T) {
	ctx := context.Background()
	now := time.Unix(1000, 0)
	s, c, _ := start(t, Options{Now: func() time.Time { return now }})
	for range 5 {
		s.Append("s", []byte("x"))
	}
	s.SetFaults(Faults{KeepRecords: 2})
	b, err := c.Read(ctx, "s", 0, 10, 0)
	assert.Assert(t, errors.Is(err, logservice.ErrExpired))
	assert.Equal(t, b.First, logservice.Offset(3))
	s.SetFaults(Faults{KeepFor: contract.Duration(time.Second)})
	now = now.Add(2 * time.Second)
	b, err = c.Read(ctx, "s", 3, 10, 0)
	assert.Assert(t, errors.Is(err, logservice.ErrExpired))
	assert.Equal(t, b.First, b.Next)
}

func TestRateLimitRefuses(t *testing.T) {
	ctx := context.Background()
	now := time.Unix(1000, 0)
	_, c, _ := start(t, Options{AppendRate: 2, Now: func() time.Time { return now }})
	for range 2 {
		_, err := c.Append(ctx, "s", nil)
		assert.NilError(t, err)
	}
	_, err := c.Append(ctx, "s", nil)
	assert.Assert(t, errors.Is(err, logservice.ErrRefused))
}

func TestListLags(t *testing.T) {
	ctx := context.Background()
	now := time.Unix(1000, 0)
	s, c, url := start(t, Options{Now: func() time.Time { return now }, Faults: Faults{ListLag: contract.Duration(time.Second)}})
	req, err := http.NewRequest(http.MethodPut, url+"/v1/instances/i1", bytes.NewBufferString(`{"addr":"127.0.0.1:1","zone":"a"}`))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	list, err := c.Instances(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0)
	now = now.Add(time.Second)
	list, err = c.Instances(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, list, []logservice.Listed{{ID: "i1", Addr: "127.0.0.1:1", Zone: "a", State: logservice.Live}})
	s.Remove("i1")
	assert.Equal(t, len(s.Instances()), 1)
	now = now.Add(time.Second)
	assert.Equal(t, len(s.Instances()), 0)
}
