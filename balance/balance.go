// This file holds all decisions, in the order in which a request meets them; the interface is in api.go.
// The ordinary path is Basic LI of Dahlin's "Interpreting Stale Load Information".

package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// lambda is the arrival rate a server is taken to have, as a part of what it can do. The paper
	// advises a high value: to underestimate it makes herds, to overestimate it costs little.
	lambda = 1.0
	// noReport is the age, in service times, that makes any difference between servers vanish.
	noReport = 1e9
	// retryShare is how many further attempts a request may add on average: enough for scattered
	// failures, too few to feed a jam. retryBurst is how many may come at once.
	retryShare, retryBurst = 0.2, 10.0
	// reportLife is how long a report tells as much as a new one would: servers refresh theirs more
	// seldom, and what was sent since is known.
	reportLife = 80 * time.Millisecond
	// refusePart of an aim spent waiting is where a usual request is refused; refuseAfter services if asked.
	refusePart, refuseAfter = 0.3, 2.5
	probeWorth              = 0.012 // what the probes of one request may cost together, as a part of its worth
	// stuckAfter service times, in a queue, without an answer a server counts as silent.
	stuckAfter = 4
	coldParts  = 4                // like the 8 in weigh, where servers are asked and busy ones passed over
	errorRest  = 10 * time.Second // the first rest after an error where servers are asked one by one
	mostAsked  = 2                // servers asked for one request, one after the other, where probes are dear
	// All ask while busyAsked of those asked are busy, fewer before that, down to leastAsked.
	leastAsked, busyAsked = 0.25, 0.2
	// floorPart of the listed servers stay eligible whatever their health: when more look ill the
	// cause is rarely the servers, and the rest could not carry the load.
	floorPart = 0.5
)

// New returns a Balancer that knows no server yet.
func New(set Settings, now time.Duration) (*Balancer, error) {
	if err := check(&set); err != nil {
		return nil, err
	}
	b := &Balancer{
		set: set, rng: rand.New(rand.NewPCG(set.Seed, 0x9e3779b97f4a7c15)),
		byID: map[ServerID]*server{}, requests: map[string]*request{}, bySeq: map[uint64]*request{},
		service: make([]estimate, len(set.Classes)), byKind: make([][]estimate, len(set.Classes)),
		hinted: make([]estimate, len(set.Classes)), parallel: 2, budget: retryBurst, busy: busyAsked,
	}
	for i, c := range set.Classes {
		b.service[i].mean = c.Aim.Seconds() / 5 // an aim leaves room for some queueing; two samples replace it
	}
	return b, nil
}

// ---- list

// List takes in what the registry says.
func (b *Balancer) List(now time.Duration, kind ListKind, list []Server, acts []Action) []Action {
	if kind == ListFailed {
		b.failed++
		// Spread and back off: a registry that is short of time must not be asked by all at once.
		// But not for long: what it has to tell binds also while it is not heard.
		wait := b.set.AskWithin / 20 * time.Duration(1<<min(b.failed, 2))
		return append(acts, b.timer(b.jitter(wait), timerFollow, 0))
	}
	if kind == ListCached && b.set.MustFollow {
		spread := b.set.AskWithin / 5
		if len(list) == 0 { // whoever knows no server can serve nobody
			spread /= 20
		}
		acts = append(acts, b.timer(time.Duration(b.rng.Float64()*float64(spread)), timerFollow, 0))
	} else {
		b.failed = 0
	}
	named := make(map[ServerID]bool, len(list))
	for _, s := range list {
		named[s.ID] = true
		old := b.byID[s.ID]
		switch {
		case s.State != Up:
			b.drop(s.ID)
		case old == nil:
			b.byID[s.ID] = &server{Server: s, classes: make([]health, len(b.set.Classes))}
			b.servers = append(b.servers, b.byID[s.ID])
		case old.Started != s.Started:
			// A new process under the old id is cold, and nothing seen of the old one holds for it.
			b.byID[s.ID] = &server{Server: s, classes: make([]health, len(b.set.Classes))}
			b.servers[slices.Index(b.servers, old)] = b.byID[s.ID]
		default:
			old.Server = s
		}
	}
	if kind != ListDelta {
		for _, s := range slices.Clone(b.servers) {
			if !named[s.ID] {
				b.drop(s.ID)
			}
		}
	}
	b.rating = 0
	for _, s := range b.servers {
		if !(s.Rating > 0) || math.IsInf(s.Rating, 0) {
			s.Rating = 1
		}
		b.rating += s.Rating / float64(len(b.servers))
	}
	return acts
}

