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
	positions map[prefixKey]int32 // positions in entries
	entries   []prefixEntry
	limit     int
}

// newPrefixIndex returns an empty index of at most limit entries.
func newPrefixIndex(limit int) *prefixIndex {
	return &prefixIndex{positions: map[prefixKey]int32{}, entries: make([]prefixEntry, 1), limit: limit}
}

// cachedTokens returns how many tokens of a prompt a server is known to have cached.
func (x *prefixIndex) cachedTokens(server uint64, chain *prefixChain) int {
	for i := chain.length - 1; i >= 0; i-- {
		if _, ok := x.positions[prefixKey{server, chain.hashes[i]}]; ok {
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
		if _, ok := x.positions[key]; ok {
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
		if position, ok := x.positions[prefixKey{server, chain.hashes[i]}]; ok {
			x.remove(position)
		}
	}
}

// newest returns the keys of at most limit most recently used entries, the newest first.
func (x *prefixIndex) newest(limit int) []prefixKey {
	var keys []prefixKey
	for i := x.entries[0].older; i != 0 && len(keys) < limit; i = x.entries[i].older {
		keys = append(keys, x.entries[i].prefixKey)
	}
	return keys
}

// touch makes the entry of a key the most recently used one. A new entry replaces the least recently used one
// if the index is full.
func (x *prefixIndex) touch(key prefixKey) {
	position, ok := x.positions[key]
	switch {
	case ok:
		x.unlink(position)
	case len(x.entries) <= x.limit:
		position = int32(len(x.entries))
		x.entries = append(x.entries, prefixEntry{})
	default:
		position = x.entries[0].newer // the sentinel's newer neighbor is the least recently used entry
		x.unlink(position)
		delete(x.positions, x.entries[position].prefixKey)
	}
	x.entries[position].prefixKey = key
	x.positions[key] = position
	x.link(0, position, x.entries[0].older)
}

// remove clears an entry and makes it the least recently used one, so that it is the next to be replaced.
func (x *prefixIndex) remove(position int32) {
	entry := &x.entries[position]
	delete(x.positions, entry.prefixKey)
	x.unlink(position)
	entry.prefixKey = prefixKey{}
	x.link(x.entries[0].newer, position, 0)
}

// link inserts an entry between two neighbors.
func (x *prefixIndex) link(newer, position, older int32) {
	x.entries[position].newer, x.entries[position].older = newer, older
	x.entries[newer].older = position
	x.entries[older].newer = position
}

// unlink removes an entry from the list.
func (x *prefixIndex) unlink(position int32) {
	entry := &x.entries[position]
	x.entries[entry.newer].older = entry.older
	x.entries[entry.older].newer = entry.newer
}
