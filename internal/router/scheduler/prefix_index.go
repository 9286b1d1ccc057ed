package scheduler

const maxPrefixEntries = 8192 // maximum number of pairs of a server and a prefix in a proxy's index

// prefixKey identifies a prefix that a server has cached.
type prefixKey struct{ server, prefix uint64 } // hashes of both

// prefixEntry is one entry of the LRU list, linked to its neighbors by their positions.
type prefixEntry struct {
	prefixKey
	newer, older int32 // positions in prefixIndex.entries
}

// prefixIndex records which servers have cached which prefixes, as an LRU cache. Its entries form a circular
// doubly linked list from the most to the least recently used one. Entry 0 is the sentinel and has no prefix.
type prefixIndex struct {
	index   map[prefixKey]int32 // positions in entries
	entries []prefixEntry
	limit   int
}

// newPrefixIndex returns an empty index of at most limit entries.
func newPrefixIndex(limit int) *prefixIndex {
	return &prefixIndex{index: map[prefixKey]int32{}, entries: make([]prefixEntry, 1), limit: limit}
}

// cachedTokens returns how many tokens of a prompt a server is known to have cached.
func (x *prefixIndex) cachedTokens(server uint64, chain *prefixChain) int {
	for i := chain.length - 1; i >= 0; i-- {
		if _, ok := x.index[prefixKey{server, chain.hashes[i]}]; ok {
			return chain.cumulativeTokens[i]
		}
	}
	return 0
}

// record records that a server has cached a prompt, and returns how many of the prompt's leading segments
// were recorded before.
func (x *prefixIndex) record(server uint64, chain *prefixChain) (cachedBefore int) {
	for i := range chain.length {
		key := prefixKey{server, chain.hashes[i]}
		if _, ok := x.index[key]; ok {
			cachedBefore = i + 1
		}
		x.touch(key)
	}
	return cachedBefore
}

// drop removes what record has added for a prompt. The first cachedBefore segments, which were recorded
// earlier, stay.
func (x *prefixIndex) drop(server uint64, chain *prefixChain, cachedBefore int) {
	for i := cachedBefore; i < chain.length; i++ {
		if at, ok := x.index[prefixKey{server, chain.hashes[i]}]; ok {
			x.remove(at)
		}
	}
}

// newest returns the keys of at most limit most recently used entries, the newest first.
func (x *prefixIndex) newest(limit int) []prefixKey {
	var keys []prefixKey
	for at := x.entries[0].older; at != 0 && len(keys) < limit; at = x.entries[at].older {
		keys = append(keys, x.entries[at].prefixKey)
	}
	return keys
}

// touch makes the entry of a key the most recently used one. A new entry replaces the least recently used one
// if the index is full.
func (x *prefixIndex) touch(key prefixKey) {
	at, ok := x.index[key]
	switch {
	case ok:
		x.unlink(at)
	case len(x.entries) <= x.limit:
		at = int32(len(x.entries))
		x.entries = append(x.entries, prefixEntry{})
	default:
		at = x.entries[0].newer // the sentinel's newer neighbor is the least recently used entry
		x.unlink(at)
		delete(x.index, x.entries[at].prefixKey)
	}
	x.entries[at].prefixKey = key
	x.index[key] = at
	x.link(0, at, x.entries[0].older)
}

// remove clears an entry and makes it the least recently used one, so that it is reused next.
func (x *prefixIndex) remove(at int32) {
	entry := &x.entries[at]
	delete(x.index, entry.prefixKey)
	x.unlink(at)
	entry.prefixKey = prefixKey{}
	x.link(x.entries[0].newer, at, 0)
}

// link inserts an entry between two neighbors.
func (x *prefixIndex) link(newer, at, older int32) {
	x.entries[at].newer, x.entries[at].older = newer, older
	x.entries[newer].older = at
	x.entries[older].newer = at
}

// unlink removes an entry from the list.
func (x *prefixIndex) unlink(at int32) {
	entry := &x.entries[at]
	x.entries[entry.newer].older = entry.older
	x.entries[entry.older].newer = entry.newer
}
