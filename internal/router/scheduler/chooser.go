package scheduler

import (
	"math/rand/v2"
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/fleetconfig"
)

// Chooser holds what is known of the load of servers.
type Chooser struct {
	zone     string
	random   *rand.Rand
	table    *catalog.Table
	servers  map[string]*server
	pools    map[string]*pool
	holdings *holdings
	// assumeUntil is until when prompts may be held that this proxy was not told of.
	assumeUntil time.Duration
	sharedAt    time.Duration // when other proxies last told what they have under way, 0 where they never did

	candidates      []candidate // of the decision being made
	rest            []candidate
	levels, weights []float64
}

// New returns a Chooser of a proxy in a zone.
func New(zone string, seed uint64) *Chooser {
	return &Chooser{
		zone: zone, random: rand.New(rand.NewPCG(seed, 1)), table: catalog.NewTable(0, nil),
		servers: map[string]*server{}, pools: map[string]*pool{}, holdings: newHoldings(maxHoldings),
	}
}

// Update takes a newer table of servers.
func (c *Chooser) Update(now time.Duration, table *catalog.Table) {
	c.table = table
	for id := range c.servers {
		if table.ByID(id) == nil {
			delete(c.servers, id) // what it holds is remembered: it may have been lost for a moment only
		}
	}
	for _, p := range c.pools {
		p.fill(now, table, c.servers)
	}
}

func (c *Chooser) pool(now time.Duration, service *fleetconfig.Service) *pool {
	p := c.pools[service.Name]
	if p == nil {
		p = newPool(service)
		c.pools[service.Name] = p
	}
	p.service = service
	if p.table != c.table {
		p.fill(now, c.table, c.servers)
	}
	return p
}

// Choose draws the server for a call of that role and counts the call as under way; nil where no server may
// take it. For Write, reader is the server that holds the prompt's memory.
func (c *Chooser) Choose(now time.Duration, r *Request, role Role, reader *catalog.Server) *Call {
	p, chain := c.pool(now, r.Service), newPrompt(r)
	candidates := c.eligible(now, p, r, role, &chain)
	if len(candidates) == 0 {
		return nil
	}
	n := len(candidates)
	switch {
	case role == Write:
		candidates = c.near(p, candidates, &chain, reader)
		n = len(candidates)
	case p.service.Engine != nil:
		candidates, n = c.affine(now, p, role, candidates, &chain)
	}
	arrive := arrivals(now, p, role, candidates, n)
	if name, _, ok := chain.shared(); ok && role == Read {
		p.popular.note(name)
	}
	call := c.send(now, p, r, role, &chain, c.draw(now, candidates, arrive))
	if reader != nil {
		call.reader = c.servers[reader.ID]
	}
	return call
}

// send counts a call as under way.
func (c *Chooser) send(
	now time.Duration, p *pool, r *Request, role Role, chain *prompt, to *candidate,
) *Call {
	call := &Call{
		Server: to.server.Server, Role: role, state: to.server, pool: p, prompt: *chain,
		tokens: to.uncached, output: max(r.OutputTokens, 1), least: to.least, most: to.most,
		alone: to.busy < 0.5,
		busy:  to.busy, started: now,
	}
	call.readWork = to.work
	call.expected = to.queue + p.ownTime(call)
	if role == Read {
		call.uncached = to.queue + p.read.at(float64(chain.tokens))/to.speed
	}
	to.server.begin(call)
	if p.service.Engine != nil {
		call.heldBefore = c.holdings.note(to.hash, chain)
		to.server.noteNew(role, chain, call.heldBefore)
	}
	return call
}

// Told takes in the load that a server told with an answer.
func (c *Chooser) Told(now time.Duration, server string, load Load) { c.Heard(now, server, load) }

// Heard takes in the load that a server told at an earlier time: to another proxy, or in a report of its own.
func (c *Chooser) Heard(at time.Duration, server string, load Load) {
	s := c.servers[server]
	if s == nil {
		return
	}
	s.tell(at, load)
	if p := c.pools[s.Service]; p != nil {
		p.tellUse(s)
	}
}

// AnsweredAt returns when a server last answered a call well, and whether it has.
func (c *Chooser) AnsweredAt(server string) (time.Duration, bool) {
	s := c.servers[server]
	if s == nil || s.trust.answered == 0 {
		return 0, false
	}
	return s.trust.answered, true
}

// FirstEvent notes that the server of a call has begun to answer.
func (c *Chooser) FirstEvent(now time.Duration, call *Call) {
	if call.answered {
		return
	}
	call.answered, call.first = true, now
	call.state.read(now, call)
	took := ms(now - call.started)
	expected := max(call.expected, call.uncached) // that a reader holds less than assumed is no lateness
	call.state.late.add(now, took-expected, expected)
}

// Done ends a call. Each call ends once.
func (c *Chooser) Done(now time.Duration, call *Call, outcome Outcome) {
	if call.ended {
		return
	}
	call.ended = true
	call.state.end(now, call)
	if outcome == Served {
		c.FirstEvent(now, call)
		call.succeeded(now)
		call.pool.learn(now, call)
		return
	}
	call.failed(now, outcome)
	if !call.answered {
		c.holdings.drop(call.state.hash, &call.prompt, call.heldBefore)
	}
}
