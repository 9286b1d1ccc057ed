package scheduler

import "time"

const (
	// sharedLife is how long what other proxies told holds without a word from them.
	sharedLife = time.Second
	// sharedDelay is the usual age in ms of what they tell, when it comes.
	sharedDelay = 30.0
	// startGrace is how long proxies that start together may take to find each other.
	startGrace = 6 * time.Second
	// missedLife is how long a proxy that did not hear the others has not caught up with what servers hold: by
	// then most of the prompts that are in use have come up again.
	missedLife = 30 * time.Second
	// leastLeft is the part of a work under way that counts until it has ended.
	leastLeft = 0.25
)

// Contribution is what one proxy, or several together, have under way at a server.
type Contribution struct {
	Server  string
	Reading time.Duration // work of prompts that are to be read there
	Calls   int
}

// NewPrompts names what prompts share that were sent to a server to be read for the first time.
type NewPrompts struct {
	Server string
	Names  []uint64
}

// Changes returns what this proxy has under way at the servers where that has changed since the last call,
// or at all servers where it has anything.
func (c *Chooser) Changes(all bool) []Contribution {
	var changes []Contribution
	for id, s := range c.servers {
		if s.changed || all && len(s.calls) > 0 {
			changes = append(changes, Contribution{id, duration(s.reading), len(s.calls)})
			s.changed = false
		}
	}
	return changes
}

// Share takes in what all other proxies together have under way at some servers, and that nothing else has
// changed. With whole, they have nothing under way at any other server.
func (c *Chooser) Share(now time.Duration, others []Contribution, whole bool) {
	if now-c.sharedAt > sharedLife { // something may have been missed
		c.assumeUntil = now + missedLife
	}
	c.sharedAt = now
	if whole {
		for _, s := range c.servers {
			s.shared.set(now, 0)
			s.sharedCalls = 0
		}
	}
	for _, other := range others {
		if s := c.servers[other.Server]; s != nil {
			s.shared.set(now, ms(other.Reading))
			s.sharedCalls = float64(other.Calls)
		}
	}
}

// TakeNewPrompts returns what this proxy has sent to servers for the first time since the last call.
func (c *Chooser) TakeNewPrompts() []NewPrompts {
	var all []NewPrompts
	for id, s := range c.servers {
		if len(s.newPrompts) > 0 {
			all = append(all, NewPrompts{id, s.newPrompts})
			s.newPrompts = nil
		}
	}
	return all
}

// NoteNewPrompts takes in what other proxies have sent to servers for the first time.
func (c *Chooser) NoteNewPrompts(all []NewPrompts) {
	for _, at := range all {
		hash := serverHash(at.Server)
		for _, name := range at.Names {
			c.holdings.touch(holding{hash, name})
		}
	}
}

// KnownPrompts returns what is known of which listed servers hold what, the most recently used ones. A proxy
// that has made no decision yet tells what it was told itself.
func (c *Chooser) KnownPrompts(most int) []NewPrompts {
	ids := map[uint64]string{}
	for s := range c.table.All() {
		ids[serverHash(s.ID)] = s.ID
	}
	names := map[string][]uint64{}
	for _, h := range c.holdings.newest(most) {
		if id := ids[h.server]; id != "" {
			names[id] = append(names[id], h.name)
		}
	}
	all := make([]NewPrompts, 0, len(names))
	for id, held := range names {
		all = append(all, NewPrompts{id, held})
	}
	return all
}

// CaughtUp notes that this proxy was told all that another one knows of what servers hold.
func (c *Chooser) CaughtUp(now time.Duration) { c.sharedAt, c.assumeUntil = now, 0 }

// knowsHolders tells whether this proxy has heard of all prompts that were sent to servers lately. Where it
// has not, it takes the first-ranked server to hold them.
func (c *Chooser) knowsHolders(now time.Duration) bool {
	_, ok := c.sharedAge(now)
	return ok && now >= c.assumeUntil
}

// KnowHolders notes that nothing was sent to any server before this proxy started, together with all
// others: there is nothing to miss until they have found each other.
func (c *Chooser) KnowHolders(now time.Duration) { c.sharedAt, c.assumeUntil = now+startGrace, 0 }

// sharedAge is T in ms where other proxies tell what they have under way, and whether they do.
func (c *Chooser) sharedAge(now time.Duration) (age float64, ok bool) {
	if c.sharedAt == 0 || now-c.sharedAt > sharedLife {
		return 0, false
	}
	return sharedDelay, true
}

// backlog follows the work that others have brought to a server. Prompts are read one after the other, so
// that what was there is less by the time since; a part counts until its end is told.
type backlog struct {
	outstanding float64 // ms of work of the calls under way, as they were sent
	left        float64 // ms of it that was left at the time below
	at          time.Duration
}

func (b *backlog) leftAt(now time.Duration) float64 {
	return max(b.left-ms(now-b.at), leastLeft*b.outstanding)
}

// set takes in the work of all calls that are under way now.
func (b *backlog) set(now time.Duration, outstanding float64) {
	left := b.leftAt(now) + max(0, outstanding-b.outstanding)
	b.left, b.outstanding, b.at = min(left, outstanding), outstanding, now
}
