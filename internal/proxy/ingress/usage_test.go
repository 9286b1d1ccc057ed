package ingress

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"cresshub/internal/http1"
	"cresshub/internal/proxy/stats"
)

// Each answer counts once: in its counter of the class, and as usage of the request where usage is counted.
func TestCountAnswer(t *testing.T) {
	message := &http1.Request{Header: http1.Header{{Name: "X-Tenant-Id", Value: "acme"}}}
	for _, answer := range []responseKind{responsePassed, responseDropped, responseBadGateway} {
		var recorded []Usage
		server := &Server{Options: Options{
			Classes: []string{"lookup"}, Stats: stats.New([]string{"lookup"}),
			RecordUsage: func(u Usage) { recorded = append(recorded, u) },
		}}
		c, class := &client{}, server.Stats.Class(0)
		server.startUsage(c, message, 0)
		server.countResponse(c, class, answer, 7)
		server.countResponse(c, class, "", 7) // nothing of a request that has no answer
		want := Usage{Tenant: "acme", Class: "lookup", Answer: string(answer), Out: 7}
		if diff := cmp.Diff([]Usage{want}, recorded); diff != "" {
			t.Error(diff)
		}
		counters := map[string]int64{
			"passed": class.Passed.Load(), "dropped": class.Dropped.Load(), "bad_gateway": class.Failed.Load(),
		}
		wantCounters := map[string]int64{"passed": 0, "dropped": 0, "bad_gateway": 0}
		wantCounters[string(answer)] = 1
		if diff := cmp.Diff(wantCounters, counters); diff != "" {
			t.Error(diff)
		}
	}
}

// A request of an unknown class has no usage, and its answer is in no class's counters.
func TestCountAnswerOfUnknownClass(t *testing.T) {
	server := &Server{Options: Options{
		Classes: []string{"lookup"}, Stats: stats.New([]string{"lookup"}),
		RecordUsage: func(u Usage) { t.Errorf("recorded %+v", u) },
	}}
	c := &client{}
	server.startUsage(c, &http1.Request{}, unknownClass)
	server.countResponse(c, server.Stats.Class(unknownClass), responseBadGateway, 7)
	if n := server.Stats.Class(0).Failed.Load(); n != 0 {
		t.Errorf("%d in the first class", n)
	}
}
