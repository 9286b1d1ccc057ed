package routerstandin

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/controlserver"
	"cresshub/internal/router/fleetconfig"
)

// What a correct router does violates nothing, and is counted.
func TestCorrectRouterViolatesNoRule(t *testing.T) {
	w := newWorld(t)
	for _, kind := range testKinds {
		for range 3 {
			result := w.ask(kind)
			w.Check(result.Outcome, qt.Equals, Served, qt.Commentf("%s: %+v", kind.Name, result))
			w.Check(result.InTime, qt.IsTrue)
		}
	}
	w.Assert(w.operator.ReadBack(w.bounded()), qt.IsNil)
	w.Assert(w.broken(), qt.HasLen, 0)
	w.Assert(w.prefillServer.Tally().Prefills, qt.Equals, 6)
	w.Assert(w.decodeServer.Tally().Runs, qt.Equals, 6)
	w.Assert(w.lookup.Tally().Runs, qt.Equals, 6)
}

// violations are routers that do one thing wrong, and the rule that each breaks.
var violations = []struct {
	name  string
	rule  Rule
	kind  *Kind
	wrong func(p *fakeProxy, x *proxiedRequest) bool
}{
	{"sends an unsafe request twice", RuleTwice, unsafeKind, func(p *fakeProxy, x *proxiedRequest) bool {
		p.call(p.world.lookup, x.request)
		return false
	}},
	{"rejects what has run", RuleRefused, unsafeKind, func(p *fakeProxy, x *proxiedRequest) bool {
		p.call(p.world.lookup, x.request)
		x.reply(textOf(503, nil, ""))
		return true
	}},
	{"invents a request", RuleUnasked, safeKind, func(p *fakeProxy, x *proxiedRequest) bool {
		invented := *x.request
		invented.Header = http1.Header{field("Host", testHost), field(attemptIDHeader, "invented")}
		p.call(p.world.lookup, &invented)
		return false
	}},
	{"changes a body", RuleUnasked, unsafeKind, func(p *fakeProxy, x *proxiedRequest) bool {
		x.request.Body = []byte("another body")
		return false
	}},
	{"gives an answer to the wrong request", RuleMixed, safeKind, func(p *fakeProxy, x *proxiedRequest) bool {
		text := p.previous
		if p.previous = p.answerOf(x.request); text == "" {
			text = p.previous
		}
		x.reply(text)
		return true
	}},
	{"shortens a body", RuleMixed, safeKind, func(p *fakeProxy, x *proxiedRequest) bool {
		text := p.answerOf(x.request)
		x.reply(strings.Replace(text[:len(text)-1], "Content-Length: 100", "Content-Length: 99", 1))
		return true
	}},
	{"gives a success of its own", RuleMixed, safeKind, func(p *fakeProxy, x *proxiedRequest) bool {
		x.reply(textOf(200, nil, "cached"))
		return true
	}},
	{"sends what is no answer", RuleMixed, safeKind, func(p *fakeProxy, x *proxiedRequest) bool {
		x.reply("nonsense\r\n\r\n")
		return true
	}},
	{"answers once too often", RuleMixed, safeKind, func(p *fakeProxy, x *proxiedRequest) bool {
		text := p.answerOf(x.request)
		x.reply(text + text)
		return true
	}},
	{"uses the prefix cache of another request", RuleMixed, onceOnlyStreamKind, func(p *fakeProxy,
		x *proxiedRequest) bool {
		from := p.previous
		if p.previous = p.readPrompt(x.request); from == "" {
			return false
		}
		x.reply(p.call(p.world.decodeServer, x.request, field(kvFromHeader, from)))
		return true
	}},
	{"drops an event", RuleOrder, onceOnlyStreamKind, func(p *fakeProxy, x *proxiedRequest) bool {
		head, all := events(p.answerOf(x.request))
		x.reply(withEvents(head, append(all[:1:1], all[2:]...)))
		return true
	}},
	{"repeats an event", RuleOrder, onceOnlyStreamKind, func(p *fakeProxy, x *proxiedRequest) bool {
		head, all := events(p.answerOf(x.request))
		x.reply(withEvents(head, append(all[:2:2], all[1:]...)))
		return true
	}},
	{"ends a stream early", RuleOrder, resumableStreamKind, func(p *fakeProxy, x *proxiedRequest) bool {
		head, all := events(p.answerOf(x.request))
		x.reply(withEvents(head, all[:2]))
		return true
	}},
	{"uses a service that no route names", RuleRoute, safeKind, func(p *fakeProxy, x *proxiedRequest) bool {
		x.reply(p.call(p.world.other, x.request))
		return true
	}},
	{"makes too many attempts", RuleAttempts, safeKind, func(p *fakeProxy, x *proxiedRequest) bool {
		p.call(p.world.lookup, x.request)
		p.call(p.world.lookup, x.request)
		return false
	}},
}

