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
	world := newTestWorld(t)
	for _, kind := range testKinds {
		for range 3 {
			result := world.do(kind)
			world.Check(result.Outcome, qt.Equals, Served, qt.Commentf("%s: %+v", kind.Name, result))
			world.Check(result.InTime, qt.IsTrue)
		}
	}
	world.Assert(world.operator.ReadBack(world.timeoutContext()), qt.IsNil)
	world.Assert(world.brokenRules(), qt.HasLen, 0)
	world.Assert(world.prefillServer.Tally().Prefills, qt.Equals, 6)
	world.Assert(world.decodeServer.Tally().Runs, qt.Equals, 6)
	world.Assert(world.lookup.Tally().Runs, qt.Equals, 6)
}

// violations are routers that do one thing wrong, and the rule that each breaks.
var violations = []struct {
	name  string
	rule  Rule
	kind  *Kind
	wrong func(proxy *fakeProxy, exchange *proxiedRequest) bool
}{
	{"sends an unsafe request twice", RuleTwice, unsafeKind,
		func(proxy *fakeProxy, exchange *proxiedRequest) bool {
			proxy.call(proxy.world.lookup, exchange.request)
			return false
		}},
	{"rejects what has run", RuleRefused, unsafeKind, func(proxy *fakeProxy, exchange *proxiedRequest) bool {
		proxy.call(proxy.world.lookup, exchange.request)
		exchange.reply(responseText(503, nil, ""))
		return true
	}},
	{"invents a request", RuleUnasked, safeKind, func(proxy *fakeProxy, exchange *proxiedRequest) bool {
		invented := *exchange.request
		invented.Header = http1.Header{field("Host", testHost), field(attemptIDHeader, "invented")}
		proxy.call(proxy.world.lookup, &invented)
		return false
	}},
	{"changes a body", RuleUnasked, unsafeKind, func(proxy *fakeProxy, exchange *proxiedRequest) bool {
		exchange.request.Body = []byte("another body")
		return false
	}},
	{"gives an answer to the wrong request", RuleMixed, safeKind,
		func(proxy *fakeProxy, exchange *proxiedRequest) bool {
			text := proxy.previous
			if proxy.previous = proxy.correctResponse(exchange.request); text == "" {
				text = proxy.previous
			}
			exchange.reply(text)
			return true
		}},
	{"shortens a body", RuleMixed, safeKind, func(proxy *fakeProxy, exchange *proxiedRequest) bool {
		text := proxy.correctResponse(exchange.request)
		exchange.reply(strings.Replace(text[:len(text)-1], "Content-Length: 100", "Content-Length: 99", 1))
		return true
	}},
	{"gives a success of its own", RuleMixed, safeKind, func(proxy *fakeProxy, exchange *proxiedRequest) bool {
		exchange.reply(responseText(200, nil, "cached"))
		return true
	}},
	{"sends what is no answer", RuleMixed, safeKind, func(proxy *fakeProxy, exchange *proxiedRequest) bool {
		exchange.reply("nonsense\r\n\r\n")
		return true
	}},
	{"answers once too often", RuleMixed, safeKind, func(proxy *fakeProxy, exchange *proxiedRequest) bool {
		text := proxy.correctResponse(exchange.request)
		exchange.reply(text + text)
		return true
	}},
	{"uses the prefix cache of another request", RuleMixed, onceOnlyStreamKind, func(proxy *fakeProxy,
		exchange *proxiedRequest) bool {
		from := proxy.previous
		if proxy.previous = proxy.readPrompt(exchange.request); from == "" {
			return false
		}
		exchange.reply(proxy.call(proxy.world.decodeServer, exchange.request, field(kvFromHeader, from)))
		return true
	}},
	{"drops an event", RuleOrder, onceOnlyStreamKind, func(proxy *fakeProxy, exchange *proxiedRequest) bool {
		head, all := events(proxy.correctResponse(exchange.request))
		exchange.reply(withEvents(head, append(all[:1:1], all[2:]...)))
		return true
	}},
	{"repeats an event", RuleOrder, onceOnlyStreamKind, func(proxy *fakeProxy, exchange *proxiedRequest) bool {
		head, all := events(proxy.correctResponse(exchange.request))
		exchange.reply(withEvents(head, append(all[:2:2], all[1:]...)))
		return true
	}},
	{"ends a stream early", RuleOrder, resumableStreamKind,
		func(proxy *fakeProxy, exchange *proxiedRequest) bool {
			head, all := events(proxy.correctResponse(exchange.request))
			exchange.reply(withEvents(head, all[:2]))
			return true
		}},
	{"uses a service that no route names", RuleRoute, safeKind,
		func(proxy *fakeProxy, exchange *proxiedRequest) bool {
			exchange.reply(proxy.call(proxy.world.other, exchange.request))
			return true
		}},
	{"makes too many attempts", RuleAttempts, safeKind, func(proxy *fakeProxy, exchange *proxiedRequest) bool {
		proxy.call(proxy.world.lookup, exchange.request)
		proxy.call(proxy.world.lookup, exchange.request)
		return false
	}},
}

