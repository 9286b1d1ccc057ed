package proxysim

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"cresshub/balance"
)

// Agent decides for one proxy. A balance.Balancer is one.
type Agent interface {
	List(now time.Duration, kind balance.ListKind, list []balance.Server, acts []balance.Action) []balance.Action
	Request(now time.Duration, r balance.Request, acts []balance.Action) []balance.Action
	Outcome(now time.Duration, o balance.Outcome, acts []balance.Action) []balance.Action
	Probed(now time.Duration, r balance.ProbeResult, acts []balance.Action) []balance.Action
	Timer(now time.Duration, token uint64, acts []balance.Action) []balance.Action
	ClientGone(now time.Duration, id string, acts []balance.Action) []balance.Action
}

// baselinePolicy is a textbook policy: it chooses a server for each attempt by one rule and retries what
// provably never ran, or may be repeated, elsewhere. Where the scenario has no board of its own, it reads the
// servers' reports free of charge and refreshed as the scenario says, which favours it.
type baselinePolicy struct {
	sim         *Sim
	self        int32
	policy      string
	k           int
	lambda      float64
	rng         *rand.Rand
	up          []int32 // servers listed as up
	rating      []float64
	pending     map[string]*baselineRequest
	outstanding []int32   // own attempts out, by server
	credit      []float64 // of weighted round robin, by place in up
	turn        int
	following   bool

	liCum     []float64 // shares of basic-li for the board's version
	liVersion uint64
	scratch   []serverLoad
}

type baselineRequest struct {
	request balance.Request
	sent    []int32
}

type serverLoad struct {
	server int32
	load   float64
}

func newBaseline(s *Sim, me int32, o Options, rng *rand.Rand) *baselinePolicy {
	v := &baselinePolicy{sim: s, self: me, policy: o.Policy, k: o.K, lambda: o.Lambda, rng: rng,
		pending: map[string]*baselineRequest{}, outstanding: make([]int32, s.registry.maxServers)}
	if v.k <= 0 {
		v.k = 2
	}
	if v.lambda <= 0 {
		work := 0.0
		for i, c := range s.scenario.Classes {
			share := s.shareCum.class[i]
			if i > 0 {
				share -= s.shareCum.class[i-1]
			}
			work += share * c.Work.Seconds()
		}
		v.lambda = s.rate * work / s.shareCum.class[len(s.shareCum.class)-1] / s.capacity()
	}
	return v
}

func (v *baselinePolicy) List(_ time.Duration, kind balance.ListKind, list []balance.Server,
	acts []balance.Action) []balance.Action {
	if kind == balance.ListFailed {
		return append(acts, balance.Action{Kind: balance.SetTimer, Wait: time.Second})
	}
	if kind == balance.ListCached && !v.following {
		v.following = true
		acts = append(acts, balance.Action{Kind: balance.SetTimer,
			Wait: time.Duration(v.rng.Float64() * float64(v.sim.scenario.Discovery.RegistryInterval) / 5)})
	}
	if kind != balance.ListDelta {
		v.up, v.rating = v.up[:0], v.rating[:0]
	}
	for _, e := range list {
		i := int32(e.ID) - 1
		for n, u := range v.up {
			if u == i {
				v.up = append(v.up[:n], v.up[n+1:]...)
				v.rating = append(v.rating[:n], v.rating[n+1:]...)
				break
			}
		}
		if e.State == balance.Up {
			v.up, v.rating = append(v.up, i), append(v.rating, e.Rating)
		}
	}
	v.liVersion, v.credit = 0, make([]float64, len(v.up))
	return acts
}

func (v *baselinePolicy) Timer(_ time.Duration, _ uint64, acts []balance.Action) []balance.Action {
	return append(acts, balance.Action{Kind: balance.FollowList})
}

func (v *baselinePolicy) Probed(_ time.Duration, _ balance.ProbeResult,
	acts []balance.Action) []balance.Action {
	return acts
}

