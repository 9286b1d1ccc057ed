package routersim

import (
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/scheduler"
)

const tries = 2 // servers that a request may be sent to, for each of its roles

// proxy takes requests and decides with a policy of its own.
type proxy struct {
	fleet  *fleet
	zone   string
	policy Policy
}

// visit is a request at a proxy.
type visit struct {
	proxy    *proxy
	kind     *Kind
	request  *scheduler.Request
	came     time.Duration
	attempts int
	over     bool
	call     *scheduler.Call
	job      *job
}

func (p *proxy) take(k *Kind, r *scheduler.Request) {
	f := p.fleet
	f.count.Requests++
	f.count.Owed += k.Worth
	v := &visit{proxy: p, kind: k, request: r, came: f.clock.now}
	f.clock.after(k.Deadline, v.abandon)
	v.route()
}

// route sends the request on its way, whole or split.
func (v *visit) route() {
	v.proxy.refresh()
	if v.proxy.policy.Split(v.proxy.fleet.clock.now, v.request) {
		v.send(scheduler.Read, nil)
		return
	}
	v.proxy.fleet.count.Direct++
	v.send(scheduler.Serve, nil)
}

// refresh tells the policy all loads, in the scenarios that ask for it.
func (p *proxy) refresh() {
	if !p.fleet.scenario.Fresh {
		return
	}
	for _, s := range p.fleet.live() {
		p.policy.Told(p.fleet.clock.now, s.ID, s.load(scheduler.Serve))
	}
}

// exchange lets the other proxies hear a load that was told here.
func (p *proxy) exchange(server string, load scheduler.Load) {
	f := p.fleet
	if f.scenario.Exchange == 0 {
		return
	}
	at := f.clock.now
	f.clock.after(f.scenario.Exchange, func() {
		for _, other := range f.proxies {
			if hearer, ok := other.policy.(hearer); ok && other != p {
				hearer.Heard(at, server, load)
			}
		}
	})
}

// hearer is a policy that takes in what other proxies were told.
type hearer interface {
	Heard(at time.Duration, server string, load scheduler.Load)
}

// send makes one call.
func (v *visit) send(role scheduler.Role, reader *server) {
	f := v.proxy.fleet
	v.proxy.refresh()
	var holder *catalog.Server
	if reader != nil {
		holder = reader.Server
	}
	call := v.proxy.policy.Choose(f.clock.now, v.request, role, holder)
	if call == nil {
		v.fail()
		return
	}
	v.call = call
	to := f.servers[call.Server.ID]
	f.clock.after(f.transit(v.proxy.zone, to), func() { v.arrive(call, to, reader) })
}

// arrive begins the call's job at its server.
func (v *visit) arrive(call *scheduler.Call, to, reader *server) {
	if to.dead {
		v.back(to, func() { v.retry(call, scheduler.Unreachable) })
		return
	}
	j := &job{role: call.Role, request: v.request, tokens: v.request.OutputTokens, urgency: v.urgency(call)}
	v.job = j
	ended := false
	j.first = func() {
		load := to.load(call.Role)
		ended = call.Role == scheduler.Read
		v.back(to, func() { v.first(call, to, load) })
	}
	j.last = func() {
		ended = true
		v.back(to, func() { v.last(call) })
	}
	to.failAll = append(to.failAll, func() {
		if !ended {
			v.back(to, func() { v.retry(call, scheduler.Broken) })
		}
	})
	if call.Role != scheduler.Write {
		to.take(j)
	} else if reader.dead || !to.fetch(j, reader) {
		ended = true
		v.back(to, func() { v.retry(call, scheduler.HandleFailed) })
	}
}

// urgency is that of a call: the route's, and less for each thousand tokens to be read.
func (v *visit) urgency(call *scheduler.Call) int {
	const tokensPerStep, last = 1000, 9
	tokens, _ := call.Expected()
	return min(v.kind.Urgency+tokens/tokensPerStep, last)
}

func (v *visit) back(from *server, run func()) {
	v.proxy.fleet.clock.after(v.proxy.fleet.transit(v.proxy.zone, from), run)
}

// first is the first sign of an answer: a token, or the end of a read.
func (v *visit) first(call *scheduler.Call, from *server, load scheduler.Load) {
	if v.over || v.call != call {
		return
	}
	f, policy := v.proxy.fleet, v.proxy.policy
	policy.Told(f.clock.now, call.Server.ID, load)
	v.proxy.exchange(call.Server.ID, load)
	policy.FirstEvent(f.clock.now, call)
	if call.Role == scheduler.Read {
		policy.Done(f.clock.now, call, scheduler.Served)
		v.send(scheduler.Write, from)
		return
	}
	took := f.clock.now - v.came
	f.count.firsts = append(f.count.firsts, took)
	f.count.Served++
	if took <= v.kind.Aim {
		f.count.InTime++
		f.count.Earned += v.kind.Worth
	} else {
		f.count.Earned += lateWorth * v.kind.Worth
	}
	v.kind = &Kind{Worth: v.kind.Worth} // it is counted
}

const lateWorth = 0.3

func (v *visit) last(call *scheduler.Call) {
	if v.over || v.call != call {
		return
	}
	v.over = true
	v.proxy.policy.Done(v.proxy.fleet.clock.now, call, scheduler.Served)
}

// retry ends a call that failed and sends the request anew.
func (v *visit) retry(call *scheduler.Call, outcome scheduler.Outcome) {
	if v.over || v.call != call {
		return
	}
	v.proxy.policy.Done(v.proxy.fleet.clock.now, call, outcome)
	v.attempts++
	if v.kind.Name == "" || v.attempts >= tries { // a stream that had begun is not begun again
		v.fail()
		return
	}
	v.request.Tried = append(v.request.Tried, call.Server.ID)
	v.route()
}

func (v *visit) fail() {
	v.over = true
	if v.kind.Name != "" {
		v.proxy.fleet.count.Failed++
	}
}

// abandon is the client leaving at its deadline, where nothing has come.
func (v *visit) abandon() {
	if v.over || v.kind.Name == "" {
		return
	}
	v.proxy.policy.Done(v.proxy.fleet.clock.now, v.call, scheduler.Abandoned)
	if v.job != nil {
		v.job.gone = true
	}
	v.fail()
}
