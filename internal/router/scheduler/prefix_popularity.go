package scheduler

import "math"

const (
	// recentPrompts is how many prompts back a proxy looks to learn how popular one is. All proxies get prompts
	// of the same mix, so that they come to like answers without talking.
	recentPrompts = 64
	// popularMargin is how many times its share of the servers a popular prompt may go to.
	popularMargin = 2.0
)

// popularity remembers the names of what the last prompts of a service shared.
type popularity struct {
	names [recentPrompts]uint64
	count int // of all prompts noted
}

func (p *popularity) record(name uint64) {
	p.names[p.count%recentPrompts] = name
	p.count++
}

// share is the part of the last prompts that had the name, 0 until enough have come to tell.
func (p *popularity) fraction(name uint64) float64 {
	if p.count < recentPrompts {
		return 0
	}
	same := 0
	for _, other := range p.names {
		if other == name {
			same++
		}
	}
	return float64(same) / recentPrompts
}

// width is k: how many of so many servers a prompt may go to. One that makes up a large part of all prompts
// needs as large a part of the servers.
func (p *popularity) affinityServers(name uint64, servers int) int {
	wanted := int(math.Ceil(popularMargin * p.fraction(name) * float64(servers)))
	return min(max(minAffinityServers, wanted), servers)
}
