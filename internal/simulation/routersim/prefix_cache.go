package routersim

import (
	"container/list"

	"cresshub/internal/router/scheduler"
)

// prefixCache is a server's cache of prompt segments. A segment can be reused only with all before it. The
// least recently used ones are evicted; tokens pinned by running requests are not.
type prefixCache struct {
	capacity, used, pinned int                      // tokens
	segments               map[string]*list.Element // by their paths
	byRecency              *list.List               // of cachedSegment, newest first
}

// cachedSegment is an element of prefixCache.byRecency.
type cachedSegment struct {
	path   string // see segmentPaths
	tokens int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, segments: map[string]*list.Element{}, byRecency: list.New()}
}

// cachedTokens returns how many tokens of a prompt need no prefill.
func (c *prefixCache) cachedTokens(segments []scheduler.Segment) int {
	tokens := 0
	for i, path := range segmentPaths(segments) {
		if c.segments[path] == nil {
			break
		}
		tokens += segments[i].Tokens
	}
	return tokens
}

// insert makes the segments of a prompt the most recently used ones.
func (c *prefixCache) insert(segments []scheduler.Segment) {
	for i, path := range segmentPaths(segments) {
		if element := c.segments[path]; element != nil {
			c.byRecency.MoveToFront(element)
			continue
		}
		c.segments[path] = c.byRecency.PushFront(cachedSegment{path, segments[i].Tokens})
		c.used += segments[i].Tokens
	}
	c.evict()
}

// pin reserves tokens for a request; a negative number releases them.
func (c *prefixCache) pin(tokens int) {
	c.pinned += tokens
	c.evict()
}

// evict removes the least recently used segments until the cache and the pinned tokens fit into its capacity,
// or nothing is left.
func (c *prefixCache) evict() {
	for c.used+c.pinned > c.capacity && c.byRecency.Len() > 0 {
		oldest := c.byRecency.Remove(c.byRecency.Back()).(cachedSegment)
		c.used -= oldest.tokens
		delete(c.segments, oldest.path)
	}
}

// segmentPaths returns the path of each segment of a prompt: its id after those of all before it.
func segmentPaths(segments []scheduler.Segment) []string {
	paths, path := make([]string, len(segments)), ""
	for i, segment := range segments {
		path += "/" + segment.ID
		paths[i] = path
	}
	return paths
}
