package proxysim

import (
	"math/rand/v2"
	"slices"
	"time"

	"cresshub/balance"
)

// unreachableWait is the wait at a server that serves nothing, longer than any other.
const unreachableWait = 1e18

// watchSpreadDivisor is the registry interval over the time in which the proxies make their first calls.
const watchSpreadDivisor = 5

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

func newBaseline(s *Sim, self int32, options Options, rng *rand.Rand) *baselinePolicy {
	b := &baselinePolicy{
		sim: s, self: self, policy: options.Policy, k: options.K, lambda: options.Lambda, rng: rng,
		pending: map[string]*baselineRequest{}, outstanding: make([]int32, s.registry.maxServers),
	}
	if b.k <= 0 {
		b.k = 2
	}
	if b.lambda <= 0 {
		work := 0.0
		for i, class := range s.scenario.Classes {
			fraction := s.cumulativeFractions.class[i]
			if i > 0 {
				fraction -= s.cumulativeFractions.class[i-1]
			}
			work += fraction * class.Work.Seconds()
		}
		b.lambda = s.rate * work / s.cumulativeFractions.class[len(s.cumulativeFractions.class)-1] / s.capacity()
	}
	return b
}

func (b *baselinePolicy) List(_ time.Duration, kind balance.ListKind, list []balance.Server,
	acts []balance.Action) []balance.Action {
	if kind == balance.ListFailed {
		return append(acts, balance.Action{Kind: balance.SetTimer, Wait: time.Second})
	}
	if kind == balance.ListCached && !b.following {
		b.following = true
		interval := float64(b.sim.scenario.Discovery.RegistryInterval)
		wait := time.Duration(b.rng.Float64() * interval / watchSpreadDivisor)
		acts = append(acts, balance.Action{Kind: balance.SetTimer, Wait: wait})
	}
	if kind != balance.ListDelta {
		b.up, b.rating = b.up[:0], b.rating[:0]
	}
	for _, entry := range list {
		serverIndex := int32(entry.ID) - 1
		for position, listed := range b.up {
			if listed == serverIndex {
				b.up = append(b.up[:position], b.up[position+1:]...)
				b.rating = append(b.rating[:position], b.rating[position+1:]...)
				break
			}
		}
		if entry.State == balance.Up {
			b.up, b.rating = append(b.up, serverIndex), append(b.rating, entry.Rating)
		}
	}
	b.liVersion, b.credit = 0, make([]float64, len(b.up))
	return acts
}

func (b *baselinePolicy) Timer(_ time.Duration, _ uint64, acts []balance.Action) []balance.Action {
	return append(acts, balance.Action{Kind: balance.FollowList})
}

func (b *baselinePolicy) Probed(_ time.Duration, _ balance.ProbeResult,
	acts []balance.Action) []balance.Action {
	return acts
}

func (b *baselinePolicy) Request(_ time.Duration, r balance.Request, acts []balance.Action) []balance.Action {
	pending := &baselineRequest{request: r}
	b.pending[r.ID] = pending
	return b.sendNext(pending, acts)
}

// sendNext sends a request to a server that it has not been sent to before, if a few draws find one.
func (b *baselinePolicy) sendNext(pending *baselineRequest, acts []balance.Action) []balance.Action {
	to := int32(-1)
	for range maxDraws {
		if to = b.choose(); to < 0 || !slices.Contains(pending.attempted, to) {
			break
		}
	}
	if to < 0 {
		delete(b.pending, pending.request.ID)
		return append(acts, balance.Action{Kind: balance.Reject, ID: pending.request.ID})
	}
	pending.attempted = append(pending.attempted, to)
	b.outstanding[to]++
	return append(acts,
		balance.Action{Kind: balance.Send, ID: pending.request.ID, Server: balance.ServerID(to + 1)})
}