func (v *baselinePolicy) Request(_ time.Duration, r balance.Request, acts []balance.Action) []balance.Action {
	q := &baselineRequest{request: r}
	v.pending[r.ID] = q
	return v.sendNext(q, acts)
}

// sendNext sends a request to a server that it has not been at, if there is one.
func (v *baselinePolicy) sendNext(q *baselineRequest, acts []balance.Action) []balance.Action {
	to := int32(-1)
	for range 4 { // a draw may hit one that it was at
		if to = v.choose(); to < 0 || !slices.Contains(q.sent, to) {
			break
		}
	}
	if to < 0 {
		delete(v.pending, q.request.ID)
		return append(acts, balance.Action{Kind: balance.Reject, ID: q.request.ID})
	}
	q.sent = append(q.sent, to)
	v.outstanding[to]++
	return append(acts, balance.Action{Kind: balance.Send, ID: q.request.ID, Server: balance.ServerID(to + 1)})
}

func (v *baselinePolicy) Outcome(now time.Duration, o balance.Outcome,
	acts []balance.Action) []balance.Action {
	v.outstanding[int32(o.Server)-1]--
	q := v.pending[o.ID]
	if q == nil {
		return acts
	}
	if o.Final {
		delete(v.pending, o.ID)
		return acts
	}
	neverRan := o.Result == balance.Rejected || o.Result == balance.ConnRefused || o.Result == balance.Skipped
	unsafe := v.sim.scenario.Classes[q.request.Class].AtMostOnce
	if len(q.sent) < v.sim.scenario.Rules.MaxAttempts && now < q.request.Deadline && (neverRan || !unsafe) {
		return v.sendNext(q, acts)
	}
	delete(v.pending, o.ID)
	if neverRan && (!unsafe || len(q.sent) == 1) {
		return append(acts, balance.Action{Kind: balance.Reject, ID: o.ID})
	}
	return append(acts, balance.Action{Kind: balance.Fail, ID: o.ID})
}

func (v *baselinePolicy) ClientGone(_ time.Duration, id string, acts []balance.Action) []balance.Action {
	delete(v.pending, id)
	return acts
}

// choose picks a server by the policy's rule; -1 where none is listed.
func (v *baselinePolicy) choose() int32 {
	n := len(v.up)
	if n == 0 {
		return -1
	}
	switch v.policy {
	case "round-robin":
		v.turn++
		return v.up[v.turn%n]
	case "two-choices":
		return v.leastLoaded(2, v.boardLoad)
	case "k-choices":
		return v.leastLoaded(v.k, v.boardLoad)
	case "stale-shortest":
		return v.leastLoaded(n, v.boardLoad)
	case "least-outstanding":
		return v.leastLoaded(n, func(i int32) float64 { return float64(v.outstanding[i]) })
	case "oracle":
		return v.leastLoaded(n, v.trueWait)
	case "weighted-round-robin":
		return v.weightedRoundRobin()
	case "basic-li":
		return v.basicLI()
	case "li-k":
		return v.liK()
	}
	return v.up[v.rng.IntN(n)]
}

func (v *baselinePolicy) boardLoad(i int32) float64 { return v.sim.board.load(v.sim, v.self, i) }

// trueWait is what a request sent now would wait at a server, in time: nobody real can know it.
func (v *baselinePolicy) trueWait(i int32) float64 {
	x := &v.sim.servers[i]
	if !x.up || x.unresponsive || x.draining || x.collapsed {
		return 1e18
	}
	speed := x.speed * v.sim.slowStartFraction(x)
	if x.choked {
		speed /= v.sim.scenario.Servers.ChokeFactor
	}
	wait := float64(max(x.pausedUntil-v.sim.now, 0)) / v.sim.meanService
	return wait + float64(max(x.inSystem()+1, int(x.cores)))/(speed*float64(x.cores))
}

