package routersim

import (
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/scheduler"
)

const maxAttempts = 2 // servers that a request may be sent to, for each of its roles

// proxy takes requests and decides with a policy of its own.
type proxy struct {
	fleet  *fleet
	zone   string
	policy Policy
}

// exchange is a request at a proxy.
type exchange struct {
	proxy     *proxy
	kind      *Kind
	request   *scheduler.Request
	arrivedAt time.Duration
	attempts  int
	finished  bool
	call      *scheduler.Call
	job       *job
}

func (p *proxy) receive(kind *Kind, r *scheduler.Request) {
	f := p.fleet
	f.counts.Requests++
	f.counts.OfferedValue += kind.Value
	v := &exchange{proxy: p, kind: kind, request: r, arrivedAt: f.clock.now}
	f.clock.after(kind.Deadline, v.abandon)
	v.route()
}

// route sends the request on its way, whole or split.
func (v *exchange) route() {
	v.proxy.observeAllLoads()
	if v.proxy.policy.Split(v.proxy.fleet.clock.now, v.request) {
		v.send(scheduler.Prefill, nil)
		return
	}
	v.proxy.fleet.counts.Direct++
	v.send(scheduler.Serve, nil)
}

// observeAllLoads tells the policy all loads, in the scenarios that ask for it.
func (p *proxy) observeAllLoads() {
	if !p.fleet.scenario.AllLoadsKnown {
		return
	}
	for _, s := range p.fleet.live() {
		p.policy.ObserveLoad(p.fleet.clock.now, s.ID, s.load(scheduler.Serve))
	}
}

// shareLoad lets the other proxies hear a load that was told here.
func (p *proxy) shareLoad(server string, load scheduler.Load) {
	f := p.fleet
	if f.scenario.LoadExchangeDelay == 0 {
		return
	}
	at := f.clock.now
	f.clock.after(f.scenario.LoadExchangeDelay, func() {
		for _, other := range f.proxies {
			if hearer, ok := other.policy.(loadObserver); ok && other != p {
				hearer.ObserveLoadAt(at, server, load)
			}
		}
	})
}

// loadObserver is a policy that takes in what other proxies were told.
type loadObserver interface {
	ObserveLoadAt(at time.Duration, server string, load scheduler.Load)
}

// send makes one call.
func (v *exchange) send(role scheduler.Role, reader *server) {
	f := v.proxy.fleet
	v.proxy.observeAllLoads()
	var prefillServer *catalog.Server
	if reader != nil {
		prefillServer = reader.Server
	}
	call := v.proxy.policy.Choose(f.clock.now, v.request, role, prefillServer)
	if call == nil {
		v.fail()
		return
	}
	v.call = call
	to := f.servers[call.Server.ID]
	f.clock.after(f.networkDelay(v.proxy.zone, to), func() { v.arrive(call, to, reader) })
}

// arrive begins the call's job at its server.
func (v *exchange) arrive(call *scheduler.Call, to, reader *server) {
	if to.dead {
		v.respond(to, func() { v.retry(call, scheduler.Unreachable) })
		return
	}
	j := &job{role: call.Role, request: v.request, outputLeft: v.request.OutputTokens, urgency: v.urgency(call)}
	v.job = j
	ended := false
	j.onFirstToken = func() {
		load := to.load(call.Role)
		ended = call.Role == scheduler.Prefill
		v.respond(to, func() { v.firstToken(call, to, load) })
	}
	j.onLastToken = func() {
		ended = true
		v.respond(to, func() { v.lastToken(call) })
	}
	to.onCrash = append(to.onCrash, func() {
		if !ended {
			v.respond(to, func() { v.retry(call, scheduler.Broken) })
		}
	})
	if call.Role != scheduler.Decode {
		to.enqueue(j)
	} else if reader.dead || !to.fetchPrefix(j, reader) {
		ended = true
		v.respond(to, func() { v.retry(call, scheduler.HandleFailed) })
	}
}

// urgency is that of a call: the route's, and less for each thousand tokens to be read.
func (v *exchange) urgency(call *scheduler.Call) int {
	const tokensPerStep, last = 1000, 9
	tokens, _ := call.Expected()
	return min(v.kind.Urgency+tokens/tokensPerStep, last)
}

func (v *exchange) respond(from *server, run func()) {
	v.proxy.fleet.clock.after(v.proxy.fleet.networkDelay(v.proxy.zone, from), run)
}

// firstToken is the first sign of an answer: a token, or the end of a read.
func (v *exchange) firstToken(call *scheduler.Call, from *server, load scheduler.Load) {
	if v.finished || v.call != call {
		return
	}
	f, policy := v.proxy.fleet, v.proxy.policy
	policy.ObserveLoad(f.clock.now, call.Server.ID, load)
	v.proxy.shareLoad(call.Server.ID, load)
	policy.FirstEvent(f.clock.now, call)
	if call.Role == scheduler.Prefill {
		policy.Done(f.clock.now, call, scheduler.Served)
		v.send(scheduler.Decode, from)
		return
	}
	took := f.clock.now - v.arrivedAt
	f.counts.firstTokenTimes = append(f.counts.firstTokenTimes, took)
	f.counts.Served++
	if took <= v.kind.LatencyTarget {
		f.counts.InTime++
		f.counts.EarnedValue += v.kind.Value
	} else {
		f.counts.EarnedValue += lateValueFraction * v.kind.Value
	}
	v.kind = &Kind{Value: v.kind.Value} // it is counted
}

const lateValueFraction = 0.3

func (v *exchange) lastToken(call *scheduler.Call) {
	if v.finished || v.call != call {
		return
	}
	v.finished = true
	v.proxy.policy.Done(v.proxy.fleet.clock.now, call, scheduler.Served)
}

// retry ends a call that failed and sends the request anew.
func (v *exchange) retry(call *scheduler.Call, outcome scheduler.Outcome) {
	if v.finished || v.call != call {
		return
	}
	v.proxy.policy.Done(v.proxy.fleet.clock.now, call, outcome)
	v.attempts++
	if v.kind.Name == "" || v.attempts >= maxAttempts { // a stream that had begun is not begun again
		v.fail()
		return
	}
	v.request.Excluded = append(v.request.Excluded, call.Server.ID)
	v.route()
}

func (v *exchange) fail() {
	v.finished = true
	if v.kind.Name != "" {
		v.proxy.fleet.counts.Failed++
	}
}

// abandon is the client leaving at its deadline, where nothing has come.
func (v *exchange) abandon() {
	if v.finished || v.kind.Name == "" {
		return
	}
	v.proxy.policy.Done(v.proxy.fleet.clock.now, v.call, scheduler.Abandoned)
	if v.job != nil {
		v.job.abandoned = true
	}
	v.fail()
}
