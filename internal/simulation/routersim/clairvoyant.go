package routersim

import (
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/scheduler"
)

// queues is what a clairvoyant knows of all servers at any time, by their ids.
type queues map[string]*queue

// queue is what was sent to one server.
type queue struct {
	free   time.Duration   // until when it has work
	held   map[string]bool // parts, each named with all before it
	tokens int             // of prompts
}

// of returns the queue of a server.
func (q queues) of(server string) *queue {
	if q[server] == nil {
		q[server] = &queue{held: map[string]bool{}}
	}
	return q[server]
}

// clairvoyant is a bound, not a policy: each request goes to the server that will have read it first, with
// all that was sent anywhere known at once; of equal ones to that which was sent the least. What it cannot
// serve in time hardly any choice of servers could.
type clairvoyant struct {
	queues queues
	table  *catalog.Table
	engine *Engine
}

// Clairvoyant returns the bound for servers with an engine.
func Clairvoyant(engine Engine) Maker {
	return Maker{"clairvoyant", func(string, uint64) Policy { return &clairvoyant{engine: &engine} }}
}

// Update takes a newer table.
func (c *clairvoyant) Update(_ time.Duration, table *catalog.Table) { c.table = table }

// Split splits all but short prompts, as the real policy does.
func (c *clairvoyant) Split(_ time.Duration, r *scheduler.Request) bool {
	const shortPrompt = 2000
	return r.PromptTokens > shortPrompt
}

// Choose sends a call to the server that will be done with it first.
func (c *clairvoyant) Choose(now time.Duration, r *scheduler.Request, role scheduler.Role,
	reader *catalog.Server) *scheduler.Call {
	var best *catalog.Server
	var done time.Duration
	for _, s := range c.table.Service(r.Service.Name) {
		if (s.Stage == catalog.Reading) != (role == scheduler.Read) {
			continue
		}
		at := c.doneAt(now, s, r, role, reader)
		if best == nil || at < done || at == done && c.queues.of(s.ID).tokens < c.queues.of(best.ID).tokens {
			best, done = s, at
		}
	}
	if best == nil {
		return nil
	}
	q := c.queues.of(best.ID)
	q.free = done
	q.tokens += r.PromptTokens
	for _, name := range chainOf(r) {
		q.held[name] = true
	}
	return &scheduler.Call{Server: best, Role: role}
}

// doneAt is when a server will have read a request, or made its first token.
func (c *clairvoyant) doneAt(now time.Duration, s *catalog.Server, r *scheduler.Request, role scheduler.Role,
	reader *catalog.Server) time.Duration {
	q := c.queues.of(s.ID)
	begin := max(now, q.free)
	if role == scheduler.Write {
		ms := float64(r.PromptTokens) * c.engine.TokenBytes * 8 / (c.engine.LinkMegabits * 1000)
		if s.Zone != reader.Zone {
			ms *= farMove
		}
		return begin + milliseconds(ms)
	}
	tokens, held := 0, 0
	for i, name := range chainOf(r) {
		if tokens += r.Parts[i].Tokens; q.held[name] {
			held = tokens
		}
	}
	unread, pace := float64(tokens-held), 1.0
	if role == scheduler.Serve {
		pace = writerPace
	}
	pairs := unread*float64(held) + unread*unread/2
	return begin + milliseconds(pace*(unread/c.engine.ReadPerMs+pairs/1e6*c.engine.PairsMs))
}

// chainOf returns the names of a prompt's parts, each with all before it.
func chainOf(r *scheduler.Request) []string {
	names, name := make([]string, len(r.Parts)), ""
	for i, part := range r.Parts {
		name += "/" + part.ID
		names[i] = name
	}
	return names
}

// Told is of no use here.
func (c *clairvoyant) Told(time.Duration, string, scheduler.Load) {}

// FirstEvent is of no use here.
func (c *clairvoyant) FirstEvent(time.Duration, *scheduler.Call) {}

// Done is of no use here.
func (c *clairvoyant) Done(time.Duration, *scheduler.Call, scheduler.Outcome) {}
