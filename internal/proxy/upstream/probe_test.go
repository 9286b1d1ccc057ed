package upstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cresshub/internal/http1"
	"cresshub/internal/proxy/dispatch"
	"cresshub/internal/testbed/nettest"
)

func TestProbeReturnsLoadReport(t *testing.T) {
	server := nettest.Serve(t, nettest.Zone(nil))
	got := make(chan string, 1)
	p := newPool(&fakeDirectory{address: server.Address}, time.Hour)
	p.Probe(0, func(result dispatch.Result, _ time.Duration, load []float64) {
		got <- fmt.Sprint(dispatch.ResultNames[result], load)
	})
	if diff := cmp.Diff("served[0 0 0]", <-got); diff != "" {
		t.Error(diff)
	}
}

// A server that receives too many probes at once responds with 503. These must not count as errors, because
// three errors would eject the server.
func TestProbeWith503CountsAsRejected(t *testing.T) {
	server := nettest.Serve(t, func(*http1.Request) *http1.Response { return &http1.Response{Status: 503} })
	got := make(chan dispatch.Result, 1)
	p := newPool(&fakeDirectory{address: server.Address}, time.Hour)
	p.Probe(0, func(result dispatch.Result, _ time.Duration, _ []float64) {
		got <- result
	})
	if result := <-got; result != dispatch.Rejected {
		t.Error(dispatch.ResultNames[result])
	}
}

func TestParseLoadReport(t *testing.T) {
	for _, c := range []struct {
		in   string
		want []float64
	}{
		{"inflight=7,queue=2,util=0.61", []float64{7, 2, 0.61}},
		{" util=0.5 , queue=1,more=x,inflight=3\n", []float64{3, 1, 0.5}},
		{"active=8.304,waiting=0,cpu=0.877", []float64{8.304, 0, 0.877}}, // synonyms
		{"inflight=7,queue=2", nil},
		{"inflight=NaN,queue=2,util=0", nil},
		{"", nil},
		{"<html>", nil},
	} {
		format := newReportFormat([]string{"active", "waiting", "cpu"})
		got := format.parse(&http1.Response{Body: []byte(c.in)}, true)
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%q: %s", c.in, diff)
		}
	}
}
