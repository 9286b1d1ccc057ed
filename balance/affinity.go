package balance

import "time"

// preferAffinityCell finds the cell that likeliest cached the key of r, the same for all balancers, and by
// how much to prefer it: most of a usual key's requests go there, of a hot one's as many as it can carry.
func (b *Balancer) preferAffinityCell(r *request, servers []*server) {
	if r.affinityBoost = 0; !b.settings.KeyAffinity || !r.HasKey {
		return
	}
	highest, total, inCell := uint64(0), 0.0, 0.0
	for _, s := range servers {
		capacity := b.capacity(r.Class, s)
		if hash := mix(r.Key ^ uint64(s.Cell+1)*goldenRatio); hash > highest {
			highest, r.affinityCell, inCell = hash, s.Cell, 0
		}
		if total += capacity; s.Cell == r.affinityCell {
			inCell += capacity
		}
	}
	if fraction := inCell / total; fraction < 1 {
		wanted := min(0.7, 0.5*fraction/max(r.keyFraction, 1e-9))
		r.affinityBoost = max(1, wanted*(1-fraction)/(fraction*(1-wanted)))
	}
}

// affinityServers appends to sample the two servers where the key of r is likeliest cached, by rendezvous
// hashing: the same for all balancers that have the same list, the first of them first. They are the k of
// LI-k where cached keys save work.
func (b *Balancer) affinityServers(now time.Duration, r *request, servers, sample []*server) []*server {
	r.affinityServer = nil
	if !b.settings.KeyAffinity || !r.HasKey || len(servers) < 3 {
		return sample
	}
	var first, second *server
	var firstHash, secondHash uint64
	for _, s := range servers {
		if b.slowStartFactor(now, s) < 1 {
			continue // its cap counts on its coming up by chance alone
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

// mix scatters the bits of a key and a server.
func mix(x uint64) uint64 {
	x = (x ^ x>>31) * 0x7fb5d329728ea185
	x = (x ^ x>>27) * 0x81dadef4bc2dd44d
	return x ^ x>>33
}
