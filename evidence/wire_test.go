package evidence

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/outlier"
)

var testContract = contract.Service{Name: "s", Slots: 4}

// testReport returns a typical report of a busy instance on n targets.
func testReport(n int) outlier.Report {
	r := outlier.Report{
		Service: "daugava/price-catalogue", From: "riga-a-17", Zone: "riga-a",
		Session: 1_800_000_000_000_000_000, Seq: 4711, Acked: 4710,
		Median: 48 * time.Millisecond, Samples: 900,
	}
	for i := range n {
		id := fleet.TargetID("price-catalogue-" + string(rune('a'+i%26)))
		c := outlier.Counts{Good: 1200, Failed: 1, Fast: 1180, Slow: 20}
		r.Targets = append(r.Targets, outlier.TargetCounts{Target: id, Counts: c})
	}
	return r
}

func TestWireRoundTrip(t *testing.T) {
	r := testReport(3)
	got, err := decodeReports(encodeReports([]outlier.Report{r}))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []outlier.Report{r})
	v := outlier.Verdicts{
		Service: "c/s", From: "a", Number: 7, Session: 8, Ack: 9, Median: time.Second,
		FailureRate: 0.25, SlowRate: 0.5,
		Entries: []outlier.Verdict{
			{Target: "t", Zone: "z", Phase: outlier.Trial, Reason: outlier.ReasonSlow, Remaining: time.Minute, Score: 20},
			{Target: "u", Phase: outlier.Draining, Remaining: time.Second},
		},
	}
	assert.DeepEqual(t, decodeVerdicts(encodeVerdicts([]outlier.Verdicts{v})), []outlier.Verdicts{v})
}

// BenchmarkReportBytes measures the encoded size of reports, without framing.
func BenchmarkReportBytes(b *testing.B) {
	for _, n := range []int{1, 10, 20} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				m, err := proto.Marshal(encodeReports([]outlier.Report{testReport(n)}))
				if err != nil {
					b.Fatal(err)
				}
				size = len(m)
			}
			b.ReportMetric(float64(size), "B/report")
		})
	}
}
