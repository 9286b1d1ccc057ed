package routersim

import (
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/scheduler"
)

// serverQueues is what a clairvoyant knows of all servers at any time, by their ids.
type serverQueues map[string]*serverQueue

// serverQueue is what was sent to one server.
type serverQueue struct {
	freeAt       time.Duration   // until when it has work
	cached       map[string]bool // parts, each named with all before it
	promptTokens int             // of prompts
}

// of returns the queue of a server.
func (q serverQueues) of(server string) *serverQueue {
	if q[server] == nil {
		q[server] = &serverQueue{cached: map[string]bool{}}
	}
	return q[server]
}

// clairvoyant is a bound, not a policy: each request goes to the server that will have read it first, with
// all that was sent anywhere known at once; of equal ones to that which was sent the least. What it cannot
// serve in time hardly any choice of servers could.
type clairvoyant struct {
	queues serverQueues
	table  *catalog.Table
	engine *Engine
}

// Clairvoyant returns the bound for servers with an engine.
func Clairvoyant(engine Engine) PolicyFactory {
	return PolicyFactory{"clairvoyant", func(string, uint64) Policy { return &clairvoyant{engine: &engine} }}
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
		if (s.Role == catalog.Prefill) != (role == scheduler.Prefill) {
			continue
		}
		at := c.doneAt(now, s, r, role, reader)
		if best == nil || at < done || at == done &&
			c.queues.of(s.ID).promptTokens < c.queues.of(best.ID).promptTokens {
			best, done = s, at
		}
	}
	if best == nil {
		return nil
	}
	queue := c.queues.of(best.ID)
	queue.freeAt = done
	queue.promptTokens += r.PromptTokens
	for _, name := range prefixNames(r) {
		queue.cached[name] = true
	}
	return &scheduler.Call{Server: best, Role: role}
}

// doneAt is when a server will have read a request, or made its first token.
func (c *clairvoyant) doneAt(now time.Duration, s *catalog.Server, r *scheduler.Request, role scheduler.Role,
	reader *catalog.Server) time.Duration {
	queue := c.queues.of(s.ID)
	start := max(now, queue.freeAt)
	if role == scheduler.Decode {
		ms := float64(r.PromptTokens) * c.engine.TokenBytes * 8 / (c.engine.LinkMegabits * 1000)
		if s.Zone != reader.Zone {
			ms *= crossZoneFactor
		}
		return start + milliseconds(ms)
	}
	tokens, cached := 0, 0
	for i, name := range prefixNames(r) {
		if tokens += r.Segments[i].Tokens; queue.cached[name] {
			cached = tokens
		}
	}
	uncached, pace := float64(tokens-cached), 1.0
	if role == scheduler.Serve {
		pace = decodePrefillFactor
	}
	pairs := uncached*float64(cached) + uncached*uncached/2
	return start + milliseconds(pace*(uncached/c.engine.PrefillTokensPerMs+pairs/1e6*c.engine.MsPerMillionPairs))
}

// prefixNames returns the names of a prompt's parts, each with all before it.
func prefixNames(r *scheduler.Request) []string {
	names, name := make([]string, len(r.Segments)), ""
	for i, part := range r.Segments {
		name += "/" + part.ID
		names[i] = name
	}
	return names
}

// ObserveLoad is of no use here.
func (c *clairvoyant) ObserveLoad(time.Duration, string, scheduler.Load) {}

// FirstEvent is of no use here.
func (c *clairvoyant) FirstEvent(time.Duration, *scheduler.Call) {}

// Done is of no use here.
func (c *clairvoyant) Done(time.Duration, *scheduler.Call, scheduler.Outcome) {}