func (b *baselinePolicy) Outcome(now time.Duration, o balance.Outcome,
	acts []balance.Action) []balance.Action {
	b.outstanding[int32(o.Server)-1]--
	pending := b.pending[o.ID]
	if pending == nil {
		return acts
	}
	if o.Final {
		delete(b.pending, o.ID)
		return acts
	}
	neverRan := o.Result == balance.Rejected || o.Result == balance.ConnRefused || o.Result == balance.Skipped
	unsafe := b.sim.scenario.Classes[pending.request.Class].AtMostOnce
	mayRetry := len(pending.attempted) < b.sim.scenario.Rules.MaxAttempts && now < pending.request.Deadline
	if mayRetry && (neverRan || !unsafe) {
		return b.sendNext(pending, acts)
	}
	delete(b.pending, o.ID)
	if neverRan && (!unsafe || len(pending.attempted) == 1) {
		return append(acts, balance.Action{Kind: balance.Reject, ID: o.ID})
	}
	return append(acts, balance.Action{Kind: balance.Fail, ID: o.ID})
}

func (b *baselinePolicy) ClientDisconnected(
	_ time.Duration, id string, acts []balance.Action,
) []balance.Action {
	delete(b.pending, id)
	return acts
}

// choose picks a server by the policy's rule; -1 where none is listed as up.
func (b *baselinePolicy) choose() int32 {
	n := len(b.up)
	if n == 0 {
		return -1
	}
	switch b.policy {
	case policyRoundRobin:
		b.turn++
		return b.up[b.turn%n]
	case policyTwoChoices:
		return b.leastLoaded(2, b.boardLoad)
	case policyKChoices:
		return b.leastLoaded(b.k, b.boardLoad)
	case policyStaleShortest:
		return b.leastLoaded(n, b.boardLoad)
	case policyLeastOutstanding:
		return b.leastLoaded(n, func(serverIndex int32) float64 { return float64(b.outstanding[serverIndex]) })
	case policyOracle:
		return b.leastLoaded(n, b.trueWait)
	case policyWeightedRoundRobin:
		return b.weightedRoundRobin()
	case policyBasicLI:
		return b.basicLI()
	case policyLIK:
		return b.liK()
	}
	return b.up[b.rng.IntN(n)]
}

func (b *baselinePolicy) boardLoad(serverIndex int32) float64 {
	return b.sim.board.load(b.sim, b.self, serverIndex)
}

// trueWait is how long a request sent now would take at a server, relative to others. Only a simulation can
// know it.
func (b *baselinePolicy) trueWait(serverIndex int32) float64 {
	srv := &b.sim.servers[serverIndex]
	if !srv.up || srv.unresponsive || srv.draining || srv.collapsed {
		return unreachableWait
	}
	speed := srv.speed * b.sim.slowStartFraction(srv)
	if srv.choked {
		speed /= b.sim.scenario.Servers.ChokeFactor
	}
	wait := float64(max(srv.pausedUntil-b.sim.now, 0)) / b.sim.meanService
	return wait + float64(max(srv.inSystem()+1, int(srv.cores)))/(speed*float64(srv.cores))
}

// leastLoaded is the server of the lowest load among k drawn without repetition, ties broken at random.
func (b *baselinePolicy) leastLoaded(k int, load func(int32) float64) int32 {
	n := len(b.up)
	k = min(k, n)
	best, lowest, ties := int32(-1), 0.0, 0
	for i := range k {
		if k < n {
			b.shuffleStep(i)
		}
		switch known := load(b.up[i]); {
		case best < 0 || known < lowest:
			best, lowest, ties = b.up[i], known, 1
		case known == lowest:
			if ties++; b.rng.IntN(ties) == 0 {
				best = b.up[i]
			}
		}
	}
	return best
}

// shuffleStep makes a random choice among the positions from i on the one at i, a step of a Fisher-Yates
// shuffle.
func (b *baselinePolicy) shuffleStep(i int) {
	j := i + b.rng.IntN(len(b.up)-i)
	b.up[i], b.up[j] = b.up[j], b.up[i]
	b.rating[i], b.rating[j] = b.rating[j], b.rating[i]
}

// weightedRoundRobin is smooth weighted round robin: the weights are ratings over the reported loads.
func (b *baselinePolicy) weightedRoundRobin() int32 {
	total, best := 0.0, 0
	for position, serverIndex := range b.up {
		weight := b.rating[position] / (1 + b.boardLoad(serverIndex))
		b.credit[position] += weight
		total += weight
		if b.credit[position] > b.credit[best] {
			best = position
		}
	}
	b.credit[best] -= total
	return b.up[best]
}
