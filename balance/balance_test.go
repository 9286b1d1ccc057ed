package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

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

func started(t *testing.T, set Settings, now time.Duration, list []Server) *Balancer {
	t.Helper()
	b, err := New(set, now)
	if err != nil {
		t.Fatal(err)
	}
	b.List(now, ListFull, list, nil)
	return b
}

// quiet settings: one idempotent class, no probes, no peers.
func plainSettings() Settings {
	set := ruleSettings()
	set.MayProbe, set.KeyAffinity, set.MustFollow = false, false, false
	return set
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

func TestDrawFollowsShares(t *testing.T) {
	b := started(t, plainSettings(), 0, fleet(3, nil))
	b.candidates = []candidate{{server: b.servers[0], probability: .5}, {server: b.servers[1], probability: .3},
		{server: b.servers[2], probability: .2}}
	const n = 20000
	var got [4]float64
	for range n {
		got[b.draw().server.ID] += 1. / n
	}
	for i, want := range []float64{.5, .3, .2} { // four standard deviations are 0.014
		if math.Abs(got[i+1]-want) > 0.014 {
			t.Errorf("server %d: part %v, want %v", i+1, got[i+1], want)
		}
	}
}

func TestNoReportMeansUniform(t *testing.T) {
	b := started(t, plainSettings(), 0, fleet(4, nil))
	servers := b.eligible(0, &request{})
	waterFill(b.candidates, b.weighCandidates(0, &request{}, servers, fleetCapacity{4, 4}, false))
	for _, x := range b.candidates {
		if math.Abs(x.probability-.25) > 1e-6 {
			t.Errorf("share %v, want 0.25", x.probability)
		}
	}
}

// All balancers of a fleet act alike, so a cold server gets its share of all arrivals. Even when it
// reports an empty queue of this moment and arrivals are 2.5 times what the fleet can do, with a fifth
// of further attempts, it must meet less than CollapseMultiple times its present capacity.
func TestColdServerIsNotPushedOver(t *testing.T) {
	for _, start := range []float64{0.16, 0.31} {
		for _, multiple := range []float64{3, 4} {
			set := plainSettings()
			set.SlowStartMin, set.CollapseMultiple = start, multiple
			now := 100 * time.Second
			for _, cold := range []int{1, 2, 8, 16} {
				b := started(t, set, now, fleet(16, func(i int, s *Server) {
					if i < cold {
						s.Started = now - time.Second
					}
				}))
				for i, s := range b.servers {
					s.hasReport, s.reportedAt, s.inFlight = true, now, 40
					if i < cold {
						s.inFlight = 0
					}
				}
				servers := b.eligible(now, &request{})
				sure := 0.0
				for _, s := range servers {
					sure += b.slowStartFactor(now, s)
				}
				waterFill(b.candidates, b.weighCandidates(now, &request{}, servers, fleetCapacity{16, sure}, false))
				for _, x := range b.candidates {
					if warm := b.slowStartFactor(now, x.server); warm < 1 {
						if rate := x.probability * 16 * 2.5 * (1 + retryBudgetRatio); rate >= multiple*warm {
							t.Errorf("start %v, multiple %v, %d cold: %.2f times its capacity",
								start, multiple, cold, rate/warm)
						}
					}
				}
			}
		}
	}
}

func TestRestartIsColdAndForgotten(t *testing.T) {
	now := 50 * time.Second
	b := started(t, plainSettings(), now, fleet(2, nil))
	s := b.byID[1]
	s.hasReport, s.inFlight, s.failures, s.ejectedUntil = true, 9, 5, now+time.Hour
	b.List(now, ListDelta, []Server{{ID: 1, Rating: 1, Started: now}}, nil)
	if s = b.byID[1]; s.hasReport || s.failures != 0 || s.ejectedUntil != 0 || b.slowStartFactor(now, s) >= 1 {
		t.Errorf("a restarted server kept what was seen of the old process: %+v", s)
	}
}

func TestDrainTakesEffectAtOnce(t *testing.T) {
	b := started(t, plainSettings(), 0, fleet(2, nil))
	b.List(time.Second, ListDelta, []Server{{ID: 1, Rating: 1, State: Draining}}, nil)
	for i := range 50 {
		if to := sendTo(b, time.Second, fmt.Sprint(i), 0); to == 1 {
			t.Fatal("sent to a draining server")
		}
	}
}

func refuseConnections(b *Balancer, now time.Duration, ids ...ServerID) {
	for _, id := range ids {
		b.recordHealth(now, b.byID[id], ConnRefused)
	}
}

func TestEjectionAndFloor(t *testing.T) {
	now := time.Second
	b := started(t, plainSettings(), now, fleet(4, nil))
	refuseConnections(b, now, 1)
	if servers := b.eligible(now, &request{}); len(servers) != 3 {
		t.Errorf("%d eligible after one refused connection of 4 servers, want 3", len(servers))
	}
	for _, id := range []ServerID{2, 3, 4} {
		for range 3 {
			b.recordHealth(now, b.byID[id], TimedOut)
		}
	}
	// All that can be reached look ill: then the cause is not theirs.
	if servers := b.eligible(now, &request{}); len(servers) != 3 {
		t.Errorf("%d eligible when all others timed out, want 3", len(servers))
	}
}

// A balancer in a zone that is cut off can reach few of the list; they must do, and the others not be
// tried for the sake of the floor.
func TestCutZoneIsNotTriedForTheFloor(t *testing.T) {
	now := time.Second
	b := started(t, plainSettings(), now, fleet(5, nil))
	refuseConnections(b, now, 2, 3, 4, 5)
	if servers := b.eligible(now, &request{}); len(servers) != 1 || servers[0].ID != 1 {
		t.Errorf("%d eligible, want the one in reach", len(servers))
	}
}

func TestSuspectIsNotTestedWithAtMostOnce(t *testing.T) {
	b := started(t, plainSettings(), 0, fleet(2, nil))
	refuseConnections(b, 0, 1)
	now := time.Minute // the ejection is over, no success since
	for i := range 30 {
		if to := sendTo(b, now, fmt.Sprint(i), 1); to != 2 {
			t.Fatalf("an at-most-once request went to server %d", to)
		}
	}
}

// Outcomes far beyond what fresh reports foretold, everywhere, age all reports.
func TestLateReportsRaiseDoubt(t *testing.T) {
	b := started(t, plainSettings(), 0, fleet(4, nil))
	r := &request{}
	for i := range 40 {
		a := &attempt{server: b.servers[i%4], freshReport: true}
		b.compareToReport(r, a, 30*time.Millisecond, Done)
	}
	if b.reportLag() != 0 {
		t.Fatalf("lag %v while outcomes keep to the reports", b.reportLag())
	}
	for i := range 20 {
		b.compareToReport(r, &attempt{server: b.servers[i%4], freshReport: true}, time.Second, Done)
	}
	if b.reportLag() < 1 {
		t.Errorf("lag %v s after 20 surprises, want over 1", b.reportLag())
	}
}

// A request that could only be answered after its aim is not sent again.
func TestNoFurtherAttemptWithoutTime(t *testing.T) {
	b := started(t, plainSettings(), 0, fleet(3, nil))
	to := sendTo(b, 0, "a", 0)
	actions := b.Outcome(199*time.Millisecond, Outcome{ID: "a", Server: to, Result: TimedOut}, nil)
	if len(actions) != 1 || actions[0].Kind != Reject {
		t.Errorf("got %+v, want a refusal", actions)
	}
}

func TestSettingsAreChecked(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no classes":     func(s *Settings) { s.Classes = nil },
		"negative time":  func(s *Settings) { s.SlowStartWindow = -1 },
		"fraction":       func(s *Settings) { s.SlowStartMin = 1.5 },
		"not a number":   func(s *Settings) { s.SlowStartMin = math.NaN() },
		"infinite worth": func(s *Settings) { s.Classes[0].Value = math.Inf(1) },
		"no aim":         func(s *Settings) { s.Classes[0].LatencyTarget = 0 },
	} {
		set := ruleSettings()
		spoil(&set)
		if _, err := New(set, 0); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func TestHomesAreTheSameForAll(t *testing.T) {
	set := ruleSettings()
	set.KeyAffinity = true
	count := map[ServerID]int{}
	for key := range uint64(300) {
		var first ServerID
		for seed := range uint64(2) {
			set.Seed = seed
			b := started(t, set, 0, fleet(10, nil))
			r := &request{Request: Request{Key: key * 0x1234567, HasKey: true}}
			homes := b.affinityServers(0, r, b.servers, nil)
			if len(homes) != 2 || homes[0] == homes[1] || seed == 1 && homes[0].ID != first {
				t.Fatalf("key %d: homes %v", key, homes)
			}
			first = homes[0].ID
		}
		count[first]++
	}
	for id, n := range count {
		if n < 10 || n > 60 { // 30 each on average
			t.Errorf("server %d is home to %d keys of 300", id, n)
		}
	}
}

// With many places for each core nothing waits long after the cores are shared; such latencies must not
// count as uncontended, or the service time grows with load.
func TestSharedCoresAreNotCalm(t *testing.T) {
	for held, want := range map[float64]bool{0: true, 1: true, 7: false} {
		b := started(t, plainSettings(), 0, fleet(1, nil))
		s := b.servers[0]
		s.hasReport, s.inFlight = true, held
		r := &request{Request: Request{ID: "a", Deadline: time.Second}}
		for len(r.attempts) == 0 { // the refusal line is soft
			b.startAttempt(0, r, nil)
		}
		if r.attempts[0].uncontended != want {
			t.Errorf("%v held: calm %v", held, r.attempts[0].uncontended)
		}
	}
}

func TestRecoveryStartsWithLittle(t *testing.T) {
	b := started(t, plainSettings(), 0, fleet(4, nil))
	refuseConnections(b, 0, 1)
	now, got := time.Minute, 0
	for i := range 400 {
		b.byID[1].halfOpen = true // no success yet
		if sendTo(b, now, fmt.Sprint(i), 0) == 1 {
			got++
		}
	}
	if got == 0 || got > 30 { // 0.1 of 3.1 is 13; an even share were 100
		t.Errorf("%d of 400 requests went to a server that only just came back", got)
	}
}

// Where every queue takes up much of an aim nothing gets in, at however many tries, and where only the
// drawn server's does, little is refused.
func TestJamLetsNothingIn(t *testing.T) {
	for _, jam := range []bool{true, false} {
		b := started(t, plainSettings(), 0, fleet(4, nil))
		for _, s := range b.servers {
			s.hasReport, s.inFlight = true, 9
		}
		if jam {
			b.queueDelay = 0.2
		}
		in := 0
		for i := range 200 {
			if sendTo(b, 0, fmt.Sprint(i), 0) != 0 {
				in++
			}
		}
		if jam && in > 0 || !jam && in < 150 {
			t.Errorf("jam %v: %d of 200 let in", jam, in)
		}
	}
}

// A probe costs the server work; a report that is hardly older than servers refresh theirs will do.
func TestReportIsUsedForItsLife(t *testing.T) {
	set := plainSettings()
	set.MayProbe = true
	for after, want := range map[time.Duration]int{reportTTL: 0, reportTTL + 1: 1} {
		b := started(t, set, 0, fleet(1, nil))
		b.recordReport(time.Second, b.servers[0], []float64{0, 0, 0})
		probes := 0
		for _, a := range b.Request(time.Second+after, Request{ID: "a", Deadline: time.Minute}, nil) {
			if a.Kind == Probe {
				probes++
			}
		}
		if probes != want {
			t.Errorf("%d probes with a report of %v ago, want %d", probes, after, want)
		}
	}
}

// A server that leaves one class unanswered gets no more of it, before any time-out, and single tries
// after some; the other class and its successes change nothing of that.
func TestSilentForOneClass(t *testing.T) {
	b := started(t, plainSettings(), 0, fleet(4, nil))
	now := time.Second
	for i := 0; b.byID[1].classes[1].outstanding == 0; i++ {
		sendTo(b, now, fmt.Sprint("first", i), 1)
	}
	silent := func(at time.Duration) (got [2]int) {
		for i := range 200 {
			for class := range got {
				id := fmt.Sprint(at, i, class)
				to := sendTo(b, at, id, class)
				if to == 1 {
					got[class]++
				}
				if to != 1 || class == 0 {
					b.Outcome(at, Outcome{ID: id, Server: to, Final: true}, nil)
				}
			}
		}
		return got
	}
	// A service time is 40 ms.
	if got := silent(now + 190*time.Millisecond); got[1] != 0 || got[0] < 10 {
		t.Errorf("sent %v while the first is still out", got)
	}
	for _, r := range b.requests {
		for i := range r.attempts {
			b.Outcome(now, Outcome{ID: r.ID, Attempt: i, Result: TimedOut, Final: true}, nil)
		}
	}
	h := &b.byID[1].classes[1]
	h.failures, h.ejections, h.ejectedUntil = 3, 1, now+time.Second
	if got := silent(now + 900*time.Millisecond); got[1] != 0 || got[0] < 10 {
		t.Errorf("sent %v after failures", got)
	}
	if got := silent(now + 2*time.Second); got[1] != 1 {
		t.Errorf("%d tried at once on a server that failed", got[1])
	}
}

// Delays that only one server causes, as its queue report shows, let requests in elsewhere.
func TestOneServerInTroubleIsNoJam(t *testing.T) {
	for held, want := range map[float64]bool{0: false, 20: true} {
		b := started(t, plainSettings(), 0, fleet(4, nil))
		for _, s := range b.servers {
			s.hasReport, s.inFlight = true, held
		}
		b.queueDelay = 0.2
		if got := b.fleetQueueDelay(0) > 0.1; got != want {
			t.Errorf("%v held everywhere: crowded %v", held, b.fleetQueueDelay(0))
		}
		r, a := &request{}, &attempt{server: b.servers[0], freshReport: true}
		for range 20 {
			b.compareToReport(r, a, time.Second, Done)
		}
		if b.reportLag() != 0 {
			t.Errorf("one server alone makes all reports look %v s old", b.reportLag())
		}
	}
}

// StartWithin its life a report's age softens nothing: of servers probed just now the least loaded is taken.
// Beyond, the shares even out.
func TestLoadCountsForTheReportsLife(t *testing.T) {
	for age, most := range map[time.Duration]int{reportTTL: 0, 100 * reportTTL: 200} {
		b := started(t, plainSettings(), time.Second, fleet(2, nil))
		got := 0
		for i := range 400 {
			for j, s := range b.servers {
				s.hasReport, s.inFlight, s.reportedAt, s.sentSinceReport = true, float64(4*j), time.Second, 0
			}
			id, now := fmt.Sprint(i), time.Second+age
			to := sendTo(b, now, id, 1)
			if to == 2 {
				got++
			}
			b.Outcome(now, Outcome{ID: id, Server: to, Result: Skipped, Final: true}, nil)
		}
		if got > most || most > 0 && got < 100 {
			t.Errorf("reports of %v ago: %d of 400 to the server that holds more", age, got)
		}
	}
}

// What may be repeated is sent a second time elsewhere once its answer stays out for unusually long; the
// first answer withdraws the other. What must not run twice is not.
func TestSecondCopyOfWhatStaysOut(t *testing.T) {
	for class, want := range []int{1, 0} {
		for _, servers := range []int{1, 3} {
			b := started(t, plainSettings(), 0, fleet(servers, nil))
			now, copies := 10*time.Millisecond, 0
			var first, other ServerID
			for _, a := range b.Request(now, Request{ID: "a", Class: class, Deadline: time.Minute}, nil) {
				switch a.Kind {
				case Send:
					first = a.Server
				case SetTimer:
					for _, c := range b.Timer(now+a.Wait, a.Token, nil) {
						if c.Kind == Send {
							copies, other = copies+1, c.Server
						}
					}
				}
			}
			if servers == 1 {
				want = 0 // there is nowhere else
			}
			if copies != want || copies > 0 && other == first {
				t.Errorf("class %d, %d servers: %d copies, to %d after %d", class, servers, copies, other, first)
			}
			if copies == 0 {
				continue
			}
			actions := b.Outcome(now+time.Second, Outcome{ID: "a", Attempt: 1, Server: other, Final: true}, nil)
			if len(actions) != 1 || actions[0].Kind != Cancel || actions[0].Attempt != 0 {
				t.Errorf("after the copy was served: %+v", actions)
			}
		}
	}
}

// Where probes are queued like requests, to wait for them takes as long as to be served.
func TestSlowProbesAreNotWaitedFor(t *testing.T) {
	set := plainSettings()
	set.MayProbe = true
	for asking, want := range map[float64]bool{0.001: false, 0.2: true} {
		b := started(t, set, 0, fleet(3, nil))
		b.probeTime = asking
		probes, sent := 0, false
		for _, a := range b.Request(time.Second, Request{ID: "a", Deadline: time.Minute}, nil) {
			sent = sent || a.Kind == Send
			if a.Kind == Probe {
				probes++
			}
		}
		if sent != want || probes == 0 {
			t.Errorf("probes take %v s: sent at once %v, %d probes", asking, sent, probes)
		}
	}
}

// A server that turns some requests away still takes others: left alone, its part would crowd the rest.
func TestTurnedAwayStaysInUse(t *testing.T) {
	b := started(t, plainSettings(), 0, fleet(3, nil))
	to := sendTo(b, 0, "a", 1)
	again := 0
	for i := range 100 {
		b.Outcome(0, Outcome{ID: "a", Server: to, Result: Rejected, Final: true}, nil)
		id := fmt.Sprint(i)
		x := sendTo(b, time.Millisecond, id, 1)
		if x == to {
			again++
		}
		b.Outcome(time.Millisecond, Outcome{ID: id, Server: x, Result: Rejected, Final: true}, nil)
	}
	if again < 15 {
		t.Errorf("%d of 100 requests to a server that turned one away", again)
	}
}

// dearSettings price a probe as a large fleet does; servers share what they know of keys by cells.
func dearSettings() Settings {
	set := ruleSettings()
	set.MustFollow, set.KeyAffinity, set.Peers, set.Costs.Probe = false, true, 80, 0.08
	set.ReportFields, set.SlowStartMin = []ReportField{FieldInFlight, FieldQueued}, 0.12
	set.SlowStartWindow, set.CollapseMultiple = 23*time.Second, 4
	return set
}

// ask makes request i, with each probe answered by held, and has it end after took; none are sent where it
// is 0. It returns where the request went and how many servers were asked.
func ask(b *Balancer, now time.Duration, i, key int, held float64, took time.Duration) (ServerID, int) {
	id, asked := fmt.Sprint("r", i), 0
	actions := b.Request(now, Request{ID: id, Deadline: now + time.Second, Key: uint64(key), HasKey: true}, nil)
	for n := 0; n < len(actions); n++ {
		switch a := actions[n]; a.Kind {
		case Probe:
			asked++
			actions = b.Probed(now, ProbeResult{Server: a.Server, Latency: time.Millisecond,
				Report: []float64{held, max(held-2, 0)}}, actions)
		case Send:
			b.Outcome(now+took, Outcome{ID: id, Server: a.Server, Final: true, Latency: took}, nil)
			return a.Server, asked
		}
	}
	return 0, asked
}

func TestDearProbesGoOneByOne(t *testing.T) {
	for held, want := range map[float64][2]float64{0: {0.25, 0.5}, 4: {1.5, 2}} { // probes a request
		b := started(t, dearSettings(), 0, fleet(60, nil))
		probes, sent := 0, 0
		for i := range 400 { // each finds no fresh report; what is refused before asking is left out
			if to, asked := ask(b, time.Duration(i+1)*time.Second, i, i, held, 0); to != 0 {
				probes, sent = probes+asked, sent+1
			}
		}
		if got := float64(probes) / float64(sent); sent == 0 || got < want[0] || got > want[1] {
			t.Errorf("servers hold %v: %v probes for each of %d sent, want %v", held, got, sent, want)
		}
	}
}

func TestKeysPreferOneCellUnlessHot(t *testing.T) {
	for keys, want := range map[int][2]float64{100: {0.55, 0.85}, 1: {0.1, 0.3}} {
		b := started(t, dearSettings(), 0, fleet(60, func(i int, s *Server) { s.Cell = i / 6 }))
		byCell, all, most := map[ServerID]float64{}, 0.0, 0.0
		for i := range 20000 {
			to, _ := ask(b, time.Duration(i+1)*100*time.Millisecond, i, i%keys, 0, 50*time.Millisecond)
			if i%keys == 0 && i > 1000 {
				byCell[(to-1)/6]++
				all++
			}
		}
		for _, n := range byCell {
			most = max(most, n/all)
		}
		if most < want[0] || most > want[1] {
			t.Errorf("%d keys: %.2f of one's requests at one cell, want %v", keys, most, want)
		}
	}
}

// Short answers, as of keys that a server knows, must not make servers look wider than they are.
func TestWidthIsNotTheMeanOfInverses(t *testing.T) {
	b := started(t, dearSettings(), 0, fleet(1, nil))
	s := b.servers[0]
	b.serviceTime(0, 0).mean, b.concurrency = 0.060, 2
	for i := range 2000 {
		b.serviceTime(0, 0).mean = 0.060
		x := 0.018 // of six held by two cores every other is short: 180 ms on average
		if i%2 == 0 {
			x = 0.342
		}
		b.recordServiceTime(0, &attempt{server: s, requestsAhead: 5}, time.Duration(x*1e9))
	}
	if b.concurrency < 1.7 || b.concurrency > 2.3 {
		t.Errorf("width %.2f, want about 2", b.concurrency)
	}
}

// Who hears one server at a time must not give up requests for what one server in trouble kept.
func TestDearRefusesByWhatAskingFinds(t *testing.T) {
	b := started(t, dearSettings(), 0, fleet(60, nil))
	refused := 0
	for i := range 300 {
		took := 50 * time.Millisecond
		if i%10 == 0 {
			took = 900 * time.Millisecond
		}
		if to, _ := ask(b, time.Duration(i+1)*time.Second, i, i, 0, took); to == 0 {
			refused++
		}
	}
	if refused > 3 {
		t.Errorf("%d of 300 refused though every server asked was idle", refused)
	}
}

// Servers that have just started, and that all find idle, are held to what they can do, also where no
// other is left.
func TestAskedColdServersStayWithinTheirPart(t *testing.T) {
	for _, n := range []int{36, 60} {
		now, cold := 100*time.Second, 0.0
		b := started(t, dearSettings(), 0, fleet(60, func(i int, s *Server) {
			if i < n {
				s.Started = now
			}
		}))
		for i := range 6000 {
			at := now + time.Duration(i)*time.Microsecond
			if to, _ := ask(b, at, i, i, 0, 0); to >= 1 && int(to) <= n {
				cold += 1. / 6000
			}
		}
		// With arrivals at what all 60 can do, this part meets each at its present capacity.
		if most := float64(n) * 0.12 / 60; cold > 1.2*most || cold < most/4 {
			t.Errorf("%d cold ones got %.3f of all requests, want a part of %.3f", n, cold, most)
		}
	}
}

// Eighty proxies that each meet a bad server now and then must not each need three errors in a row.
func TestOneErrorIsEnoughForWhoSeesFewRequests(t *testing.T) {
	for _, c := range []struct {
		name string
		set  Settings
		out  bool
	}{{"dear probes", dearSettings(), true}, {"cheap probes", plainSettings(), false}} {
		b := started(t, c.set, 0, fleet(10, nil))
		b.recordHealth(0, b.servers[0], Error)
		if out := b.servers[0].ejectedUntil > 4*time.Second; out != c.out {
			t.Errorf("%s: left alone for seconds: %v, want %v", c.name, out, c.out)
		}
		b.recordHealth(20*time.Second, b.servers[0], Done)
		if b.servers[0].ejectedUntil > 20*time.Second || b.servers[0].halfOpen {
			t.Errorf("%s: not taken back once well", c.name)
		}
	}
}