func TestEachViolationIsDetected(t *testing.T) {
	for _, test := range violations {
		t.Run(test.name, func(t *testing.T) {
			world := newTestWorld(t)
			world.proxy.setMisbehaviour(test.wrong)
			world.do(test.kind)
			world.do(test.kind)
			world.client.Close()
			world.Assert(world.brokenRules(), qt.DeepEquals, []Rule{test.rule})
		})
	}
}

func TestTooManyRetriesAreDetected(t *testing.T) {
	world := newTestWorld(t)
	world.proxy.setMisbehaviour(func(proxy *fakeProxy, exchange *proxiedRequest) bool {
		proxy.call(proxy.world.lookup, exchange.request)
		return false
	})
	for range 5 { // 5 repeats, of which 4 and a tenth of 5 requests are allowed
		world.do(safeKind)
	}
	world.Assert(world.brokenRules(), qt.DeepEquals, []Rule{RuleBudget})
}

func TestRequestToADrainingServerIsDetected(t *testing.T) {
	world := newTestWorld(t)
	sendToADrainingServer(world, func() {})
	world.Assert(world.brokenRules(), qt.DeepEquals, []Rule{RuleDrain})
}

// The acknowledgement of a faulty machine applies to the others.
func TestRequestAfterTheAcknowledgementOfAFaultyMachineIsDetected(t *testing.T) {
	world := newTestWorld(t)
	const elsewhere = "10.9.9.9"
	sendToADrainingServer(world, func() {
		world.observations.RecordFault(elsewhere, false)
		world.lookup.mu.Lock()
		defer world.lookup.mu.Unlock()
		faults := world.observations.faults
		world.lookup.ack = drainAck{faults[len(faults)-1].at, elsewhere}
	})
	world.Assert(world.brokenRules(), qt.DeepEquals, []Rule{RuleDrain})
}

// sendToADrainingServer has the proxy send to a server too long after its departure was acknowledged.
func sendToADrainingServer(world *testWorld, onceAcknowledged func()) {
	drained := make(chan bool, 1)
	go func() { drained <- world.lookup.Shutdown(time.Minute) }()
	world.eventually("the departure is acknowledged", func() bool {
		return world.lookup.drainAck().acknowledged()
	})
	onceAcknowledged()
	world.Assert(world.do(safeKind).Outcome, qt.Equals, Served) // within the bound
	world.waitUntil(world.lookup.drainAck().at.Add(2 * testBounds.Drain))
	world.Assert(world.do(safeKind).Outcome, qt.Equals, Served)
	world.lookup.Stop()
	world.Assert(<-drained, qt.IsTrue)
}

func TestOldConfigurationIsDetected(t *testing.T) {
	world := newTestWorld(t)
	added := &Kind{Name: "added", Host: testHost, Prefix: "/added/", Class: fleetconfig.Safe,
		LatencyTarget: time.Second, Deadline: 5 * time.Second}
	world.Assert(world.operator.Put(world.timeoutContext(), testDocument(3, RouteOf(added, "lookup", 1))),
		qt.IsNil)
	world.proxy.setMisbehaviour(func(proxy *fakeProxy, exchange *proxiedRequest) bool {
		exchange.reply(responseText(404, nil, ""))
		return true
	})
	world.do(added) // within the bound, the older configuration may still be in force
	world.waitUntil(time.Now().Add(2 * testBounds.Config))
	world.do(added)
	world.Assert(world.brokenRules(), qt.DeepEquals, []Rule{RuleConfig})
}

