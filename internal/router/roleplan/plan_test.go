package roleplan

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/catalog"
)

// fleet returns decode servers followed by prefill servers, assigned to three zones in turn.
func fleet(decoding, prefilling int) []Server {
	servers := make([]Server, decoding+prefilling)
	for i := range servers {
		servers[i] = Server{ID: fmt.Sprintf("%02d", i), Zone: fmt.Sprint(i % 3), Slots: 64, Role: catalog.Decode}
		if i >= decoding {
			servers[i].Role = catalog.Prefill
		}
	}
	return servers
}

func TestWantedDecodeServersFollowDemand(t *testing.T) {
	for _, test := range []struct {
		name    string
		servers int
		demand  Demand
		want    int
	}{
		{"one server", 1, Demand{}, 1},
		{"two servers", 2, Demand{}, 1},
		{"nine without traffic", 9, Demand{}, 3},
		{"eighteen without traffic", 18, Demand{}, 6},
		{"demand below the minimum", 18, Demand{HasTraffic: true, DecodeCalls: 20}, 6},
		{"demand above the minimum", 18, Demand{HasTraffic: true, DecodeCalls: 170}, 9},
		{"demand above the maximum", 18, Demand{HasTraffic: true, DecodeCalls: 1e6}, 14},
		{"many without traffic", 600, Demand{}, 180},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, desiredDecodeServers(test.servers, 64, test.demand), qt.Equals, test.want)
		})
	}
}

func TestWithoutTrafficAllServersChangeAtOnce(t *testing.T) {
	orders := Plan(fleet(11, 7), Demand{})
	qt.Assert(t, orders, qt.HasLen, 5)
	for _, order := range orders {
		qt.Check(t, order.Role, qt.Equals, catalog.Prefill)
	}
}

func TestUnderTrafficChangesAreBounded(t *testing.T) {
	busy := Demand{HasTraffic: true, PrefillCalls: 5, DecodeCalls: 10}
	qt.Check(t, Plan(fleet(11, 7), busy), qt.HasLen, 2)
	qt.Check(t, Plan(fleet(7, 11), busy), qt.HasLen, 0, qt.Commentf("within the tolerance"))
	qt.Check(t, Plan(fleet(4, 14), busy), qt.DeepEquals, []Order{{"04", catalog.Decode}})
	servers := fleet(11, 7)
	servers[0].Changing, servers[1].Changing = true, true
	qt.Check(t, Plan(servers, busy), qt.HasLen, 0, qt.Commentf("as many as allowed are changing"))
	qt.Check(t, Plan(fleet(1, 0), busy), qt.HasLen, 0, qt.Commentf("a single server keeps its role"))
}

func TestChangesAreBalancedOverZones(t *testing.T) {
	remaining := map[string]int{}
	servers := fleet(11, 7)
	changed := map[string]bool{}
	for _, order := range Plan(servers, Demand{}) {
		changed[order.Server] = true
	}
	for _, s := range servers {
		if s.Role == catalog.Decode && !changed[s.ID] {
			remaining[s.Zone]++
		}
	}
	qt.Assert(t, remaining, qt.DeepEquals, map[string]int{"0": 2, "1": 2, "2": 2})
}

// TestBusyPrefillServersKeepTheirRole: while prompts wait for prefill, no server changes to decode, whatever
// the demand for decode. A change to prefill is still allowed.
func TestBusyPrefillServersKeepTheirRole(t *testing.T) {
	servers := fleet(60, 80)
	demand := Demand{HasTraffic: true, DecodeCalls: 1e6, PrefillCalls: 100}
	qt.Assert(t, len(Plan(servers, demand)) > 0, qt.IsTrue)
	demand.PrefillCalls = 130
	qt.Assert(t, Plan(servers, demand), qt.HasLen, 0)
	qt.Assert(t, len(Plan(servers, Demand{HasTraffic: true, PrefillCalls: demand.PrefillCalls})) > 0, qt.IsTrue)
}
