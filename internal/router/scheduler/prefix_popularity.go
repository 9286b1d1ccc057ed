package scheduler

import "math"

const (
	// recentPrompts is over how many prompts a proxy measures how popular a prefix is. All proxies get prompts
	// of the same mix, so that they come to like answers without an exchange.
	recentPrompts = 64
	// popularMargin is how many times its fraction of the servers a popular prefix may go to.
	popularMargin = 2.0
)

// prefixPopularity remembers the shared prefixes of the last prompts of a service.
type prefixPopularity struct {
	recent [recentPrompts]uint64 // hashes, as a ring
	count  int                   // of all prompts recorded
}

// record adds the shared prefix of a prompt, in place of the oldest one.
func (p *prefixPopularity) record(prefix uint64) {
	p.recent[p.count%recentPrompts] = prefix
	p.count++
}

// fraction returns the fraction of the last prompts that had the prefix, 0 until there are enough of them.
func (p *prefixPopularity) fraction(prefix uint64) float64 {
	if p.count < recentPrompts {
		return 0
	}
	same := 0
	for _, other := range p.recent {
		if other == prefix {
			same++
		}
	}
	return float64(same) / recentPrompts
}

// affinityServers returns how many of so many servers a prompt with the prefix may go to (k of
// prefix_affinity.go). A prefix of a
// large part of all prompts needs as large a part of the servers.
func (p *prefixPopularity) affinityServers(prefix uint64, servers int) int {
	wanted := int(math.Ceil(popularMargin * p.fraction(prefix) * float64(servers)))
	return min(max(minAffinityServers, wanted), servers)
}
