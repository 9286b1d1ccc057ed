package scheduler

import "github.com/cespare/xxhash/v2"

const (
	maxChain    = 16   // parts of a prompt that are looked at; the others count as the request's own
	maxHoldings = 8192 // parts of prompts that a proxy remembers the holders of
)

// prompt is a request's prompt as a chain of parts: a part can be reused only with all before it, so that its
// name is the hash of them all.
type prompt struct {
	names  [maxChain]uint64 // of the chain up to each part
	upTo   [maxChain]int    // tokens of the chain up to each part
	length int              // parts
	tokens int
}

// newPrompt returns the chain of a request.
func newPrompt(r *Request) prompt {
	p := prompt{tokens: r.PromptTokens}
	name, tokens := xxhash.Sum64String(r.Service.Name), 0
	for _, part := range r.Parts[:min(len(r.Parts), maxChain)] {
		name = mix(name ^ xxhash.Sum64String(part.ID))
		tokens += part.Tokens
		p.names[p.length], p.upTo[p.length] = name, tokens
		p.length++
	}
	p.tokens = max(p.tokens, tokens)
	return p
}

// shared returns the name and tokens of the chain that other requests share: all parts but the last.
func (p *prompt) shared() (name uint64, tokens int, ok bool) {
	if p.length < 2 {
		return 0, 0, false
	}
	return p.names[p.length-2], p.upTo[p.length-2], true
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
func score(server, name uint64) uint64 { return mix(mix(server) ^ name) }

type holding struct{ server, name uint64 }

type held struct {
	holding
	newer, older int32
}

// holdings remembers which servers hold which parts, the most recently used ones: a list from newest to
// oldest in a ring around entry 0.
type holdings struct {
	index   map[holding]int32
	entries []held
	limit   int
}

func newHoldings(limit int) *holdings {
	return &holdings{index: map[holding]int32{}, entries: make([]held, 1), limit: limit}
}

// tokens returns how much of a prompt a server is known to hold.
func (h *holdings) tokens(server uint64, p *prompt) int {
	for i := p.length - 1; i >= 0; i-- {
		if _, ok := h.index[holding{server, p.names[i]}]; ok {
			return p.upTo[i]
		}
	}
	return 0
}

// note remembers that a server holds a prompt from now on, and returns how many of its parts it was known to
// hold before.
func (h *holdings) note(server uint64, p *prompt) int {
	before := 0
	for i := range p.length {
		key := holding{server, p.names[i]}
		if _, ok := h.index[key]; ok {
			before = i + 1
		}
		h.touch(key)
	}
	return before
}

func (h *holdings) touch(key holding) {
	at, ok := h.index[key]
	switch {
	case ok:
		h.unlink(at)
	case len(h.entries) <= h.limit:
		at = int32(len(h.entries))
		h.entries = append(h.entries, held{})
	default:
		at = h.entries[0].newer // of the ring's head, this is the oldest
		h.unlink(at)
		delete(h.index, h.entries[at].holding)
	}
	h.entries[at].holding = key
	h.index[key] = at
	h.link(at)
}

// link makes an entry the newest.
func (h *holdings) link(at int32) {
	head, newest := &h.entries[0], h.entries[0].older
	h.entries[at].newer, h.entries[at].older = 0, newest
	h.entries[newest].newer = at
	head.older = at
}

func (h *holdings) unlink(at int32) {
	e := &h.entries[at]
	h.entries[e.newer].older = e.older
	h.entries[e.older].newer = e.newer
}

// newest returns the most recently used entries, at most so many.
func (h *holdings) newest(most int) []holding {
	var all []holding
	for at := h.entries[0].older; at != 0 && len(all) < most; at = h.entries[at].older {
		all = append(all, h.entries[at].holding)
	}
	return all
}

// linkOldest makes an entry the one that is reused next.
func (h *holdings) linkOldest(at int32) {
	oldest := h.entries[0].newer
	h.entries[at].older, h.entries[at].newer = 0, oldest
	h.entries[oldest].older = at
	h.entries[0].newer = at
}

// drop forgets that a server holds a prompt, but for as many parts as it held before.
func (h *holdings) drop(server uint64, p *prompt, before int) {
	for i := before; i < p.length; i++ {
		if at, ok := h.index[holding{server, p.names[i]}]; ok {
			h.remove(at)
		}
	}
}

// remove makes an entry the one that is reused next.
func (h *holdings) remove(at int32) {
	e := &h.entries[at]
	delete(h.index, e.holding)
	h.unlink(at)
	e.holding = holding{}
	h.linkOldest(at)
}
