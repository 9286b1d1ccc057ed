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
func (b *baselinePolicy) basicLI() int32 {
	age := b.sim.board.staleness(b.sim, b.self)
	if version := b.sim.board.version(); version == 0 || version != b.liVersion || len(b.liCum) != len(b.up) {
		b.scratch = b.scratch[:0]
		for _, serverIndex := range b.up {
			b.scratch = append(b.scratch, serverLoad{serverIndex, b.boardLoad(serverIndex)})
		}
		b.liCum = liShares(b.scratch, age*b.lambda*float64(len(b.up)), b.liCum[:0])
		b.liVersion = version
	}
	return b.scratch[pickCumulative(b.liCum, b.rng.Float64())].server
}

// liK is LI-k: Basic LI among k servers drawn at random, k in place of n.
func (b *baselinePolicy) liK() int32 {
	k := min(b.k, len(b.up))
	b.scratch = b.scratch[:0]
	for i := range k {
		b.shuffleStep(i)
		b.scratch = append(b.scratch, serverLoad{b.up[i], b.boardLoad(b.up[i])})
	}
	b.liCum = liShares(b.scratch, b.sim.board.staleness(b.sim, b.self)*b.lambda*float64(k), b.liCum[:0])
	return b.scratch[pickCumulative(b.liCum, b.rng.Float64())].server
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
		if share := top - servers[i].load + remainder; share > 0 {
			total += share
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
