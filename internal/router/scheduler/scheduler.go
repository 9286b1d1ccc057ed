package scheduler

import (
	"math/rand/v2"
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/fleetconfig"
)

// Scheduler holds what is known of the load of servers.
type Scheduler struct {
	zone     string
	random   *rand.Rand
	table    *catalog.Table
	servers  map[string]*serverState
	pools    map[string]*servicePool
	prefixes *prefixIndex
	// assumeCachedUntil is until when prompts may be held that this proxy was not told of.
	assumeCachedUntil time.Duration
	// when other proxies last told what they have under way, 0 where they never did
	peerLoadAt time.Duration

	candidates      []candidate // of the decision being made
	rest            []candidate
	levels, weights []float64
}

// New returns a Chooser of a proxy in a zone.
func New(zone string, seed uint64) *Scheduler {
	return &Scheduler{
		zone: zone, random: rand.New(rand.NewPCG(seed, 1)), table: catalog.NewTable(0, nil),
		servers: map[string]*serverState{}, pools: map[string]*servicePool{},
		prefixes: newPrefixIndex(maxPrefixEntries),
	}
}

// Update takes a newer table of servers.
func (s *Scheduler) Update(now time.Duration, table *catalog.Table) {
	s.table = table
	for id := range s.servers {
		if table.ByID(id) == nil {
			delete(s.servers, id) // what it holds is remembered: it may have been lost for a moment only
		}
	}
	for _, pool := range s.pools {
		pool.setTable(now, table, s.servers)
	}
}

func (s *Scheduler) pool(now time.Duration, service *fleetconfig.Service) *servicePool {
	pool := s.pools[service.Name]
	if pool == nil {
		pool = newServicePool(service)
		s.pools[service.Name] = pool
	}
	pool.service = service
	if pool.table != s.table {
		pool.setTable(now, s.table, s.servers)
	}
	return pool
}

// Choose draws the server for a call of that role and counts the call as under way; nil where no server may
// take it. For Write, reader is the server that holds the prompt's memory.
func (s *Scheduler) Choose(now time.Duration, request *Request, role Role,
	prefillServer *catalog.Server) *Call {
	pool, chain := s.pool(now, request.Service), newPrefixChain(request)
	candidates := s.eligible(now, pool, request, role, &chain)
	if len(candidates) == 0 {
		return nil
	}
	arrivalServers := len(candidates)
	switch {
	case role == Decode:
		candidates = s.preferZone(pool, candidates, &chain, prefillServer)
		arrivalServers = len(candidates)
	case pool.service.Engine != nil:
		candidates, arrivalServers = s.prefixAffinity(now, pool, role, candidates, &chain)
	}
	arrivalsMs := expectedArrivals(now, pool, role, candidates, arrivalServers)
	if name, _, ok := chain.shared(); ok && role == Prefill {
		pool.popularity.record(name)
	}
	call := s.send(now, pool, request, role, &chain, s.draw(now, candidates, arrivalsMs))
	if prefillServer != nil {
		call.prefillServer = s.servers[prefillServer.ID]
	}
	return call
}

// send counts a call as under way.
func (s *Scheduler) send(
	now time.Duration, pool *servicePool, request *Request, role Role, chain *prefixChain, to *candidate,
) *Call {
	call := &Call{
		Server: to.serverState.Server, Role: role, state: to.serverState, pool: pool, chain: *chain,
		uncachedTokens: to.uncachedTokens, outputTokens: max(request.OutputTokens, 1),
		minUncached: to.minUncached, maxUncached: to.maxUncached,
		serverIdle: to.inFlight < 0.5,
		inFlight:   to.inFlight, startedAt: now,
	}
	call.prefillMs = to.prefillMs
	call.expectedMs = to.queueMs + pool.ownTime(call)
	if role == Prefill {
		call.uncachedMs = to.queueMs + pool.prefillTime.at(float64(chain.tokens))/to.speed
	}
	to.serverState.beginCall(call)
	if pool.service.Engine != nil {
		call.cachedBefore = s.prefixes.record(to.hash, chain)
		to.serverState.recordNewPrefix(role, chain, call.cachedBefore)
	}
	return call
}

// ObserveLoad takes in the load that a server told with an answer.
func (s *Scheduler) ObserveLoad(now time.Duration, id string, load Load) {
	s.ObserveLoadAt(now, id, load)
}

// ObserveLoadAt takes in the load that a server told at an earlier time: to another proxy, or in a report of
// its own.
func (s *Scheduler) ObserveLoadAt(at time.Duration, id string, load Load) {
	server := s.servers[id]
	if server == nil {
		return
	}
	server.recordReport(at, load)
	if pool := s.pools[server.Service]; pool != nil {
		pool.recordUtilization(server)
	}
}

// LastSuccess returns when a server last answered a call well, and whether it has.
func (s *Scheduler) LastSuccess(id string) (time.Duration, bool) {
	state := s.servers[id]
	if state == nil || state.outliers.lastSuccess == 0 {
		return 0, false
	}
	return state.outliers.lastSuccess, true
}

// FirstEvent notes that the server of a call has begun to answer.
func (s *Scheduler) FirstEvent(now time.Duration, call *Call) {
	if call.answered {
		return
	}
	call.answered, call.firstEventAt = true, now
	call.state.endPrefill(now, call)
	took := ms(now - call.startedAt)
	expected := max(call.expectedMs, call.uncachedMs) // that a reader holds less than assumed is no lateness
	call.state.lateness.add(now, took-expected, expected)
}

// Done ends a call. Each call ends once.
func (s *Scheduler) Done(now time.Duration, call *Call, outcome Outcome) {
	if call.ended {
		return
	}
	call.ended = true
	call.state.endCall(now, call)
	if outcome == Served {
		s.FirstEvent(now, call)
		call.recordSuccess(now)
		call.pool.learn(now, call)
		return
	}
	call.recordFailure(now, outcome)
	if !call.answered {
		s.prefixes.drop(call.state.hash, &call.chain, call.cachedBefore)
	}
}
