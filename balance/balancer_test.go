package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// serverList returns n servers with the IDs 1 to n, each modified by the given function.
func serverList(n int, each func(i int, s *Server)) []Server {
	list := make([]Server, n)
	for i := range list {
		list[i] = Server{ID: ServerID(i + 1), Rating: 1}
		if each != nil {
			each(i, &list[i])
		}
	}
	return list
}

// newBalancer returns a Balancer with the given server list.
func newBalancer(t *testing.T, settings Settings, now time.Duration, servers []Server) *Balancer {
	t.Helper()
	b, err := New(settings, now)
	if err != nil {
		t.Fatal(err)
	}
	b.List(now, ListFull, servers, nil)
	return b
}

// plainSettings returns ruleSettings without probes, key affinity or a registry to follow.
func plainSettings() Settings {
	settings := ruleSettings()
	settings.MayProbe, settings.KeyAffinity, settings.MustFollow = false, false, false
	return settings
}

// costlyProbeSettings returns settings in which probes are costly, as in a large fleet, and servers share
// cached keys by cell.
func costlyProbeSettings() Settings {
	settings := ruleSettings()
	settings.MustFollow, settings.KeyAffinity, settings.Peers, settings.Costs.Probe = false, true, 80, 0.08
	settings.ReportFields, settings.SlowStartMin = []ReportField{FieldInFlight, FieldQueued}, 0.12
	settings.SlowStartWindow, settings.CollapseMultiple = 23*time.Second, 4
	return settings
}

// sendRequest starts one request of a class and returns the server it was sent to, 0 if it was not sent.
func sendRequest(b *Balancer, now time.Duration, id string, class int) ServerID {
	for _, a := range b.Request(now, Request{ID: id, Class: class, Deadline: now + time.Second}, nil) {
		if a.Kind == Send {
			return a.Server
		}
	}
	return 0
}

// refuseConnections records a refused connection for each of the servers.
func refuseConnections(b *Balancer, now time.Duration, ids ...ServerID) {
	for _, id := range ids {
		b.recordHealth(now, b.byID[id], ConnRefused)
	}
}

// requestWithProbes starts request i, answers each probe with inFlight, and ends the attempt after latency.
// It returns the server that the request was sent to, 0 if it was not sent, and the number of servers
// probed.
func requestWithProbes(b *Balancer, now time.Duration, i, key int, inFlight float64,
	latency time.Duration) (ServerID, int) {
	id, probes := fmt.Sprint("r", i), 0
	actions := b.Request(now, Request{ID: id, Deadline: now + time.Second, Key: uint64(key), HasKey: true}, nil)
	for n := 0; n < len(actions); n++ {
		switch a := actions[n]; a.Kind {
		case Probe:
			probes++
			actions = b.Probed(now, ProbeResult{Server: a.Server, Latency: time.Millisecond,
				Report: []float64{inFlight, max(inFlight-2, 0)}}, actions)
		case Send:
			b.Outcome(now+latency, Outcome{ID: id, Server: a.Server, Final: true, Latency: latency}, nil)
			return a.Server, probes
		}
	}
	return 0, probes
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for name, corrupt := range map[string]func(*Settings){
		"no classes":        func(s *Settings) { s.Classes = nil },
		"negative time":     func(s *Settings) { s.SlowStartWindow = -1 },
		"fraction":          func(s *Settings) { s.SlowStartMin = 1.5 },
		"not a number":      func(s *Settings) { s.SlowStartMin = math.NaN() },
		"infinite value":    func(s *Settings) { s.Classes[0].Value = math.Inf(1) },
		"no latency target": func(s *Settings) { s.Classes[0].LatencyTarget = 0 },
	} {
		settings := ruleSettings()
		corrupt(&settings)
		if _, err := New(settings, 0); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