// ---- estimates

// report takes a load report in.
func (b *Balancer) report(now time.Duration, s *server, row []float64) {
	held, waiting, ok := readRow(b.set.Report, row)
	if !ok {
		return
	}
	s.held, s.waiting, s.reported, s.hasReport = held, waiting, now, true
	s.epoch, s.since = s.epoch+1, 0
	if b.lag() == 0 && !b.dear() {
		b.met(now, b.waitBehind(held), 0.1)
	}
}

// waitBehind is the delay, in seconds, that a request meets at a usual server that holds so many.
func (b *Balancer) waitBehind(held float64) float64 {
	mean := b.meanService()
	return (held+1)/b.parallel*mean - mean
}

// fresh tells whether the last report of s is as good as one of this moment.
func (b *Balancer) fresh(now time.Duration, s *server) bool {
	return s.hasReport && now-s.reported <= max(reportLife, 2*b.set.Tick)
}

// lag is by how much reports look older than they came, in seconds. No report tells its age. Where
// outcomes keep to what fresh reports foretell there is none; where most go far beyond, on one server
// after the other, the reports are late, and to follow them as fresh makes all balancers herd. One
// slow server does not raise enough doubt.
func (b *Balancer) lag() float64 { return 4 * max(0, b.doubt-0.3) }

// compare holds an outcome against what the report before it foretold.
func (b *Balancer) compare(r *request, a *attempt, latency time.Duration, res Result) {
	foretold := max((a.level+1)/b.parallel/b.capacity(r.Class, a.to), 1) * float64(b.expected(r))
	late := 0.0
	if float64(latency) > 2*foretold {
		if late = 1; a.to == b.strange {
			return // one in trouble says nothing of the reports of the others
		}
		b.strange = a.to
	} else if res == TimedOut {
		return // cut off before it could tell
	}
	b.doubt += 0.15 * (late - b.doubt)
}

// learn takes the latency of a served attempt in.
func (b *Balancer) learn(class int, a *attempt, latency time.Duration) {
	x := latency.Seconds()
	if !(x > 0) {
		return
	}
	b.service[class].add(x, a.calm)
	k := b.kind(class, a.to.Kind)
	k.add(x, a.calm)
	// A server that holds more than it works on at once answers its whole level in level/parallel
	// service times; below that the latency says nothing of how many it works on.
	if a.level+1 > b.parallel {
		// The part of its level that a request waits for is averaged, not its inverse: a few very short
		// answers would make servers look wider than they are, and the wider the more they are crowded.
		part := min(max(x/k.mean/(a.level+1), 1/(a.level+1)), 1)
		b.parallel = 1 / (1/b.parallel + 0.05*(part-1/b.parallel))
	}
}

// capacity is what a warm server can do for a class, relative to the others: the rating until its
// kind's latencies are known.
func (b *Balancer) capacity(class int, s *server) float64 {
	rated := s.Rating / b.rating
	k := b.kind(class, s.Kind)
	seen := b.service[class].mean / k.mean
	return (4*rated + k.n*seen) / (4 + k.n)
}

// warmth is the part of its capacity a server is sure to have.
func (b *Balancer) warmth(now time.Duration, s *server) float64 {
	if s.Started <= 0 || now >= s.Started+b.set.ColdFor {
		return 1
	}
	age := max(0, float64(now-s.Started)/float64(b.set.ColdFor))
	return max(b.set.ColdStart+(1-b.set.ColdStart)*age, 0.01)
}

// met takes in how long a request was kept beyond its service time, or would be where it was looked at.
func (b *Balancer) met(now time.Duration, wait, gain float64) {
	b.delay, b.delayAt = b.waiting(now), now
	b.delay += gain * (max(wait, 0) - b.delay)
}

// waiting is the delay a request has to expect. It fades, so that a balancer that refuses everything
// tries again by and by.
func (b *Balancer) waiting(now time.Duration) float64 {
	return b.delay * math.Exp(-(now-b.delayAt).Seconds()/3)
}

