package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// fleet lists n servers with ids from 1 on, each changed by the function given.
func fleet(n int, each func(i int, s *Server)) []Server {
	list := make([]Server, n)
	for i := range list {
		list[i] = Server{ID: ServerID(i + 1), Rating: 1}
		if each != nil {
			each(i, &list[i])
		}
	}
	return list
}

// newBalancer is a Balancer that knows the servers.
func newBalancer(t *testing.T, settings Settings, now time.Duration, servers []Server) *Balancer {
	t.Helper()
	b, err := New(settings, now)
	if err != nil {
		t.Fatal(err)
	}
	b.List(now, ListFull, servers, nil)
	return b
}

// plainSettings are ruleSettings without probes, key affinity and a registry to follow.
func plainSettings() Settings {
	settings := ruleSettings()
	settings.MayProbe, settings.KeyAffinity, settings.MustFollow = false, false, false
	return settings
}

// costlyProbeSettings price a probe as a large fleet does; servers share what they know of keys by cells.
func costlyProbeSettings() Settings {
	settings := ruleSettings()
	settings.MustFollow, settings.KeyAffinity, settings.Peers, settings.Costs.Probe = false, true, 80, 0.08
	settings.ReportFields, settings.SlowStartMin = []ReportField{FieldInFlight, FieldQueued}, 0.12
	settings.SlowStartWindow, settings.CollapseMultiple = 23*time.Second, 4
	return settings
}

// sendTo makes one request of a class and returns where it went, 0 if nowhere.
func sendTo(b *Balancer, now time.Duration, id string, class int) ServerID {
	for _, a := range b.Request(now, Request{ID: id, Class: class, Deadline: now + time.Second}, nil) {
		if a.Kind == Send {
			return a.Server
		}
	}
	return 0
}

// refuseConnections has a connection to each of the servers refused.
func refuseConnections(b *Balancer, now time.Duration, ids ...ServerID) {
	for _, id := range ids {
		b.recordHealth(now, b.byID[id], ConnRefused)
	}
}

// requestWithProbes makes request i, answers each probe with inFlight, and ends the attempt after latency. It
// returns where the request went, 0 if nowhere, and how many servers were probed.
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

func TestSettingsAreChecked(t *testing.T) {
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