func TestEachViolationIsDetected(t *testing.T) {
	for _, each := range violations {
		t.Run(each.name, func(t *testing.T) {
			w := newWorld(t)
			w.proxy.setMisbehaviour(each.wrong)
			w.ask(each.kind)
			w.ask(each.kind)
			w.client.Close()
			w.Assert(w.broken(), qt.DeepEquals, []Rule{each.rule})
		})
	}
}

func TestTooManyRetriesAreDetected(t *testing.T) {
	w := newWorld(t)
	w.proxy.setMisbehaviour(func(p *fakeProxy, x *proxiedRequest) bool {
		p.call(p.world.lookup, x.request)
		return false
	})
	for range 5 { // 5 repeats, of which 4 and a tenth of 5 requests are allowed
		w.ask(safeKind)
	}
	w.Assert(w.broken(), qt.DeepEquals, []Rule{RuleBudget})
}

func TestRequestToADrainingServerIsDetected(t *testing.T) {
	w := newWorld(t)
	sendToADrainingServer(w, func() {})
	w.Assert(w.broken(), qt.DeepEquals, []Rule{RuleDrain})
}

// The acknowledgement of a faulty machine applies to the others.
func TestRequestAfterTheAcknowledgementOfAFaultyMachineIsDetected(t *testing.T) {
	w := newWorld(t)
	const elsewhere = "10.9.9.9"
	sendToADrainingServer(w, func() {
		w.observations.RecordFault(elsewhere, false)
		w.lookup.mu.Lock()
		defer w.lookup.mu.Unlock()
		faults := w.observations.faults
		w.lookup.ack = drainAck{faults[len(faults)-1].at, elsewhere}
	})
	w.Assert(w.broken(), qt.DeepEquals, []Rule{RuleDrain})
}

// sendToADrainingServer has the proxy send to a server too long after its departure was acknowledged.
func sendToADrainingServer(w *world, onceAcknowledged func()) {
	drained := make(chan bool, 1)
	go func() { drained <- w.lookup.Shutdown(time.Minute) }()
	w.until("the departure is acknowledged", func() bool {
		return w.lookup.drainAck().acknowledged()
	})
	onceAcknowledged()
	w.Assert(w.ask(safeKind).Outcome, qt.Equals, Served) // within the bound
	w.past(w.lookup.drainAck().at.Add(2 * testBounds.Drain))
	w.Assert(w.ask(safeKind).Outcome, qt.Equals, Served)
	w.lookup.Stop()
	w.Assert(<-drained, qt.IsTrue)
}

func TestOldConfigurationIsDetected(t *testing.T) {
	w := newWorld(t)
	added := &Kind{Name: "added", Host: testHost, Prefix: "/added/", Class: fleetconfig.Safe,
		LatencyTarget: time.Second, Deadline: 5 * time.Second}
	w.Assert(w.operator.Put(w.bounded(), testDocument(3, RouteOf(added, "lookup", 1))), qt.IsNil)
	w.proxy.setMisbehaviour(func(p *fakeProxy, x *proxiedRequest) bool {
		x.reply(textOf(404, nil, ""))
		return true
	})
	w.ask(added) // within the bound, the older configuration may still be in force
	w.past(time.Now().Add(2 * testBounds.Config))
	w.ask(added)
	w.Assert(w.broken(), qt.DeepEquals, []Rule{RuleConfig})
}