// crowded is the delay to expect as far as reports bear it out: what a single server in trouble makes
// requests wait is no reason to refuse others. Reports come late, so more than they tell is believed.
func (b *Balancer) crowded(now time.Duration) float64 {
	sum, n := 0.0, 0.0
	for _, s := range b.servers {
		if s.hasReport && now-s.reported < time.Second {
			sum, n = sum+max(b.waitBehind(s.held+float64(s.since)), 0), n+1
		}
	}
	if n == 0 {
		return b.waiting(now)
	}
	return min(b.waiting(now), 3*sum/n)
}

// ---- eligibility

// panicking tells whether so few servers are healthy that ejected ones are used. What cannot be reached is no
// part of the floor: a balancer in a zone that is cut off has most of the list out of reach, and what is
// near must do.
func (b *Balancer) panicking(now time.Duration) (panicking bool, near int) {
	healthy := 0
	for _, s := range b.servers {
		if now >= s.ejected {
			healthy++
		}
		if !s.cut || now >= s.ejected {
			near++
		}
	}
	return float64(healthy) < floorPart*float64(near), near
}

// avoided tells whether s gets no traffic at all.
func (s *server) avoided(now time.Duration, panicking bool, near int) bool {
	return now < s.ejected && (!panicking || s.cut && near > 0)
}

// eligible lists the servers that may take a next attempt of r.
func (b *Balancer) eligible(now time.Duration, r *request) []*server {
	panicking, near := b.panicking(now)
	bound := b.bound(r)
	rows := b.rows[:0]
	// The strict pass leaves out what was tried and, for what must not be repeated, servers that have
	// not yet shown to be well; the lax pass takes them rather than nothing.
	for pass := 0; pass < 2 && len(rows) == 0; pass++ {
		for _, s := range b.servers {
			if bound != nil && !b.together(r, bound, s) {
				continue
			}
			if s.avoided(now, panicking, near) && (bound == nil || pass == 0) {
				continue
			}
			if pass == 0 && (b.stuck(now, r, s) || r.tried(s) ||
				s.suspect && b.set.Classes[r.Class].Effect == AtMostOnce) {
				continue
			}
			rows = append(rows, s)
		}
	}
	b.rows = rows
	return rows
}

// stuck tells whether s leaves the class of r unanswered: some servers in trouble do, while other classes
// and probes go well. At first only the missing answers show it; after failures it is tried singly.
func (b *Balancer) stuck(now time.Duration, r *request, s *server) bool {
	h := &s.classes[r.Class]
	if s.probing && now-s.asked > b.probeWait() && !b.queued() {
		return true
	}
	if h.out == 0 {
		return now < h.ejected
	}
	return now < h.ejected || h.failures >= 3 || (now-h.since).Seconds() > b.unusual(r, s)
}

// unusual is how long, in seconds, an answer of s seldom takes.
func (b *Balancer) unusual(r *request, s *server) float64 {
	queue := max((s.held+float64(s.since))/b.parallel, 1)
	return stuckAfter * queue * b.kind(r.Class, s.Kind).mean
}

// bound is the first server where a deduplicated request may have run; repeats must stay in its group.
func (b *Balancer) bound(r *request) *server {
	if b.set.Classes[r.Class].Effect != Deduplicated {
		return nil
	}
	for i := range r.attempts {
		if r.attempts[i].mayRun {
			return r.attempts[i].to
		}
	}
	return nil
}

func (b *Balancer) together(r *request, x, y *server) bool {
	switch b.set.Classes[r.Class].Group {
	case GroupZone:
		return x.Zone == y.Zone
	case GroupCell:
		return x.Zone == y.Zone && x.Cell == y.Cell
	}
	return true
}

// until is the time before which the rules allow one more attempt to begin; 0 where they allow none.
func (b *Balancer) until(r *request) time.Duration {
	if r.spent || len(r.attempts) >= b.set.MaxAttempts || r.out > 0 && !b.set.MayDuplicate {
		return 0
	}
	c, until := &b.set.Classes[r.Class], r.Deadline
	for i := range r.attempts {
		if a := &r.attempts[i]; a.mayRun && c.Effect == AtMostOnce {
			return 0
		} else if a.mayRun && c.Effect == Deduplicated {
			until = min(until, a.sent+c.Window-2*b.set.Tick)
		}
	}
	return until
}

// trust lets little through to a server that was ejected, until one success.
func (s *server) trust() float64 {
	if s.suspect {
		return 0.1
	}
	return 1
}

