package scheduler

import "github.com/cespare/xxhash/v2"

const (
	maxChainSegments = 16   // parts of a prompt that are looked at; the others count as the request's own
	maxPrefixEntries = 8192 // parts of prompts that a proxy remembers the holders of
)

// prompt is a request's prompt as a chain of parts: a part can be reused only with all before it, so that its
// name is the hash of them all.
type prefixChain struct {
	hashes           [maxChainSegments]uint64 // of the chain up to each part
	cumulativeTokens [maxChainSegments]int    // tokens of the chain up to each part
	length           int                      // parts
	tokens           int
}

// newPrefixChain returns the chain of a request.
func newPrefixChain(request *Request) prefixChain {
	chain := prefixChain{tokens: request.PromptTokens}
	name, tokens := xxhash.Sum64String(request.Service.Name), 0
	for _, part := range request.Segments[:min(len(request.Segments), maxChainSegments)] {
		name = mix(name ^ xxhash.Sum64String(part.ID))
		tokens += part.Tokens
		chain.hashes[chain.length], chain.cumulativeTokens[chain.length] = name, tokens
		chain.length++
	}
	chain.tokens = max(chain.tokens, tokens)
	return chain
}

// shared returns the name and tokens of the chain that other requests share: all parts but the last.
func (p *prefixChain) shared() (name uint64, tokens int, ok bool) {
	if p.length < 2 {
		return 0, 0, false
	}
	return p.hashes[p.length-2], p.cumulativeTokens[p.length-2], true
}

// mix spreads the bits of a number (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// score is a server's rank for a name by rendezvous hashing: all proxies rank alike, and a change of the
// servers moves only the names of those that came or went.
func rendezvousScore(server, name uint64) uint64 { return mix(mix(server) ^ name) }

type prefixKey struct{ server, hash uint64 }

type prefixEntry struct {
	prefixKey
	newer, older int32
}

// holdings remembers which servers hold which parts, the most recently used ones: a list from newest to
// oldest in a ring around entry 0.
type prefixIndex struct {
	index   map[prefixKey]int32
	entries []prefixEntry
	limit   int
}

func newPrefixIndex(limit int) *prefixIndex {
	return &prefixIndex{index: map[prefixKey]int32{}, entries: make([]prefixEntry, 1), limit: limit}
}

// tokens returns how much of a prompt a server is known to hold.
func (h *prefixIndex) cachedTokens(server uint64, p *prefixChain) int {
	for i := p.length - 1; i >= 0; i-- {
		if _, ok := h.index[prefixKey{server, p.hashes[i]}]; ok {
			return p.cumulativeTokens[i]
		}
	}
	return 0
}

// note remembers that a server holds a prompt from now on, and returns how many of its parts it was known to
// hold before.
func (h *prefixIndex) record(server uint64, p *prefixChain) int {
	before := 0
	for i := range p.length {
		key := prefixKey{server, p.hashes[i]}
		if _, ok := h.index[key]; ok {
			before = i + 1
		}
		h.touch(key)
	}
	return before
}

func (h *prefixIndex) touch(key prefixKey) {
	at, ok := h.index[key]
	switch {
	case ok:
		h.unlink(at)
	case len(h.entries) <= h.limit:
		at = int32(len(h.entries))
		h.entries = append(h.entries, prefixEntry{})
	default:
		at = h.entries[0].newer // of the ring's head, this is the oldest
		h.unlink(at)
		delete(h.index, h.entries[at].prefixKey)
	}
	h.entries[at].prefixKey = key
	h.index[key] = at
	h.link(at)
}

// link makes an entry the newest.
func (h *prefixIndex) link(at int32) {
	head, newest := &h.entries[0], h.entries[0].older
	h.entries[at].newer, h.entries[at].older = 0, newest
	h.entries[newest].newer = at
	head.older = at
}

func (h *prefixIndex) unlink(at int32) {
	e := &h.entries[at]
	h.entries[e.newer].older = e.older
	h.entries[e.older].newer = e.newer
}

// newest returns the most recently used entries, at most so many.
func (h *prefixIndex) newest(limit int) []prefixKey {
	var all []prefixKey
	for at := h.entries[0].older; at != 0 && len(all) < limit; at = h.entries[at].older {
		all = append(all, h.entries[at].prefixKey)
	}
	return all
}

// linkOldest makes an entry the one that is reused next.
func (h *prefixIndex) linkOldest(at int32) {
	oldest := h.entries[0].newer
	h.entries[at].older, h.entries[at].newer = 0, oldest
	h.entries[oldest].older = at
	h.entries[0].newer = at
}

// drop forgets that a server holds a prompt, but for as many parts as it held before.
func (h *prefixIndex) drop(server uint64, p *prefixChain, before int) {
	for i := before; i < p.length; i++ {
		if at, ok := h.index[prefixKey{server, p.hashes[i]}]; ok {
			h.remove(at)
		}
	}
}

// remove makes an entry the one that is reused next.
func (h *prefixIndex) remove(at int32) {
	e := &h.entries[at]
	delete(h.index, e.prefixKey)
	h.unlink(at)
	e.prefixKey = prefixKey{}
	h.linkOldest(at)
}
