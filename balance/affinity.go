package balance

import "time"

const (
	// maxAffinityFraction is the fraction of a key's requests that its cell gets at most.
	maxAffinityFraction = 0.7
	// maxKeyLoad is the fraction of its capacity that a cell spends on one key at most, in a fleet that works at
	// its capacity.
	maxKeyLoad = 0.5
	// minKeyFraction bounds a divisor: a key that nobody requested before has the fraction 0.
	minKeyFraction = 1e-9
)

// preferAffinityCell finds the cell that likeliest cached the key of r and by how much to prefer it in
// samples: most of a usual key's requests go there, of a hot one's as many as the cell can carry. The cell is
// the one of highest hash (rendezvous hashing), the same for all balancers that have the same list.
func (b *Balancer) preferAffinityCell(r *request, servers []*server) {
	r.affinityBoost = 0
	if !b.settings.KeyAffinity || !r.HasKey {
		return
	}
	highestHash := uint64(0)
	fleetCapacity, cellCapacity := 0.0, 0.0
	for _, s := range servers {
		capacity := b.capacity(r.Class, s)
		if hash := mix(r.Key ^ uint64(s.Cell+1)*goldenRatio); hash > highestHash {
			highestHash, r.affinityCell, cellCapacity = hash, s.Cell, 0
		}
		fleetCapacity += capacity
		if s.Cell == r.affinityCell {
			cellCapacity += capacity
		}
	}
	if fraction := cellCapacity / fleetCapacity; fraction < 1 {
		wanted := min(maxAffinityFraction, maxKeyLoad*fraction/max(r.keyFraction, minKeyFraction))
		// A cell that has this fraction of all weights is drawn for the wanted fraction of requests if its own
		// weights are multiplied by the ratio of the two odds.
		r.affinityBoost = max(1, wanted*(1-fraction)/(fraction*(1-wanted)))
	}
}

// affinityServers appends to sample the two servers where the key of r is likeliest cached, the likeliest
// first, by rendezvous hashing: the same for all balancers that have the same list. They are the k of LI-k
// where cached keys save work.
func (b *Balancer) affinityServers(now time.Duration, r *request, servers, sample []*server) []*server {
	r.affinityServer = nil
	if !b.settings.KeyAffinity || !r.HasKey || len(servers) < 3 {
		return sample
	}
	var first, second *server
	var firstHash, secondHash uint64
	for _, s := range servers {
		if b.slowStartFactor(now, s) < 1 {
			continue // selectServer caps it on the assumption that it is sampled by chance alone
		}
		switch hash := mix(r.Key ^ uint64(s.ID)*goldenRatio); {
		case first == nil || hash > firstHash:
			first, second, firstHash, secondHash = s, first, hash, firstHash
		case second == nil || hash > secondHash:
			second, secondHash = s, hash
		}
	}
	if second == nil {
		return sample
	}
	r.affinityServer = first
	return append(sample, first, second)
}

// mix is a bijective hash of 64 bits (xorshift and multiply, like the finalizer of splitmix64). All balancers
// must have the same one.
func mix(x uint64) uint64 {
	x = (x ^ x>>31) * 0x7fb5d329728ea185
	x = (x ^ x>>27) * 0x81dadef4bc2dd44d
	return x ^ x>>33
}
