package reelctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/logservice/standin"
	"github.com/clementinereel/clementinereel/publication"
	"github.com/clementinereel/clementinereel/status"
)

type fixture struct {
	t      testing.TB
	server *standin.Server
	url    string
}

func newFixture(t testing.TB) *fixture {
	server := standin.New(standin.Options{AppendRate: -1})
	ts := httptest.NewServer(server.Handler())
	t.Cleanup(ts.Close)
	return &fixture{t: t, server: server, url: ts.URL}
}

// run runs a command line and returns its output and exit code.
func (x *fixture) run(args ...string) (string, int) {
	var c Commands
	parser, err := kong.New(&c, kong.Exit(func(int) {}))
	assert.NilError(x.t, err)
	if args[0] != "check" {
		args = append(args, "--platform", x.url)
	}
	k, err := parser.Parse(args)
	assert.NilError(x.t, err)
	var out bytes.Buffer
	err = k.Run(&App{Context: context.Background(), Out: &out})
	if e := Reason(err); e != nil {
		fmt.Fprintln(&out, e)
	}
	return out.String(), ExitCode(err)
}

// change runs a command that changes something.
func (x *fixture) change(args ...string) (Result, int) {
	out, code := x.run(append(args, "--output", "json")...)
	var r Result
	assert.NilError(x.t, json.Unmarshal([]byte(out), &r), out)
	return r, code
}

// contract writes the example contract, with a piece replaced, to a file.
func (x *fixture) contract(old, new string) string {
	data, err := os.ReadFile(filepath.Join("..", "examples", "daugava.json"))
	assert.NilError(x.t, err)
	assert.Assert(x.t, cmp.Contains(string(data), old))
	file := filepath.Join(x.t.TempDir(), "contract.json")
	assert.NilError(x.t, os.WriteFile(file, []byte(strings.Replace(string(data), old, new, 1)), 0o600))
	return file
}

func (x *fixture) plain() string { return x.contract("", "") }

func TestCheck(t *testing.T) {
	x := newFixture(t)
	out, code := x.run("check", x.plain())
	assert.Equal(t, code, ExitOK, out)
	out, code = x.run("check", x.contract(`"class": "confirmation",`, `"class": "confirmation", "retry": {},`))
	assert.Equal(t, code, ExitRefused)
	assert.Equal(t, out, "routes[1].retry: not allowed for class confirmation: remove it\n")
	out, _ = x.run("check", "-o", "json", x.contract(`"slots_per_target"`, `"slots"`))
	assert.Assert(t, cmp.Contains(out, `"path": "services[0].slots"`))
}

func TestPublishReviseShowHistory(t *testing.T) {
	x := newFixture(t)
	r, code := x.change("publish", x.plain())
	assert.Equal(t, code, ExitOK, r.Message)
	assert.Equal(t, r.Revision, logservice.Offset(0))
	r, code = x.change("publish", x.plain())
	assert.Equal(t, code, ExitConflict, r.Message)
	faster := x.contract(`"deadline": "2s"`, `"deadline": "3s"`)
	r, code = x.change("revise", faster, "--base", "0")
	assert.Equal(t, code, ExitOK, r.Message)
	assert.Equal(t, r.Revision, logservice.Offset(1))
	r, code = x.change("revise", x.plain(), "--base", "0")
	assert.Equal(t, code, ExitConflict)
	assert.DeepEqual(t, r.Differences, []contract.Difference{{Path: "routes[prices].deadline", Old: `"3s"`, New: `"2s"`}})
	r, code = x.change("revise", x.plain(), "--base", "current")
	assert.Equal(t, code, ExitOK, r.Message)
	out, _ := x.run("show", "daugava", "--contract")
	_, err := contract.Decode([]byte(out))
	assert.NilError(t, err)
	out, _ = x.run("show", "daugava", "-o", "json")
	assert.Assert(t, cmp.Contains(out, `"revision": 2`))
	out, _ = x.run("show")
	assert.Assert(t, cmp.Contains(out, "daugava"))
	out, code = x.run("show", "nobody")
	assert.Equal(t, code, ExitRefused, out)
	out, _ = x.run("history", "daugava")
	assert.Equal(t, strings.Count(out, "accepted"), 3, out)
}

func TestTargets(t *testing.T) {
	x := newFixture(t)
	x.change("publish", x.plain())
	join := []string{"target", "join", "daugava/plan-uploads", "t1", "10.0.0.1:80", "--zone", "riga-a"}
	r, code := x.change(join...)
	assert.Equal(t, code, ExitOK, r.Message)
	r, code = x.change(join...)
	assert.Equal(t, code, ExitRefused)
	assert.Equal(t, r.Verdict, publication.WrongMove)
	r, code = x.change("target", "leave", "daugava/plan-uploads", "t1")
	assert.Equal(t, code, ExitOK, r.Message)
	out, _ := x.run("target", "list", "daugava/plan-uploads")
	assert.Assert(t, cmp.Contains(out, "leaving"))
	r, code = x.change("target", "stop", "daugava/plan-uploads", "t1")
	assert.Equal(t, code, ExitOK, r.Message)
	_, code = x.change("target", "join", "daugava/nothing", "t1", "10.0.0.1:80", "--zone", "riga-a")
	assert.Equal(t, code, ExitRefused)
}

func TestLostReplyIsSettledByReadingBack(t *testing.T) {
	x := newFixture(t)
	x.server.SetFaults(standin.Faults{LoseReplies: 1})
	r, code := x.change("publish", x.plain())
	assert.Equal(t, code, ExitOK, r.Message)
	x.server.SetFaults(standin.Faults{LateAppends: 1, LateBy: contract.Duration(50 * time.Millisecond)})
	r, code = x.change("revise", x.plain(), "--base", "0")
	assert.Equal(t, code, ExitOK, r.Message)
	assert.Equal(t, r.Revision, logservice.Offset(1))
}