// ---- shares

// weigh sets up the shares of the candidates for one request, levels and caps included. whole is the
// capacity of all eligible servers were they warm, sure what of it is there now.
func (b *Balancer) weigh(now time.Duration, r *request, rows []*server, whole, sure float64,
	sampled bool) float64 {
	known, typical, age := 0.0, 0.0, 0.0
	for _, s := range rows {
		if s.hasReport {
			known++
			typical += s.held
			age += max(now-s.reported-reportLife, 0).Seconds() // as good as new until then
		}
	}
	ages := noReport
	if known > 0 {
		typical /= known
		ages = (age/known + b.lag()) / b.meanService()
	}
	b.shares = b.shares[:0]
	sum, home := 0.0, 0.0
	for _, s := range rows {
		warm := b.warmth(now, s)
		x := share{s: s, weight: b.capacity(r.Class, s) * warm * s.trust(), cap: 1}
		if s.hasReport {
			x.level = s.held + float64(s.since)
		} else {
			x.level = typical + float64(s.out)
		}
		x.level /= x.weight
		if s.Zone == b.set.Zone {
			home += x.weight
		}
		if s == r.home {
			// What is warm takes less work, here and of the fleet: worth as much as one service time more
			// to wait, and twice the share where levels tell nothing.
			x.level -= b.parallel
			x.weight *= 2
		}
		if warm < 1 && !(sampled && b.dear()) { // that was capped when it was picked
			// All balancers do the same, so what each gives a cold server adds up to this part of all arrivals.
			// With arrivals at what the warm fleet can do, it meets 1/8 of the multiple at which it falls over;
			// the rest is for bursts, overload, retries and chance. A sampled one comes up by its weight.
			x.cap = b.set.FallMultiple / 8 * x.weight / whole
			if sampled {
				x.cap /= min(1, float64(len(rows))*x.weight/sure)
			}
		}
		sum += x.weight
		b.shares = append(b.shares, x)
	}
	arrive := ages * lambda * sum * b.parallel
	if home > 0 {
		cross := b.crossing(now, r, arrive/home)
		for i := range b.shares {
			if b.shares[i].s.Zone != b.set.Zone {
				b.shares[i].level += cross
			}
		}
	}
	return arrive
}

// crossing is how much higher levels may be at home before another zone is worth its price: a wait of
// one aim loses the whole worth, so a price is as much of an aim, counted in service times. Old levels
// cannot show what is worth it, so with age the arrivals of a whole phase, all, stay at home too, but
// as far as requests lately met a delay that takes up much of their aim.
func (b *Balancer) crossing(now time.Duration, r *request, all float64) float64 {
	if b.set.Prices.CrossZone <= 0 {
		return 0
	}
	aim := b.aim(r).Seconds()
	open := min(max(b.waiting(now)/aim-0.1, 0)/0.4, 1)
	return b.set.Prices.CrossZone*aim/b.service[r.Class].mean*b.parallel + all*(1-open)
}

// ---- draw

// favour finds the cell that likeliest met the key of r, the same for all balancers, and by how much to
// prefer it: most of a usual key's requests go there, of a hot one's as many as it can carry.
func (b *Balancer) favour(now time.Duration, r *request, rows []*server) {
	if r.boost = 0; !b.set.WarmKeys || !r.HasKey {
		return
	}
	high, all, near := uint64(0), 0.0, 0.0
	for _, s := range rows {
		c := b.capacity(r.Class, s)
		if x := mix(r.Key ^ uint64(s.Cell+1)*0x9e3779b97f4a7c15); x > high {
			high, r.cell, near = x, s.Cell, 0
		}
		if all += c; s.Cell == r.cell {
			near += c
		}
	}
	if part := near / all; part < 1 {
		want := min(0.7, 0.5*part/max(r.heat, 1e-9))
		r.boost = max(1, want*(1-part)/(part*(1-want)))
	}
}

// homes are the servers where the key of r is likely warm: the same two for all balancers that see the
// same list, the first of them first. They are the k of LI-k where warm keys save work.
func (b *Balancer) homes(now time.Duration, r *request, rows []*server, into []*server) []*server {
	r.home = nil
	if !b.set.WarmKeys || !r.HasKey || len(rows) < 3 {
		return into
	}
	var first, second *server
	var high, next uint64
	for _, s := range rows {
		if b.warmth(now, s) < 1 {
			continue // its cap counts on its coming up by chance alone
		}
		switch x := mix(r.Key ^ uint64(s.ID)*0x9e3779b97f4a7c15); {
		case first == nil || x > high:
			first, second, high, next = s, first, x, high
		case second == nil || x > next:
			second, next = s, x
		}
	}
	if second == nil {
		return into
	}
	r.home = first
	return append(into, first, second)
}

