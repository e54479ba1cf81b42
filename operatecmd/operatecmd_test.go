package operatecmd

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/claim"
	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice/standin"
	"github.com/clementinereel/clementinereel/operate"
	"github.com/clementinereel/clementinereel/operation"
	"github.com/clementinereel/clementinereel/reelctl"
)

type bench struct {
	t      *testing.T
	server *standin.Server
	url    string
}

func newBench(t *testing.T) *bench {
	server := standin.New(standin.Options{AppendRate: -1})
	h := httptest.NewServer(server.Handler())
	t.Cleanup(h.Close)
	return &bench{t: t, server: server, url: h.URL}
}

var holder = fleet.Holder{Instance: "i-7", Incarnation: 3}

// record appends what became of a key at a stopped or running instance.
func (b *bench) record(key string, seq uint64, kinds ...claim.Kind) {
	k := operation.Key{Customer: "daugava", Name: key}
	for _, kind := range kinds {
		e := claim.Entry{
			Kind: kind, Key: k, Claim: claim.ID{Holder: holder, Seq: seq}, Digest: "abc", Window: time.Hour,
			Target: "t-4", Presumed: kind == claim.Lose && seq > 1,
		}
		b.server.Append(claim.StreamName(k.Partition(16)), claim.Encode([]claim.Entry{e}))
	}
}

// run runs a command line and returns its output and exit code.
func (b *bench) run(line string) (string, int) {
	var c Cmd
	var out bytes.Buffer
	parser, err := kong.New(&c)
	assert.NilError(b.t, err)
	args := append(strings.Fields(line), "--platform="+b.url, "--timeout=5s")
	k, err := parser.Parse(args)
	assert.NilError(b.t, err)
	err = k.Run(&reelctl.App{Context: context.Background(), Out: &out})
	return out.String(), reelctl.ExitCode(err)
}

func (b *bench) want(line string, code int) string {
	b.t.Helper()
	out, got := b.run(line)
	assert.Equal(b.t, got, code, "%s: %s", line, out)
	return out
}

func TestListAndSettle(t *testing.T) {
	b := newBench(t)
	b.record("sent", 1, claim.Claim, claim.Lose)
	b.record("crashed", 2, claim.Claim, claim.Lose)
	b.record("held", 3, claim.Claim)
	b.record("done", 4, claim.Claim, claim.Complete)
	var lines []Line
	assert.NilError(t, json.Unmarshal([]byte(b.want("list -o json --customer daugava", 0)), &lines))
	assert.Equal(t, len(lines), 2)
	for _, l := range lines {
		assert.Equal(t, l.Instance, holder.Instance)
		assert.Equal(t, l.Target, fleet.TargetID("t-4"))
		assert.Equal(t, l.Presumed, l.Key == "crashed")
	}
	assert.Assert(t, strings.Contains(b.want("list", 0), "may not have been sent"))
	assert.Assert(t, !strings.Contains(b.want("list --customer lonestar", 0), "i-7"))

	settle := " --reason ledger --operator ilze"
	b.want("settle daugava held completed"+settle, reelctl.ExitRefused)
	b.want("settle daugava done completed"+settle, reelctl.ExitRefused)
	b.want("settle daugava absent completed"+settle, reelctl.ExitRefused)
	b.want("settle daugava crashed not-run"+settle, reelctl.ExitRefused)
	b.want("settle daugava crashed not-run --holder-stopped"+settle, 0)
	b.server.SetFaults(standin.Faults{LoseReplies: 1})
	assert.Assert(t, strings.Contains(b.want("settle daugava sent completed"+settle, 0), "settled-completed"))
	assert.Assert(t, strings.Contains(b.want("show daugava sent", 0), "settled by ilze: ledger"))
	b.want("show daugava absent", reelctl.ExitRefused)
	assert.Assert(t, !strings.Contains(b.want("list", 0), "i-7"))
}

func TestNotKnownWithoutLog(t *testing.T) {
	b := newBench(t)
	b.record("sent", 1, claim.Claim, claim.Lose)
	b.server.SetFaults(standin.Faults{Outage: standin.Refuse})
	b.want("list", reelctl.ExitNotKnown)
	b.want("settle daugava sent completed --reason r --operator o", reelctl.ExitNotKnown)
}

func TestAdoptLostHistory(t *testing.T) {
	b := newBench(t)
	key := operation.Key{Customer: "daugava", Name: "a"}
	p := key.Partition(1)
	b.want("adopt 0 --reason r --operator o", reelctl.ExitRefused)
	for range 3 {
		b.server.Append(claim.StreamName(p), claim.Encode(nil))
	}
	b.server.SetFaults(standin.Faults{KeepRecords: 1})
	b.want("list --partitions 1", reelctl.ExitNotKnown)
	b.want("adopt 0 --reason r --operator o", 0)
	b.want("list --partitions 1", 0)
}

func TestTickets(t *testing.T) {
	b := newBench(t)
	for _, r := range []operate.Receipt{
		{Ticket: "a", Customer: "daugava", State: "dispatched"},
		{Ticket: "b", Customer: "daugava", State: "dispatched"},
		{Ticket: "b", Customer: "daugava", State: "completed"},
		{Ticket: "c", Customer: "lonestar", State: "unknown"},
	} {
		data, err := json.Marshal([]operate.Receipt{r})
		assert.NilError(t, err)
		b.server.Append(operate.ReceiptStream, data)
	}
	var open []operate.Receipt
	assert.NilError(t, json.Unmarshal([]byte(b.want("tickets -o json", 0)), &open))
	assert.Equal(t, len(open), 2)
	b.server.SetFaults(standin.Faults{KeepFor: contract.Duration(time.Nanosecond)})
	assert.Equal(t, strings.TrimSpace(b.want("tickets -o json", 0)), "[]")
}
