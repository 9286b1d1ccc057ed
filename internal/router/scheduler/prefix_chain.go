package scheduler

import "github.com/cespare/xxhash/v2"

const maxChainSegments = 16 // segments of a prompt in its chain; later ones count as the request's own

// prefixChain represents a prompt as the chain of its prefixes. The cache of a segment can be reused only
// together with those of all segments before it, so that a prefix is identified by a hash over all its
// segments.
type prefixChain struct {
	hashes           [maxChainSegments]uint64 // of the prefix up to each segment
	cumulativeTokens [maxChainSegments]int    // of the prefix up to each segment
	length           int                      // number of segments
	tokens           int                      // of the whole prompt
}

// newPrefixChain returns the chain of a request's prompt. Prefixes of different services never match.
func newPrefixChain(request *Request) prefixChain {
	chain := prefixChain{tokens: request.PromptTokens}
	hash, tokens := xxhash.Sum64String(request.Service.Name), 0
	for _, segment := range request.Segments[:min(len(request.Segments), maxChainSegments)] {
		hash = mix(hash ^ xxhash.Sum64String(segment.ID))
		tokens += segment.Tokens
		chain.hashes[chain.length], chain.cumulativeTokens[chain.length] = hash, tokens
		chain.length++
	}
	chain.tokens = max(chain.tokens, tokens)
	return chain
}

// sharedPrefix is the part of a prompt that other requests share.
type sharedPrefix struct {
	hash   uint64
	tokens int
}

// shared returns the shared prefix, which consists of all segments except the last, and whether there is one.
func (p *prefixChain) shared() (sharedPrefix, bool) {
	if p.length < 2 {
		return sharedPrefix{}, false
	}
	last := p.length - 2
	return sharedPrefix{hash: p.hashes[last], tokens: p.cumulativeTokens[last]}, true
}

// mix hashes a number with the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// rendezvousScore returns a server's score for a prefix by rendezvous hashing, from the hashes of both. All
// proxies rank the servers identically, and when servers join or leave, only the prefixes of these move.
func rendezvousScore(server, prefix uint64) uint64 { return mix(mix(server) ^ prefix) }