// ---- attempts and answers

// Request takes a request that must get one final answer.
func (b *Balancer) Request(now time.Duration, q Request, acts []Action) []Action {
	if b.requests[q.ID] != nil {
		return acts
	}
	if q.Class < 0 || q.Class >= len(b.set.Classes) {
		return append(acts, Action{Kind: Refuse, ID: q.ID})
	}
	b.seq++
	r := &request{Request: q, seq: b.seq, came: now}
	if q.HasKey && b.dear() {
		r.heat = b.keys.meet(now, q.Key)
	}
	b.requests[q.ID], b.bySeq[r.seq] = r, r
	b.budget = min(b.budget+retryShare, retryBurst)
	if q.Work > 0 {
		b.hinted[q.Class].add(q.Work.Seconds(), true)
	}
	return b.place(now, r, acts)
}

// place sends the next attempt of r, holds it for probes or for want of servers, or ends it.
func (b *Balancer) place(now time.Duration, r *request, acts []Action) []Action {
	left := r.Deadline - now
	if left <= b.set.Tick {
		return b.end(now, r, acts)
	}
	rows := b.eligible(now, r)
	if len(rows) == 0 {
		if b.bound(r) != nil || r.holds >= 8 {
			return b.end(now, r, acts)
		}
		r.holds++ // a list may still come
		return append(acts, b.timer(min(left-b.set.Tick, b.jitter(100*time.Millisecond)), timerHold, r.seq))
	}
	if b.set.MayProbe && !r.probed && b.dear() {
		// Dear probes are sent one by one, and none where the request is given up all the same.
		if r.probed = true; len(r.attempts) == 0 && r.unlucky(b.rng, 2*b.overdue(r, b.crowded(now))-1) {
			return b.end(now, r, acts)
		}
		b.favour(now, r, rows)
		r.sample = r.sample[:0]
		if acts = b.askMore(now, r, rows, acts); r.pending > 0 {
			return acts
		}
	}
	if b.set.MayProbe && !r.probed {
		r.probed = true
		// The first of the k choices gain most, so the price sets how many probes are worth it.
		k := int(min(4, max(2, probeWorth/max(b.set.Prices.Probe, 1e-9))))
		r.sample = b.homes(now, r, rows, r.sample[:0])
		if len(r.sample) > 0 {
			k = 1 // and one other, for when the key is hot
			if b.lag() > 0 {
				k = 0 // reports tell little now, where the key is warm tells more
			}
		}
		r.sample = b.pick(now, r, rows, k, r.sample)
		acts = b.probeSample(now, r, r.sample, acts)
		if b.queued() {
			r.pending = 0 // the probes are for the requests that follow
		}
		if r.pending > 0 {
			return append(acts, b.timer(min(left-b.set.Tick, b.probeWait()), timerHold, r.seq))
		}
	}
	return b.send(now, r, acts)
}

// probeWait is how long a probe is waited for; a server that is well answers in much less.
func (b *Balancer) probeWait() time.Duration { return max(4*b.set.Tick, 8*time.Millisecond) }

// queued tells whether probes wait in the servers' queues as requests do, and take as long.
func (b *Balancer) queued() bool { return b.asking > b.meanService()/4 }

// askMore adds one server to the sample of r, up to mostAsked, and probes it; r is pending where that is to
// be waited for. While few servers asked are busy, asking gains little, and a part of requests does without.
func (b *Balancer) askMore(now time.Duration, r *request, rows []*server, acts []Action) []Action {
	n := len(r.sample)
	if n >= mostAsked || n > 0 && r.blind || r.Deadline-now <= b.set.Tick {
		return acts
	}
	r.sample = b.pick(now, r, rows, 1, r.sample)
	if r.blind = n == 0 && b.rng.Float64() > leastAsked+(1-leastAsked)*b.busy/busyAsked; r.blind {
		return acts
	}
	if acts = b.probeSample(now, r, r.sample[n:], acts); b.queued() || r.pending == 0 {
		r.pending = 0
		return acts
	}
	return append(acts, b.timer(min(r.Deadline-now-b.set.Tick, b.probeWait()), timerHold, r.seq))
}