func TestNotKnownYetIsSettledByAskingAgain(t *testing.T) {
	x := newFixture(t)
	x.change("publish", x.plain())
	x.server.SetFaults(standin.Faults{LateAppends: 1, LateBy: contract.Duration(time.Hour)})
	revise := []string{"revise", x.contract(`"deadline": "2s"`, `"deadline": "3s"`), "--base", "0", "--id", "mine"}
	r, code := x.change(append(revise, "--timeout", "100ms")...)
	assert.Equal(t, code, ExitNotKnown)
	assert.Equal(t, r.Verdict, NotKnown)
	out, code := x.run("publish", "--id", "mine")
	assert.Equal(t, code, ExitNotKnown, out)
	assert.Assert(t, cmp.Contains(out, "ask again: reelctl publish --id mine"))
	r, code = x.change(revise...)
	assert.Equal(t, code, ExitOK, r.Message)
	r, code = x.change("publish", "--id", "mine")
	assert.Equal(t, code, ExitOK, r.Message)
	assert.Equal(t, r.Revision, logservice.Offset(1))
	x.server.Append(publication.Stream, x.record(revise[1], "mine", 0))
	r, code = x.change("publish", "--id", "mine")
	assert.Equal(t, code, ExitOK, r.Message)
}

// record returns the record of a contract file.
func (x *fixture) record(file, id string, base logservice.Offset) []byte {
	doc, err := readContract(file)
	assert.NilError(x.t, err)
	data, err := publication.EncodeContract(id, base, doc)
	assert.NilError(x.t, err)
	return data
}

func TestLogDown(t *testing.T) {
	x := newFixture(t)
	x.change("publish", x.plain())
	x.server.SetFaults(standin.Faults{Outage: standin.Refuse})
	r, code := x.change("revise", x.plain(), "--base", "0")
	assert.Equal(t, code, ExitNotKnown)
	assert.Equal(t, r.Verdict, NotAppended)
	r, code = x.change("revise", x.plain(), "--base", "0", "--id", "earlier")
	assert.Equal(t, code, ExitNotKnown)
	assert.Equal(t, r.Verdict, NotKnown)
	out, code := x.run("show")
	assert.Equal(t, code, ExitNotKnown, out)
	x.server.SetFaults(standin.Faults{})
	r, code = x.change("revise", x.plain(), "--base", "0")
	assert.Equal(t, code, ExitOK, r.Message)
}

// TestRacingOperators lets two operators revise the same revision at once, in
// every other round with lost replies.
func TestRacingOperators(t *testing.T) {
	x := newFixture(t)
	first := x.plain()
	files := []string{x.contract(`"deadline": "2s"`, `"deadline": "3s"`), x.contract(`"deadline": "2s"`, `"deadline": "4s"`)}
	for round := range 50 {
		x := newFixture(t)
		_, code := x.change("publish", first)
		assert.Equal(t, code, ExitOK)
		x.server.SetFaults(standin.Faults{LoseReplies: 2 * (round % 2)})
		var results [2]Result
		var codes [2]int
		var wg sync.WaitGroup
		for i, file := range files {
			wg.Go(func() { results[i], codes[i] = x.change("revise", file, "--base", "0") })
		}
		wg.Wait()
		won, lost := 0, 1
		if codes[1] == ExitOK {
			won, lost = 1, 0
		}
		assert.Equal(t, codes[won], ExitOK, "round %d: %s", round, results[won].Message)
		assert.Equal(t, codes[lost], ExitConflict, "round %d: %s", round, results[lost].Message)
		assert.Equal(t, results[lost].CurrentID, results[won].ID)
		assert.Equal(t, results[lost].Differences[0].Path, "routes[prices].deadline")
	}
}

func TestExpiredRecordsWithCheckpoint(t *testing.T) {
	x := newFixture(t)
	x.change("publish", x.plain())
	s, err := readStream(context.Background(), logservice.NewClient(x.url, 0))
	assert.NilError(t, err)
	parts, err := s.state.EncodeCheckpoint()
	assert.NilError(t, err)
	x.server.Expire(publication.Stream, 1)
	out, code := x.run("show")
	assert.Equal(t, code, ExitNotKnown, out)
	x.server.Append(publication.Stream, parts[0])
	x.server.Expire(publication.Stream, 1)
	r, code := x.change("revise", x.plain(), "--base", "0")
	assert.Equal(t, code, ExitOK, r.Message)
}

func TestStatus(t *testing.T) {
	x := newFixture(t)
	reports := []status.Report{
		{Instance: "i1", Ready: true, Revisions: map[fleet.CustomerID]logservice.Offset{"daugava": 7}},
		{Instance: "i2", Revisions: map[fleet.CustomerID]logservice.Offset{"daugava": 3},
			Ejected: []status.Ejection{{Target: "t9", Service: "daugava/plan-uploads", Scope: "fleet", Reason: "timeouts"}}},
	}
	args := []string{"status", "--admin", "127.0.0.1:1"}
	for _, r := range reports {
		ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			assert.Equal(t, req.URL.String(), "/status?customer=daugava")
			_ = json.NewEncoder(w).Encode(r)
		}))
		t.Cleanup(ts.Close)
		args = append(args, "--instance", ts.URL)
	}
	out, code := x.run(append(args, "--customer", "daugava")...)
	assert.Equal(t, code, ExitNotKnown, out)
	assert.Assert(t, cmp.Contains(out, "no answer"))
	assert.Assert(t, cmp.Contains(out, "t9"))
}
