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

// rival is a textbook policy: it chooses a server for each attempt by one rule and retries what provably
// never ran, or may be repeated, elsewhere. Where the scenario has no board of its own, it reads the
// servers' reports free of charge and refreshed as the scenario says, which favours it.
type rival struct {
	s      *Sim
	me     int32
	policy string
	k      int
	lambda float64
	rng    *rand.Rand
	up     []int32 // servers listed as up
	rating []float64
	open   map[string]*rivalRequest
	own    []int32   // own attempts out, by server
	credit []float64 // of weighted round robin, by place in up
	turn   int
	follow bool

	cum     []float64 // shares of basic-li for the board's version
	cumAt   uint64
	scratch []scored
}

type rivalRequest struct {
	r    balance.Request
	sent []int32
}

type scored struct {
	server int32
	load   float64
}

func newRival(s *Sim, me int32, o Options, rng *rand.Rand) *rival {
	v := &rival{s: s, me: me, policy: o.Policy, k: o.K, lambda: o.Lambda, rng: rng,
		open: map[string]*rivalRequest{}, own: make([]int32, s.registry.most)}
	if v.k <= 0 {
		v.k = 2
	}
	if v.lambda <= 0 {
		work := 0.0
		for i, c := range s.sc.Classes {
			share := s.cum2.class[i]
			if i > 0 {
				share -= s.cum2.class[i-1]
			}
			work += share * c.Work.Seconds()
		}
		v.lambda = s.rate * work / s.cum2.class[len(s.cum2.class)-1] / s.capacity()
	}
	return v
}