// dear tells whether a request is not worth one probe.
func (b *Balancer) dear() bool { return b.set.Prices.Probe > probeWorth }

// idle tells whether s, by its last report, would begin at once or soon.
func (b *Balancer) idle(now time.Duration, s *server) bool {
	return s.held+float64(s.since)+1 <= max(2*b.parallel*b.warmth(now, s), 1)
}

// probeSample asks those of r's sample that have no fresh report.
func (b *Balancer) probeSample(now time.Duration, r *request, sample []*server, acts []Action) []Action {
	for _, s := range sample {
		if b.fresh(now, s) {
			continue
		}
		r.pending++
		s.waiters = append(s.waiters, r)
		if !s.probing {
			s.probing, s.asked = true, now
			acts = append(acts, Action{Kind: Probe, Server: s.ID})
		}
	}
	return acts
}

// send draws a server by the shares and starts an attempt there.
func (b *Balancer) send(now time.Duration, r *request, acts []Action) []Action {
	rows := b.eligible(now, r)
	if n := len(r.sample); n > 0 && b.dear() && !(b.fresh(now, r.sample[n-1]) && b.idle(now, r.sample[n-1])) {
		if acts = b.askMore(now, r, rows, acts); r.pending > 0 {
			return acts
		}
	}
	whole, sure := 0.0, 0.0
	for _, s := range rows {
		c := b.capacity(r.Class, s)
		whole += c
		sure += c * b.warmth(now, s)
	}
	all, sampled := rows, len(r.sample) > 0
	if sampled {
		kept := slices.DeleteFunc(r.sample, func(s *server) bool { return !slices.Contains(rows, s) })
		// One that did not answer its probe in time is out of reach or in trouble.
		told := slices.DeleteFunc(slices.Clone(kept), func(s *server) bool {
			return !s.hasReport || now-s.reported > reportLife
		})
		if len(told) > 0 {
			kept = told
		}
		if r.sample, sampled = nil, len(kept) > 0; sampled {
			rows = kept
		}
	}
	if len(rows) == 0 {
		return b.place(now, r, acts)
	}
	fill(b.shares, b.weigh(now, r, rows, whole, sure, sampled))
	x := b.draw()
	if x == nil && sampled { // a sample of cold servers may not take it; the others may
		fill(b.shares, b.weigh(now, r, all, whole, sure, false))
		x = b.draw()
	}
	until := b.until(r)
	if x == nil || now >= until || len(r.attempts) == 0 && b.hopeless(now, r, x.s) || r.out > 0 && r.tried(x.s) {
		return b.end(now, r, acts)
	}
	s := x.s
	s.out++
	s.since++
	h := &s.classes[r.Class]
	if h.out++; h.out == 1 {
		h.since = now
	}
	r.out++
	fresh := b.fresh(now, s)
	// A server may share its cores over many places: that nothing waits is not yet uncontended.
	calm := fresh && s.waiting == 0 && s.held+float64(s.since) <= 2 && b.lag() == 0
	r.attempts = append(r.attempts, attempt{to: s, sent: now, epoch: s.epoch, level: s.held + float64(s.since-1),
		fresh: fresh, calm: calm, mayRun: true})
	acts = append(acts, Action{Kind: Send, ID: r.ID, Server: s.ID, Wait: b.patience(now, r),
		Within: until - now})
	if b.set.MayDuplicate && b.set.Classes[r.Class].Effect == Idempotent {
		wait := time.Duration(b.unusual(r, s) * 1e9)
		if now+wait+b.expected(r) < r.came+b.aim(r) {
			acts = append(acts, b.timer(wait, timerCopy, r.seq))
		}
	}
	return acts
}

// second sends another copy of what its server leaves unanswered for unusually long, where that is
// harmless. It draws on what further attempts may be, so that in a jam there are few.
func (b *Balancer) second(now time.Duration, r *request, acts []Action) []Action {
	if r.over || r.out != 1 || b.budget < 1 || now >= b.until(r) {
		return acts
	}
	b.budget--
	return b.send(now, r, acts)
}

