package balance

import "time"

const (
	// maxAffinityFraction is the highest fraction of a key's requests that are directed to its cell.
	maxAffinityFraction = 0.7
	// maxKeyLoad is the highest fraction of a cell's capacity that one key may take, in a fleet that works
	// at its full capacity.
	maxKeyLoad = 0.5
	// minKeyFraction is the lower bound of a key's fraction of all requests, a divisor: the fraction is 0
	// for a key not requested before.
	minKeyFraction = 1e-9
)

// preferAffinityCell determines the cell that most likely has the key of r cached, and by how much samples
// prefer it: most requests for an ordinary key go there, and as many for a hot key as the cell can serve.
// The cell is the one with the highest hash (rendezvous hashing), so all balancers with the same list
// choose the same.
func (b *Balancer) preferAffinityCell(r *request, servers []*server) {
	r.affinityBoost = 0
	if !b.settings.KeyAffinity || !r.HasKey {
		return
	}
	highestHash := uint64(0)
	fleetCapacity, cellCapacity := 0.0, 0.0
	for _, s := range servers {
		capacity := b.capacity(r.Class, s)
		if hash := mix(r.Key ^ uint64(s.Cell+1)*fibonacciMultiplier); hash > highestHash {
			highestHash, r.affinityCell, cellCapacity = hash, s.Cell, 0
		}
		fleetCapacity += capacity
		if s.Cell == r.affinityCell {
			cellCapacity += capacity
		}
	}
	if fraction := cellCapacity / fleetCapacity; fraction < 1 {
		wanted := min(maxAffinityFraction, maxKeyLoad*fraction/max(r.keyFraction, minKeyFraction))
		// A cell with this fraction of all weights is drawn for the wanted fraction of requests if its weights are
		// multiplied by the ratio of the two odds.
		r.affinityBoost = max(1, wanted*(1-fraction)/(fraction*(1-wanted)))
	}
}

// affinityServers appends to sample the two servers that most likely have the key of r cached, the more
// likely one first. They have the highest hashes (rendezvous hashing), so all balancers with the same list
// choose the same. Where cached keys save work, these are the k servers of LI-k.
func (b *Balancer) affinityServers(now time.Duration, r *request, servers, sample []*server) []*server {
	r.affinityServer = nil
	if !b.settings.KeyAffinity || !r.HasKey || len(servers) < 3 {
		return sample
	}
	var first, second *server
	var firstHash, secondHash uint64
	for _, s := range servers {
		if b.slowStartFactor(now, s) < 1 {
			continue // selectServer's cap assumes that it is sampled only at random
		}
		switch hash := mix(r.Key ^ uint64(s.ID)*fibonacciMultiplier); {
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

// mix is a bijective 64-bit hash (xorshift and multiply, like the finalizer of splitmix64). All balancers
// must use the same one.
func mix(x uint64) uint64 {
	x = (x ^ x>>31) * 0x7fb5d329728ea185
	x = (x ^ x>>27) * 0x81dadef4bc2dd44d
	return x ^ x>>33
}
