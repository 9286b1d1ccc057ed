package proxysim

import (
	"math/rand/v2"
	"slices"
	"time"

	"cresshub/balance"
)

// maxDraws is how often a policy draws a server for one attempt until it finds one that was not attempted.
const maxDraws = 4

// baselinePolicy is a textbook policy: it chooses a server for each attempt by one rule and retries elsewhere
// what provably never ran or is idempotent. Where the scenario has no board of its own, it reads the servers'
// reports without probes, refreshed as the scenario says, which favours it.
type baselinePolicy struct {
	sim         *Sim
	self        int32 // index of the proxy
	policy      string
	k           int     // servers compared by k-choices and li-k
	lambda      float64 // assumed arrival rate of a server, as a fraction of its capacity
	rng         *rand.Rand
	up          []int32   // servers listed as up
	rating      []float64 // of those in up
	pending     map[string]*baselineRequest
	outstanding []int32   // open attempts, by server
	credit      []float64 // of weighted round robin, by position in up
	turn        int       // of round robin
	following   bool      // the list is watched

	liCum     []float64 // cumulated shares of Basic LI for the board's version
	liVersion uint64
	scratch   []serverLoad
}

// baselineRequest is a pending request.
type baselineRequest struct {
	request   balance.Request
	attempted []int32 // servers
}

func newBaseline(s *Sim, self int32, o Options, rng *rand.Rand) *baselinePolicy {
	v := &baselinePolicy{sim: s, self: self, policy: o.Policy, k: o.K, lambda: o.Lambda, rng: rng,
		pending: map[string]*baselineRequest{}, outstanding: make([]int32, s.registry.maxServers)}
	if v.k <= 0 {
		v.k = 2
	}
	if v.lambda <= 0 {
		work := 0.0
		for i, c := range s.scenario.Classes {
			fraction := s.cumulativeFractions.class[i]
			if i > 0 {
				fraction -= s.cumulativeFractions.class[i-1]
			}
			work += fraction * c.Work.Seconds()
		}
		v.lambda = s.rate * work / s.cumulativeFractions.class[len(s.cumulativeFractions.class)-1] / s.capacity()
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

// sendNext sends a request to a server that it has not been sent to before, if a few draws find one.
func (v *baselinePolicy) sendNext(q *baselineRequest, acts []balance.Action) []balance.Action {
	to := int32(-1)
	for range maxDraws {
		if to = v.choose(); to < 0 || !slices.Contains(q.attempted, to) {
			break
		}
	}
	if to < 0 {
		delete(v.pending, q.request.ID)
		return append(acts, balance.Action{Kind: balance.Reject, ID: q.request.ID})
	}
	q.attempted = append(q.attempted, to)
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
	if len(q.attempted) < v.sim.scenario.Rules.MaxAttempts && now < q.request.Deadline && (neverRan || !unsafe) {
		return v.sendNext(q, acts)
	}
	delete(v.pending, o.ID)
	if neverRan && (!unsafe || len(q.attempted) == 1) {
		return append(acts, balance.Action{Kind: balance.Reject, ID: o.ID})
	}
	return append(acts, balance.Action{Kind: balance.Fail, ID: o.ID})
}

func (v *baselinePolicy) ClientGone(_ time.Duration, id string, acts []balance.Action) []balance.Action {
	delete(v.pending, id)
	return acts
}

// choose picks a server by the policy's rule; -1 where none is listed as up.
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

// trueWait is how long a request sent now would take at a server, relative to others. Only a simulation can
// know it.
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

// leastLoaded is the server of the lowest load among k drawn without repetition, ties broken at random.
func (v *baselinePolicy) leastLoaded(k int, load func(int32) float64) int32 {
	n := len(v.up)
	k = min(k, n)
	best, lowest, ties := int32(-1), 0.0, 0
	for i := range k {
		if k < n {
			v.shuffleStep(i)
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

// shuffleStep makes a random choice among the positions from i on the one at i, a step of a Fisher-Yates
// shuffle.
func (v *baselinePolicy) shuffleStep(i int) {
	j := i + v.rng.IntN(len(v.up)-i)
	v.up[i], v.up[j] = v.up[j], v.up[i]
	v.rating[i], v.rating[j] = v.rating[j], v.rating[i]
}

// weightedRoundRobin is smooth weighted round robin: the weights are ratings over the reported loads.
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
