package routersim

import (
	"container/list"

	"cresshub/internal/router/scheduler"
)

// cache is a server's memory for parts of prompts. A part can be reused only with all before it. Those unused
// for the longest give way; tokens that are pinned, by running requests and held handles, cannot.
type cache struct {
	limit, used, pinned int
	parts               map[string]*list.Element
	order               *list.List // newest first
}

type cachedPart struct {
	name   string
	tokens int
}

func newCache(limit int) *cache {
	return &cache{limit: limit, parts: map[string]*list.Element{}, order: list.New()}
}

// held returns how many tokens of a prompt need not be read, and how many parts those are.
func (c *cache) held(parts []scheduler.Part) (tokens, count int) {
	name := ""
	for _, part := range parts {
		name += "/" + part.ID
		if c.parts[name] == nil {
			break
		}
		tokens += part.Tokens
		count++
	}
	return tokens, count
}

// keep holds the parts of a prompt as the newest.
func (c *cache) keep(parts []scheduler.Part) {
	name := ""
	for _, part := range parts {
		name += "/" + part.ID
		if e := c.parts[name]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.parts[name] = c.order.PushFront(cachedPart{name, part.Tokens})
		c.used += part.Tokens
	}
	c.trim()
}

// pin takes memory for a request; a negative number gives it back.
func (c *cache) pin(tokens int) {
	c.pinned += tokens
	c.trim()
}

func (c *cache) trim() {
	for c.used+c.pinned > c.limit && c.order.Len() > 0 {
		oldest := c.order.Remove(c.order.Back()).(cachedPart)
		c.used -= oldest.tokens
		delete(c.parts, oldest.name)
	}
}