// patience is how long an attempt is waited for: an answer that earns nothing is not worth a place in
// a queue.
func (b *Balancer) patience(now time.Duration, r *request) time.Duration {
	c := &b.set.Classes[r.Class]
	if c.Stream || c.LateWorth > 0 {
		return 0
	}
	return max(b.aim(r)+c.Aim/8-(now-r.came), 2*b.set.Tick)
}

func (b *Balancer) aim(r *request) time.Duration {
	c := &b.set.Classes[r.Class]
	return c.Aim + time.Duration(c.AimStretch*float64(r.Work))
}

// hopeless tells whether a request is better refused at once: when the queue at the drawn server takes
// up a part of its aim. The line is soft, so that many balancers together refuse the part that is too
// much, and what earns little for its work is refused first. It ends early, and past it nothing gets in:
// clients ask again at once, and a server held beyond what it can do turns slower for long. One long
// queue alone is no jam, so it counts only as far as such delays were met lately.
func (b *Balancer) hopeless(now time.Duration, r *request, s *server) bool {
	wait := b.crowded(now)
	if b.fresh(now, s) && b.lag() == 0 {
		able := b.capacity(r.Class, s) * max(b.warmth(now, s), 1/b.parallel)
		told := max((s.held+float64(s.since)+1)/b.parallel/able-1, 0) * b.meanService()
		if b.dear() {
			b.met(now, told, 0.1) // what was found by asking tells more than what one server in trouble kept
			return r.unlucky(b.rng, 2*b.overdue(r, told)-1)
		}
		wait = min(told, 2*wait)
	}
	return r.unlucky(b.rng, b.overdue(r, wait))
}

// overdue is the part of requests like r to refuse where they wait so long, in seconds.
func (b *Balancer) overdue(r *request, wait float64) float64 {
	spare := (min(b.aim(r), r.Deadline-r.came) - b.expected(r)).Seconds()
	line := refusePart * spare
	if b.dear() {
		line = max(line, min(refuseAfter*b.meanService(), 0.7*spare))
	}
	return wait / max(line, 1e-4) / max(b.worth(r.Class)/b.meanWorth(), 0.5)
}

// end gives r its final answer, unless an attempt is still out that may bring one. A refusal tells the
// client when to come back: a jam dissolves over several times the delay that is met in it.
func (b *Balancer) end(now time.Duration, r *request, acts []Action) []Action {
	if r.out > 0 {
		return acts
	}
	a := Action{Kind: Refuse, ID: r.ID}
	if b.set.TellsBackoff {
		a.Wait = min(b.jitter(4*time.Duration(b.waiting(now)*1e9)), b.set.MaxBackoff)
	}
	c := &b.set.Classes[r.Class]
	for i := range r.attempts {
		// A refusal says that trying again is harmless: only where nothing ran, or repeats are dropped.
		if r.attempts[i].mayRun && (c.Effect == AtMostOnce || c.Effect == Deduplicated && c.Group != GroupAll) {
			a.Kind, a.Wait = Fail, 0
		}
	}
	b.forget(r)
	return append(acts, a)
}

// Outcome takes in how an attempt ended.
func (b *Balancer) Outcome(now time.Duration, o Outcome, acts []Action) []Action {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].ended {
		return acts
	}
	a := &r.attempts[o.Attempt]
	a.ended, a.mayRun = true, !o.Result.neverRan()
	a.to.out--
	if a.epoch == a.to.epoch {
		a.to.since--
	}
	r.out--
	if o.Report != nil {
		b.report(now, a.to, o.Report)
	}
	h := &a.to.classes[r.Class]
	if !a.uploading {
		h.out--
	}
	switch o.Result {
	case Done:
		h.since, h.failures, h.ejections = now, 0, 0
	case Error, TimedOut:
		if h.failures++; h.failures >= 3 && now >= h.ejected {
			h.ejections++
			h.ejected = now + b.jitter(time.Second<<min(h.ejections-1, 4))
		}
	}
	b.judge(now, a.to, o.Result)
	if o.Result == Done || o.Result == TimedOut {
		if !b.dear() || b.queued() {
			b.met(now, (o.Latency - b.expected(r)).Seconds(), 0.2)
		}
		if a.fresh {
			b.compare(r, a, o.Latency, o.Result)
		}
	}
	if o.Result == Done {
		if r.Work > 0 {
			// Latencies are learned as of a request of usual work.
			o.Latency = time.Duration(float64(o.Latency) * b.hinted[r.Class].mean / r.Work.Seconds())
		}
		b.learn(r.Class, a, o.Latency)
	}
	if r.over || o.Over {
		b.forget(r)
		return b.cancelRest(r, acts)
	}
	if r.out > 0 {
		return acts
	}
	// A further attempt that cannot earn anything any more would only feed a jam.
	if o.Result == Skipped || o.Result == Done || b.budget < 1 || now >= b.until(r) ||
		b.set.Classes[r.Class].LateWorth == 0 && now+b.expected(r) > r.came+b.aim(r) {
		return b.end(now, r, acts)
	}
	b.budget--
	r.probed = false
	return b.place(now, r, acts)
}