func TestRollbackToAnOldConfigurationIsDetected(t *testing.T) {
	world := newTestWorld(t)
	moved := testDocument(3)
	moved.Routes[0].Service = "other"
	world.Assert(world.operator.Put(world.timeoutContext(), moved), qt.IsNil)
	world.proxy.setMisbehaviour(func(proxy *fakeProxy, exchange *proxiedRequest) bool {
		server := proxy.world.other
		if proxy.previous != "" {
			server = proxy.world.lookup
		}
		proxy.previous = "asked"
		exchange.reply(proxy.call(server, exchange.request))
		return true
	})
	world.do(safeKind)
	world.do(safeKind)
	world.Assert(world.brokenRules(), qt.DeepEquals, []Rule{RuleConfig})
}

func TestWrongConfigurationReadBackIsDetected(t *testing.T) {
	world := newTestWorld(t)
	world.control.set(func(*controlserver.Call) *http1.Response {
		return controlserver.JSON(200, []byte(`{"edition":1,"routes":[],
		"depots_list":[]}`))
	})
	world.Assert(world.operator.ReadBack(world.timeoutContext()), qt.IsNil)
	world.Assert(world.brokenRules(), qt.DeepEquals, []Rule{RuleConfig})
}

// runAndClose has a request run and closes the connection in place of a response.
func runAndClose(proxy *fakeProxy, exchange *proxiedRequest) bool {
	proxy.call(proxy.world.lookup, exchange.request)
	exchange.conn.Close()
	return true
}

// A process that gets SIGTERM must answer what it has read.
func TestLossAtAPlannedStopIsDetected(t *testing.T) {
	world := newTestWorld(t)
	machine := hostOf(world.proxy.listener.Address())
	world.proxy.setMisbehaviour(runAndClose)
	world.do(safeKind) // lost without a stop: no violation
	world.observations.RecordTermination(machine, false)
	world.do(safeKind)
	world.Assert(world.brokenRules(), qt.DeepEquals, []Rule{RuleLost})
}

func TestLossAfterAKillIsNoViolation(t *testing.T) {
	world := newTestWorld(t)
	machine := hostOf(world.proxy.listener.Address())
	world.proxy.setMisbehaviour(runAndClose)
	world.observations.RecordTermination(machine, false)
	world.observations.bounds.Touch = time.Minute
	world.observations.RecordFault(machine, false)
	world.do(safeKind)
	world.Assert(world.brokenRules(), qt.HasLen, 0)
}

func TestOrdersOfTwoHoldersAreDetected(t *testing.T) {
	for _, test := range []struct {
		name   string
		orders []lastOrder
		rules  []Rule
	}{
		{"one holder", []lastOrder{{holder: "a", fence: 1}, {holder: "a", fence: 2}}, nil},
		{"one fence", []lastOrder{{holder: "a", fence: 1}, {holder: "b", fence: 1}}, []Rule{RuleOne}},
		{"soon after", []lastOrder{{holder: "a", fence: 1}, {holder: "b", fence: 2}}, []Rule{RuleOne}},
		{"a fence that servers check", []lastOrder{{holder: "a", fence: 3}, {holder: "a", fence: 2}}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			world := newTestWorld(t)
			for _, order := range test.orders {
				world.observations.recordOrder("i-1", order.holder, order.fence)
			}
			world.Assert(world.brokenRules(), qt.DeepEquals, test.rules)
		})
	}
}

func TestNothingServedAfterARecoveryIsDetected(t *testing.T) {
	world := newTestWorld(t)
	world.do(safeKind)
	world.proxy.setMisbehaviour(func(proxy *fakeProxy, exchange *proxiedRequest) bool {
		exchange.reply(responseText(502, nil, ""))
		return true
	})
	world.observations.RecordAllRestarted()
	world.waitUntil(time.Now().Add(2 * testBounds.Recovery))
	world.do(safeKind)
	world.Assert(world.brokenRules(), qt.DeepEquals, []Rule{RuleRecover})
}