func TestRollbackToAnOldConfigurationIsDetected(t *testing.T) {
	w := newWorld(t)
	moved := testDocument(3)
	moved.Routes[0].Service = "other"
	w.Assert(w.operator.Put(w.bounded(), moved), qt.IsNil)
	w.proxy.setMisbehaviour(func(p *fakeProxy, x *proxiedRequest) bool {
		server := p.world.other
		if p.previous != "" {
			server = p.world.lookup
		}
		p.previous = "asked"
		x.reply(p.call(server, x.request))
		return true
	})
	w.ask(safeKind)
	w.ask(safeKind)
	w.Assert(w.broken(), qt.DeepEquals, []Rule{RuleConfig})
}

func TestWrongConfigurationReadBackIsDetected(t *testing.T) {
	w := newWorld(t)
	w.control.set(func(*controlserver.Call) *http1.Response {
		return controlserver.JSON(200, []byte(`{"edition":1,"routes":[],
		"depots_list":[]}`))
	})
	w.Assert(w.operator.ReadBack(w.bounded()), qt.IsNil)
	w.Assert(w.broken(), qt.DeepEquals, []Rule{RuleConfig})
}

// runAndClose has a request run and closes the connection in place of an answer.
func runAndClose(p *fakeProxy, x *proxiedRequest) bool {
	p.call(p.world.lookup, x.request)
	x.conn.Close()
	return true
}

// A process that gets SIGTERM must answer what it has read.
func TestLossAtAPlannedStopIsDetected(t *testing.T) {
	w := newWorld(t)
	machine := hostOf(w.proxy.listener.Address())
	w.proxy.setMisbehaviour(runAndClose)
	w.ask(safeKind) // lost without a stop: no violation
	w.observations.RecordTermination(machine, false)
	w.ask(safeKind)
	w.Assert(w.broken(), qt.DeepEquals, []Rule{RuleLost})
}

func TestLossAfterAKillIsNoViolation(t *testing.T) {
	w := newWorld(t)
	machine := hostOf(w.proxy.listener.Address())
	w.proxy.setMisbehaviour(runAndClose)
	w.observations.RecordTermination(machine, false)
	w.observations.bounds.Touch = time.Minute
	w.observations.RecordFault(machine, false)
	w.ask(safeKind)
	w.Assert(w.broken(), qt.HasLen, 0)
}

func TestOrdersOfTwoHoldersAreDetected(t *testing.T) {
	for _, each := range []struct {
		name   string
		orders []lastOrder
		rules  []Rule
	}{
		{"one holder", []lastOrder{{holder: "a", fence: 1}, {holder: "a", fence: 2}}, nil},
		{"one fence", []lastOrder{{holder: "a", fence: 1}, {holder: "b", fence: 1}}, []Rule{RuleOne}},
		{"soon after", []lastOrder{{holder: "a", fence: 1}, {holder: "b", fence: 2}}, []Rule{RuleOne}},
		{"a fence that servers check", []lastOrder{{holder: "a", fence: 3}, {holder: "a", fence: 2}}, nil},
	} {
		t.Run(each.name, func(t *testing.T) {
			w := newWorld(t)
			for _, order := range each.orders {
				w.observations.recordOrder("i-1", order.holder, order.fence)
			}
			w.Assert(w.broken(), qt.DeepEquals, each.rules)
		})
	}
}

func TestNothingServedAfterARecoveryIsDetected(t *testing.T) {
	w := newWorld(t)
	w.ask(safeKind)
	w.proxy.setMisbehaviour(func(p *fakeProxy, x *proxiedRequest) bool {
		x.reply(textOf(502, nil, ""))
		return true
	})
	w.observations.RecordAllRestarted()
	w.past(time.Now().Add(2 * testBounds.Recovery))
	w.ask(safeKind)
	w.Assert(w.broken(), qt.DeepEquals, []Rule{RuleRecover})
}