// cancelRest withdraws the attempts of a finished request that are still out.
func (b *Balancer) cancelRest(r *request, acts []Action) []Action {
	for i := range r.attempts {
		if !r.attempts[i].ended && b.set.MayCancel {
			acts = append(acts, Action{Kind: Cancel, ID: r.ID, Attempt: i})
		}
	}
	return acts
}

// StreamStarted says that an attempt's answer has begun: its request needs nothing more.
func (b *Balancer) StreamStarted(now time.Duration, id string, attempt int, acts []Action) []Action {
	if r := b.requests[id]; r != nil && !r.over && attempt >= 0 && attempt < len(r.attempts) {
		b.forget(r)
	}
	return acts
}

// ClientGone says that the client waits no longer.
func (b *Balancer) ClientGone(now time.Duration, id string, acts []Action) []Action {
	if r := b.requests[id]; r != nil && !r.over {
		b.forget(r)
		return b.cancelRest(r, acts)
	}
	return acts
}

// ---- upkeep

// judge follows a server's health.
func (b *Balancer) judge(now time.Duration, s *server, res Result) {
	need, rest := 3, time.Second // an error or a time-out alone happens to well servers too
	switch res {
	case Done:
		s.failures, s.ejections, s.suspect, s.cut = 0, 0, false, false
		return
	case Cancelled, Skipped, Rejected:
		return // who turns some away takes others, and to leave it alone crowds the rest
	case Error: // who sees few requests hears of three in a row too late, and comes by seldom
		if b.dear() {
			need, rest = 1, errorRest
		}
	case Refused, Reset:
		need = 1
		s.cut = res == Refused
	}
	if s.failures++; s.failures >= need && now >= s.ejected {
		s.ejections++
		s.suspect = true
		s.ejected = now + b.jitter(rest<<min(s.ejections-1, 4))
	}
}

// Probed takes in how a probe ended, and goes on with the requests that waited for it.
func (b *Balancer) Probed(now time.Duration, p ProbeResult, acts []Action) []Action {
	s := b.byID[p.Server]
	if s == nil || !s.probing {
		return acts
	}
	s.probing = false
	if p.Result == Done {
		// One that fails tells nothing of a queue: a hall that is lost in silence is no reason to go blind.
		b.asking += 0.1 * (p.Latency.Seconds() - b.asking)
		s.suspect, s.cut = false, false
		b.report(now, s, p.Report)
		if b.busy *= 0.95; !b.idle(now, s) {
			b.busy += 0.05
		}
	} else {
		if p.Result == TimedOut {
			p.Result = Refused // a probe is answered beside the queue: silence means out of reach
		}
		b.judge(now, s, p.Result)
	}
	waiters := s.waiters
	s.waiters = nil
	for _, r := range waiters {
		if r.over || r.pending == 0 {
			continue
		}
		if r.pending--; r.pending == 0 {
			acts = b.send(now, r, acts)
		}
	}
	s.waiters = append(waiters[:0], s.waiters...)
	return acts
}

// Timer says that a wait asked for is over.
func (b *Balancer) Timer(now time.Duration, token uint64, acts []Action) []Action {
	switch token & 3 {
	case timerFollow:
		return append(acts, Action{Kind: FollowList})
	case timerCopy:
		if r := b.bySeq[token>>2]; r != nil {
			return b.second(now, r, acts)
		}
	case timerHold:
		r := b.bySeq[token>>2]
		if r == nil || r.over || r.out > 0 {
			return acts
		}
		if r.pending > 0 {
			r.pending = 0 // the probes took too long; go by what is known
			return b.send(now, r, acts)
		}
		return b.place(now, r, acts)
	}
	return acts
}