// leastLoaded is the one of the lowest load among k drawn without repetition, ties broken at random.
func (v *baselinePolicy) leastLoaded(k int, load func(int32) float64) int32 {
	n := len(v.up)
	k = min(k, n)
	best, lowest, ties := int32(-1), 0.0, 0
	for i := range k {
		if k < n { // the first k places of a shuffle
			j := i + v.rng.IntN(n-i)
			v.up[i], v.up[j] = v.up[j], v.up[i]
			v.rating[i], v.rating[j] = v.rating[j], v.rating[i]
		}
		switch x := load(v.up[i]); {
		case best < 0 || x < lowest:
			best, lowest, ties = v.up[i], x, 1
		case x == lowest:
			if ties++; v.rng.IntN(ties) == 0 {
				best = v.up[i]
			}
		}
	}
	return best
}

// weightedRoundRobin is smooth weighted round robin: weights are ratings over what the last report held.
func (v *baselinePolicy) weightedRoundRobin() int32 {
	total, best := 0.0, 0
	for n, i := range v.up {
		w := v.rating[n] / (1 + v.boardLoad(i))
		v.credit[n] += w
		total += w
		if v.credit[n] > v.credit[best] {
			best = n
		}
	}
	v.credit[best] -= total
	return v.up[best]
}

// basicLI is Basic LI of the paper, equations 3 and 4. The shares hold as long as the board does.
func (v *baselinePolicy) basicLI() int32 {
	age := v.sim.board.staleness(v.sim, v.self)
	if version := v.sim.board.version(); version == 0 || version != v.liVersion || len(v.liCum) != len(v.up) {
		v.scratch = v.scratch[:0]
		for _, i := range v.up {
			v.scratch = append(v.scratch, serverLoad{i, v.boardLoad(i)})
		}
		v.liCum = liShares(v.scratch, age*v.lambda*float64(len(v.up)), v.liCum[:0])
		v.liVersion = version
	}
	return v.scratch[pickCumulative(v.liCum, v.rng.Float64())].server
}

// liK is Basic LI among k servers drawn at random, k in place of n.
func (v *baselinePolicy) liK() int32 {
	k := min(v.k, len(v.up))
	v.scratch = v.scratch[:0]
	for i := range k {
		j := i + v.rng.IntN(len(v.up)-i)
		v.up[i], v.up[j] = v.up[j], v.up[i]
		v.rating[i], v.rating[j] = v.rating[j], v.rating[i]
		v.scratch = append(v.scratch, serverLoad{v.up[i], v.boardLoad(v.up[i])})
	}
	v.liCum = liShares(v.scratch, v.sim.board.staleness(v.sim, v.self)*v.lambda*float64(k), v.liCum[:0])
	return v.scratch[pickCumulative(v.liCum, v.rng.Float64())].server
}

// liShares sorts servers by load and returns the cumulated parts of the next arrivals that each gets, so that
// those expected since the reports level the lowest loads.
func liShares(servers []serverLoad, arrivals float64, cum []float64) []float64 {
	slices.SortFunc(servers, func(a, b serverLoad) int {
		return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.server, b.server))
	})
	// l is the largest number of servers that the arrivals lift to the load of the last of them.
	lifted, sum := 1, 0.0 // sum of loads of the first l
	sum = servers[0].load
	for lifted < len(servers) && float64(lifted+1)*servers[lifted].load-(sum+servers[lifted].load) < arrivals {
		sum += servers[lifted].load
		lifted++
	}
	total := 0.0
	top := servers[lifted-1].load
	remainder := (arrivals - (float64(lifted)*top - sum)) / float64(lifted)
	for i := range lifted {
		if p := top - servers[i].load + remainder; p > 0 {
			total += p
		}
		cum = append(cum, total)
	}
	if total <= 0 { // no arrivals expected: the least loaded alone
		cum = append(cum[:0], 1)
		lifted = 1
	}
	for len(cum) < len(servers) {
		cum = append(cum, cum[len(cum)-1])
	}
	return cum
}
