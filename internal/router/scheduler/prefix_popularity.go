package scheduler

import "math"

const (
	// popularityWindow is the number of recent prompts over which a proxy measures how popular a prefix is.
	// All proxies get the same mix of prompts, so that their results are similar without an exchange.
	popularityWindow = 64
	// popularityMargin is the ratio of the fraction of the servers that a popular prefix may go to, to the
	// fraction of the prompts that have the prefix.
	popularityMargin = 2.0
)

// prefixPopularity counts the shared prefixes of the last prompts of a service.
type prefixPopularity struct {
	recent [popularityWindow]uint64 // ring buffer of prefix hashes
	count  int                      // number of all prompts recorded so far
}

// record adds the shared prefix of a prompt and replaces the oldest one.
func (p *prefixPopularity) record(prefix uint64) {
	p.recent[p.count%popularityWindow] = prefix
	p.count++
}

// fraction returns the fraction of the last prompts that had the prefix, 0 until popularityWindow prompts are
// recorded.
func (p *prefixPopularity) fraction(prefix uint64) float64 {
	if p.count < popularityWindow {
		return 0
	}
	same := 0
	for _, other := range p.recent {
		if other == prefix {
			same++
		}
	}
	return float64(same) / popularityWindow
}

// affinityServerCount returns how many of the given number of servers a prompt with the prefix may go to (k
// in prefix_affinity.go). A prefix that a large fraction of all prompts share needs as large a fraction of
// the servers.
func (p *prefixPopularity) affinityServerCount(prefix uint64, servers int) int {
	wanted := int(math.Ceil(popularityMargin * p.fraction(prefix) * float64(servers)))
	return min(max(minAffinityServers, wanted), servers)
}
