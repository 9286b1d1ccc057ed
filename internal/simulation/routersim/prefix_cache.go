package routersim

import (
	"container/list"

	"cresshub/internal/router/scheduler"
)

// prefixCache is a server's cache of prompt segments. A segment can be reused only with all before it. The
// least recently used ones are evicted; tokens pinned by running requests are not.
type prefixCache struct {
	capacity, used, pinned int                      // tokens
	segments               map[string]*list.Element // by the path of segment ids
	byRecency              *list.List               // of cachedSegment, newest first
}

type cachedSegment struct {
	path   string
	tokens int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, segments: map[string]*list.Element{}, byRecency: list.New()}
}

// cachedTokens returns how many tokens of a prompt need no prefill.
func (c *prefixCache) cachedTokens(segments []scheduler.Segment) int {
	tokens, path := 0, ""
	for _, segment := range segments {
		path += "/" + segment.ID
		if c.segments[path] == nil {
			break
		}
		tokens += segment.Tokens
	}
	return tokens
}

// insert makes the segments of a prompt the most recently used ones.
func (c *prefixCache) insert(segments []scheduler.Segment) {
	path := ""
	for _, segment := range segments {
		path += "/" + segment.ID
		if element := c.segments[path]; element != nil {
			c.byRecency.MoveToFront(element)
			continue
		}
		c.segments[path] = c.byRecency.PushFront(cachedSegment{path, segment.Tokens})
		c.used += segment.Tokens
	}
	c.evict()
}

// pin reserves tokens for a request; a negative number releases them.
func (c *prefixCache) pin(tokens int) {
	c.pinned += tokens
	c.evict()
}

func (c *prefixCache) evict() {
	for c.used+c.pinned > c.capacity && c.byRecency.Len() > 0 {
		oldest := c.byRecency.Remove(c.byRecency.Back()).(cachedSegment)
		c.used -= oldest.tokens
		delete(c.segments, oldest.path)
	}
}
