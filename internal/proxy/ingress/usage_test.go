package ingress

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"cresshub/internal/http1"
	"cresshub/internal/proxy/stats"
)

// Each final response is counted once: in the counter of its kind and class, and as usage of its request.
func TestCountResponse(t *testing.T) {
	message := &http1.Request{Header: http1.Header{{Name: "X-Tenant-Id", Value: "acme"}}}
	for _, kind := range []responseKind{responsePassed, responseDropped, responseBadGateway} {
		var recorded []Usage
		server := &Server{Options: Options{
			Classes: []string{"lookup"}, Stats: stats.New([]string{"lookup"}),
			RecordUsage: func(u Usage) { recorded = append(recorded, u) },
		}}
		c, class := &client{}, server.Stats.Class(0)
		server.startUsage(c, message, 0)
		server.countResponse(c, class, kind, 7)
		server.countResponse(c, class, "", 7) // is not counted
		want := Usage{Tenant: "acme", Class: "lookup", Answer: string(kind), Out: 7}
		if diff := cmp.Diff([]Usage{want}, recorded); diff != "" {
			t.Error(diff)
		}
		counters := map[string]int64{
			"passed": class.Passed.Load(), "dropped": class.Dropped.Load(), "bad_gateway": class.Failed.Load(),
		}
		wantCounters := map[string]int64{"passed": 0, "dropped": 0, "bad_gateway": 0}
		wantCounters[string(kind)] = 1
		if diff := cmp.Diff(wantCounters, counters); diff != "" {
			t.Error(diff)
		}
	}
}

// A request of an unknown class has no usage, and its response is in no class's counters.
func TestCountResponseOfUnknownClass(t *testing.T) {
	server := &Server{Options: Options{
		Classes: []string{"lookup"}, Stats: stats.New([]string{"lookup"}),
		RecordUsage: func(u Usage) { t.Errorf("recorded %+v", u) },
	}}
	c := &client{}
	server.startUsage(c, &http1.Request{}, unknownClass)
	server.countResponse(c, server.Stats.Class(unknownClass), responseBadGateway, 7)
	if n := server.Stats.Class(0).Failed.Load(); n != 0 {
		t.Errorf("%d responses are counted in the first class, want 0", n)
	}
}
