package routersim

import (
	"cresshub/internal/router/catalog"
	"cresshub/internal/router/scheduler"
)

// maxAttempts is how many servers a request may be sent to, for each of its roles.
const maxAttempts = 2

// proxy takes requests and decides with a policy of its own.
type proxy struct {
	fleet  *fleet
	zone   string
	policy Policy
}

// receive takes an attempt of a client.
func (p *proxy) receive(client *clientRequest, request *scheduler.Request) {
	x := &exchange{proxy: p, client: client, request: request}
	if !p.admits(client.kind, request) {
		p.fleet.counts.Rejected++
		x.fail()
		return
	}
	p.fleet.clock.after(client.kind.Deadline, x.abandon)
	x.route()
}

// admits reports whether a server could begin before the client leaves, as the data plane asks it of the
// scheduler (dataplane.roundTrip). Other policies admit everything.
func (p *proxy) admits(kind *Kind, request *scheduler.Request) bool {
	policy, ok := p.policy.(admissionPolicy)
	return !ok || policy.QueueDelay(p.fleet.clock.now, request).StartsWithin(kind.Deadline)
}

// observeAllLoads reports the load of each server to the policy, in scenarios with AllLoadsKnown.
func (p *proxy) observeAllLoads() {
	if !p.fleet.scenario.AllLoadsKnown {
		return
	}
	for _, s := range p.fleet.live() {
		p.policy.ObserveLoad(p.fleet.clock.now, s.ID, s.load(scheduler.Serve))
	}
}

// exchange is an attempt of a client at a proxy, until its answer is complete.
type exchange struct {
	proxy    *proxy
	client   *clientRequest
	request  *scheduler.Request
	attempts int
	call     *scheduler.Call // the newest one
	job      *job            // of that call, once it has arrived
	answered bool            // the first token has come, and the request is counted
	finished bool
}

// route sends the request to one server, or split to two.
func (x *exchange) route() {
	x.proxy.observeAllLoads()
	if x.proxy.policy.Split(x.proxy.fleet.clock.now, x.request) {
		x.send(scheduler.Prefill, nil)
		return
	}
	x.proxy.fleet.counts.Direct++
	x.send(scheduler.Serve, nil)
}

// send makes one call; a decode call fetches from prefillServer.
func (x *exchange) send(role scheduler.Role, prefillServer *server) {
	f := x.proxy.fleet
	x.proxy.observeAllLoads()
	var listed *catalog.Server
	if prefillServer != nil {
		listed = prefillServer.Server
	}
	call := x.proxy.policy.Choose(f.clock.now, x.request, role, listed)
	if call == nil {
		x.fail()
		return
	}
	x.call = call
	to := f.servers[call.Server.ID]
	f.clock.after(f.networkDelay(x.proxy.zone, to), func() { x.arrive(call, to, prefillServer) })
}

// arrive begins the call's job at its server.
func (x *exchange) arrive(call *scheduler.Call, at, prefillServer *server) {
	if at.dead {
		x.respond(at, func() { x.retry(call, scheduler.Unreachable) })
		return
	}
	j := &job{
		role: call.Role, request: x.request, step: x.client.step, outputLeft: x.request.OutputTokens,
		urgency: x.urgency(call),
	}
	x.job = j
	ended := false
	j.onFirstToken = func() {
		load := at.load(call.Role)
		ended = call.Role == scheduler.Prefill
		x.respond(at, func() { x.firstToken(call, at, load) })
	}
	j.onLastToken = func() {
		ended = true
		x.respond(at, func() { x.lastToken(call) })
	}
	at.onCrash = append(at.onCrash, func() {
		if !ended {
			x.respond(at, func() { x.retry(call, scheduler.Broken) })
		}
	})
	if call.Role != scheduler.Decode {
		at.enqueue(j)
	} else if prefillServer.dead || !at.fetchPrefix(j, prefillServer) {
		ended = true
		x.respond(at, func() { x.retry(call, scheduler.HandleFailed) })
	}
}

// urgency returns the urgency of a call: that of its kind, and one step less urgent for each thousand tokens
// to prefill.
func (x *exchange) urgency(call *scheduler.Call) int {
	const tokensPerStep, leastUrgent = 1000, 9
	return min(x.client.kind.Urgency+call.Expected().UncachedTokens/tokensPerStep, leastUrgent)
}

// respond runs a function when an answer of a server has reached the proxy.
func (x *exchange) respond(from *server, run func()) {
	f := x.proxy.fleet
	f.clock.after(f.networkDelay(x.proxy.zone, from), run)
}

// firstToken takes the first sign of an answer: a token, or the end of a prefill.
func (x *exchange) firstToken(call *scheduler.Call, from *server, load scheduler.Load) {
	if x.finished || x.call != call {
		return
	}
	f, policy := x.proxy.fleet, x.proxy.policy
	policy.ObserveLoad(f.clock.now, call.Server.ID, load)
	x.proxy.reportToPeers(call.Server.ID, load)
	policy.FirstEvent(f.clock.now, call)
	if call.Role == scheduler.Prefill {
		policy.Done(f.clock.now, call, scheduler.Served)
		x.send(scheduler.Decode, from)
		return
	}
	x.answered = true
	x.client.answered()
}

// lastToken takes the end of an answer.
func (x *exchange) lastToken(call *scheduler.Call) {
	if x.finished || x.call != call {
		return
	}
	x.finished = true
	x.proxy.policy.Done(x.proxy.fleet.clock.now, call, scheduler.Served)
}

// retry ends a call that failed and routes the request anew, unless the client has got a part of the answer.
func (x *exchange) retry(call *scheduler.Call, outcome scheduler.Outcome) {
	if x.finished || x.call != call {
		return
	}
	x.proxy.policy.Done(x.proxy.fleet.clock.now, call, outcome)
	x.attempts++
	if x.answered || x.attempts >= maxAttempts {
		x.fail()
		return
	}
	x.request.Excluded = append(x.request.Excluded, call.Server.ID)
	x.route()
}

// fail ends the attempt, as failed where nothing of an answer has come.
func (x *exchange) fail() {
	x.finished = true
	if !x.answered {
		x.client.failed()
	}
}

// abandon is the client leaving at its deadline, where nothing has come.
func (x *exchange) abandon() {
	if x.finished || x.answered {
		return
	}
	x.proxy.policy.Done(x.proxy.fleet.clock.now, x.call, scheduler.Abandoned)
	if x.job != nil {
		x.job.abandoned = true
	}
	x.fail()
}