func (v *rival) List(_ time.Duration, kind balance.ListKind, list []balance.Server,
	acts []balance.Action) []balance.Action {
	if kind == balance.ListFailed {
		return append(acts, balance.Action{Kind: balance.SetTimer, Wait: time.Second})
	}
	if kind == balance.ListCached && !v.follow {
		v.follow = true
		acts = append(acts, balance.Action{Kind: balance.SetTimer,
			Wait: time.Duration(v.rng.Float64() * float64(v.s.sc.Discovery.Within) / 5)})
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
	v.cumAt, v.credit = 0, make([]float64, len(v.up))
	return acts
}

func (v *rival) Timer(_ time.Duration, _ uint64, acts []balance.Action) []balance.Action {
	return append(acts, balance.Action{Kind: balance.FollowList})
}

func (v *rival) Probed(_ time.Duration, _ balance.ProbeResult, acts []balance.Action) []balance.Action {
	return acts
}

func (v *rival) Request(_ time.Duration, r balance.Request, acts []balance.Action) []balance.Action {
	q := &rivalRequest{r: r}
	v.open[r.ID] = q
	return v.next(q, acts)
}

// next sends a request to a server that it has not been at, if there is one.
func (v *rival) next(q *rivalRequest, acts []balance.Action) []balance.Action {
	to := int32(-1)
	for range 4 { // a draw may hit one that it was at
		if to = v.choose(); to < 0 || !slices.Contains(q.sent, to) {
			break
		}
	}
	if to < 0 {
		delete(v.open, q.r.ID)
		return append(acts, balance.Action{Kind: balance.Reject, ID: q.r.ID})
	}
	q.sent = append(q.sent, to)
	v.own[to]++
	return append(acts, balance.Action{Kind: balance.Send, ID: q.r.ID, Server: balance.ServerID(to + 1)})
}

func (v *rival) Outcome(now time.Duration, o balance.Outcome, acts []balance.Action) []balance.Action {
	v.own[int32(o.Server)-1]--
	q := v.open[o.ID]
	if q == nil {
		return acts
	}
	if o.Final {
		delete(v.open, o.ID)
		return acts
	}
	never := o.Result == balance.Rejected || o.Result == balance.ConnRefused || o.Result == balance.Skipped
	unsafe := v.s.sc.Classes[q.r.Class].Unsafe
	if len(q.sent) < v.s.sc.Rules.Attempts && now < q.r.Deadline && (never || !unsafe) {
		return v.next(q, acts)
	}
	delete(v.open, o.ID)
	if never && (!unsafe || len(q.sent) == 1) {
		return append(acts, balance.Action{Kind: balance.Reject, ID: o.ID})
	}
	return append(acts, balance.Action{Kind: balance.Fail, ID: o.ID})
}

func (v *rival) ClientGone(_ time.Duration, id string, acts []balance.Action) []balance.Action {
	delete(v.open, id)
	return acts
}

// choose picks a server by the policy's rule; -1 where none is listed.
func (v *rival) choose() int32 {
	n := len(v.up)
	if n == 0 {
		return -1
	}
	switch v.policy {
	case "round-robin":
		v.turn++
		return v.up[v.turn%n]
	case "two-choices":
		return v.least(2, v.board)
	case "k-choices":
		return v.least(v.k, v.board)
	case "stale-shortest":
		return v.least(n, v.board)
	case "least-outstanding":
		return v.least(n, func(i int32) float64 { return float64(v.own[i]) })
	case "oracle":
		return v.least(n, v.truth)
	case "weighted-round-robin":
		return v.weighted()
	case "basic-li":
		return v.basicLI()
	case "li-k":
		return v.liK()
	}
	return v.up[v.rng.IntN(n)]
}

func (v *rival) board(i int32) float64 { return v.s.board.load(v.s, v.me, i) }

// truth is what a request sent now would wait at a server, in time: nobody real can know it.
func (v *rival) truth(i int32) float64 {
	x := &v.s.servers[i]
	if !x.up || x.silent || x.draining || x.fell {
		return 1e18
	}
	speed := x.speed * v.s.warmth(x)
	if x.choked {
		speed /= v.s.sc.Servers.ChokeSlow
	}
	wait := float64(max(x.paused-v.s.now, 0)) / v.s.serv
	return wait + float64(max(x.held()+1, int(x.cores)))/(speed*float64(x.cores))
}

// least is the one of the lowest load among k drawn without repetition, ties broken at random.
func (v *rival) least(k int, load func(int32) float64) int32 {
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

// weighted is smooth weighted round robin: weights are ratings over what the last report held.
func (v *rival) weighted() int32 {
	total, best := 0.0, 0
	for n, i := range v.up {
		w := v.rating[n] / (1 + v.board(i))
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
func (v *rival) basicLI() int32 {
	age := v.s.board.age(v.s, v.me)
	if version := v.s.board.version(); version == 0 || version != v.cumAt || len(v.cum) != len(v.up) {
		v.scratch = v.scratch[:0]
		for _, i := range v.up {
			v.scratch = append(v.scratch, scored{i, v.board(i)})
		}
		v.cum = shares(v.scratch, age*v.lambda*float64(len(v.up)), v.cum[:0])
		v.cumAt = version
	}
	return v.scratch[pick(v.cum, v.rng.Float64())].server
}

// liK is Basic LI among k servers drawn at random, k in place of n.
func (v *rival) liK() int32 {
	k := min(v.k, len(v.up))
	v.scratch = v.scratch[:0]
	for i := range k {
		j := i + v.rng.IntN(len(v.up)-i)
		v.up[i], v.up[j] = v.up[j], v.up[i]
		v.rating[i], v.rating[j] = v.rating[j], v.rating[i]
		v.scratch = append(v.scratch, scored{v.up[i], v.board(v.up[i])})
	}
	v.cum = shares(v.scratch, v.s.board.age(v.s, v.me)*v.lambda*float64(k), v.cum[:0])
	return v.scratch[pick(v.cum, v.rng.Float64())].server
}

// shares sorts servers by load and returns the cumulated parts of the next arrivals that each gets, so that
// those expected since the reports level the lowest loads.
func shares(all []scored, arrive float64, cum []float64) []float64 {
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.server, b.server))
	})
	// l is the largest number of servers that the arrivals lift to the load of the last of them.
	l, sum := 1, 0.0 // sum of loads of the first l
	sum = all[0].load
	for l < len(all) && float64(l+1)*all[l].load-(sum+all[l].load) < arrive {
		sum += all[l].load
		l++
	}
	total := 0.0
	top := all[l-1].load
	rest := (arrive - (float64(l)*top - sum)) / float64(l)
	for i := range l {
		if p := top - all[i].load + rest; p > 0 {
			total += p
		}
		cum = append(cum, total)
	}
	if total <= 0 { // no arrivals expected: the least loaded alone
		cum = append(cum[:0], 1)
		l = 1
	}
	for len(cum) < len(all) {
		cum = append(cum, cum[len(cum)-1])
	}
	return cum
}
