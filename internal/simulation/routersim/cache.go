package routersim

import (
	"container/list"

	"cresshub/internal/router/scheduler"
)

// prefixCache is a server's memory for parts of prompts. A part can be reused only with all before it. Those
// unused for the longest give way; tokens that are pinned, by running requests and held handles, cannot.
type prefixCache struct {
	capacity, used, pinned int
	segments               map[string]*list.Element
	byRecency              *list.List // newest first
}

type cachedSegment struct {
	name   string
	tokens int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, segments: map[string]*list.Element{}, byRecency: list.New()}
}

// lookUp returns how many tokens of a prompt need not be read, and how many parts those are.
func (c *prefixCache) lookUp(parts []scheduler.Segment) (tokens, count int) {
	name := ""
	for _, part := range parts {
		name += "/" + part.ID
		if c.segments[name] == nil {
			break
		}
		tokens += part.Tokens
		count++
	}
	return tokens, count
}

// insert holds the parts of a prompt as the newest.
func (c *prefixCache) insert(parts []scheduler.Segment) {
	name := ""
	for _, part := range parts {
		name += "/" + part.ID
		if e := c.segments[name]; e != nil {
			c.byRecency.MoveToFront(e)
			continue
		}
		c.segments[name] = c.byRecency.PushFront(cachedSegment{name, part.Tokens})
		c.used += part.Tokens
	}
	c.evict()
}

// pin takes memory for a request; a negative number gives it back.
func (c *prefixCache) pin(tokens int) {
	c.pinned += tokens
	c.evict()
}

func (c *prefixCache) evict() {
	for c.used+c.pinned > c.capacity && c.byRecency.Len() > 0 {
		oldest := c.byRecency.Remove(c.byRecency.Back()).(cachedSegment)
		c.used -= oldest.tokens
		delete(c.segments, oldest.name)
	}
}
