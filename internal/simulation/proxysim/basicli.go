package proxysim

import (
	"cmp"
	"slices"
)

// serverLoad is a server with its load as known.
type serverLoad struct {
	server int32
	load   float64
}

// basicLI is Basic LI of Dahlin's paper, equations 3 and 4. The shares are valid for a version of the board.
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

// liK is LI-k: Basic LI among k servers drawn at random, k in place of n.
func (v *baselinePolicy) liK() int32 {
	k := min(v.k, len(v.up))
	v.scratch = v.scratch[:0]
	for i := range k {
		v.shuffleStep(i)
		v.scratch = append(v.scratch, serverLoad{v.up[i], v.boardLoad(v.up[i])})
	}
	v.liCum = liShares(v.scratch, v.sim.board.staleness(v.sim, v.self)*v.lambda*float64(k), v.liCum[:0])
	return v.scratch[pickCumulative(v.liCum, v.rng.Float64())].server
}

// liShares sorts servers by load and appends to cum the cumulated shares of the next arrivals that each gets,
// so that those expected since the reports level the lowest loads.
func liShares(servers []serverLoad, arrivals float64, cum []float64) []float64 {
	slices.SortFunc(servers, func(a, b serverLoad) int {
		return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.server, b.server))
	})
	// lifted is the largest number of servers that the arrivals lift to the load of the last of them.
	lifted, sum := 1, servers[0].load // sum of the loads of those lifted
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
	}
	for len(cum) < len(servers) {
		cum = append(cum, cum[len(cum)-1])
	}
	return cum
}
