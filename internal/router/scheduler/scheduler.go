package scheduler

import (
	"math/rand/v2"
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/fleetconfig"
)

// Scheduler chooses servers for the requests of one proxy. It is not safe for concurrent use.
type Scheduler struct {
	zone     string
	random   *rand.Rand
	table    *catalog.Table
	servers  map[string]*serverState // by id
	pools    map[string]*servicePool // by name of the service
	prefixes *prefixIndex
	// newPrefixes are hashes of shared prefixes that are not yet reported to the peers, by id of their server.
	newPrefixes map[string][]uint64

	// assumeCachedUntil is until when servers may have cached prefixes that were not reported to this proxy.
	assumeCachedUntil time.Duration
	// peerLoadAt is when the other proxies last reported what they have in flight, 0 if they never did.
	peerLoadAt time.Duration

	// Buffers of the decision being made, reused by the next one.
	candidates      []candidate
	levels, weights []float64
}

// New returns a Scheduler of a proxy in a zone. The seed determines all its random draws.
func New(zone string, seed uint64) *Scheduler {
	return &Scheduler{
		zone: zone, random: rand.New(rand.NewPCG(seed, 1)), table: catalog.NewTable(nil),
		servers: map[string]*serverState{}, pools: map[string]*servicePool{},
		prefixes: newPrefixIndex(maxPrefixEntries), newPrefixes: map[string][]uint64{},
	}
}

// Update replaces the table of servers. What is known of a server that is not listed any more is dropped.
func (s *Scheduler) Update(now time.Duration, table *catalog.Table) {
	s.table = table
	for id := range s.servers {
		if table.ByID(id) == nil {
			delete(s.servers, id) // its prefixes stay in the index: it may be missing for a moment only
		}
	}
	for _, pool := range s.pools {
		pool.setTable(now, table, s.servers)
	}
}

// pool returns the state of a service, with the lists of the newest table.
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

// Choose draws the server for a call of a role and begins the call there; Done must end it. It returns nil
// where no server may take the call. For Decode, prefillServer is the server that holds the prefix cache of
// the prompt; it is nil for the other roles.
func (s *Scheduler) Choose(
	now time.Duration, request *Request, role Role, prefillServer *catalog.Server,
) *Call {
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
	if shared, ok := chain.shared(); ok && role == Prefill {
		pool.popularity.record(shared.hash)
	}
	call := s.begin(now, pool, request, role, &chain, s.draw(now, candidates, arrivalsMs))
	if prefillServer != nil {
		call.prefillServer = s.servers[prefillServer.ID]
	}
	return call
}

// begin counts a call as in flight at the server that was drawn for it.
func (s *Scheduler) begin(
	now time.Duration, pool *servicePool, request *Request, role Role, chain *prefixChain, drawn *candidate,
) *Call {
	const idleBelow = 0.5 // requests, as their number is an estimate
	server := drawn.serverState
	call := &Call{
		Server: server.Server, Role: role, state: server, pool: pool, chain: *chain,
		uncachedTokens: drawn.uncachedTokens, minUncached: drawn.minUncached, maxUncached: drawn.maxUncached,
		outputTokens: max(request.OutputTokens, 1),
		serverIdle:   drawn.inFlight < idleBelow, inFlight: drawn.inFlight, prefillMs: drawn.prefillMs,
		startedAt: now,
	}
	call.expectedMs = drawn.queueMs + pool.ownTime(call)
	if role == Prefill {
		call.uncachedMs = drawn.queueMs + pool.prefillTime.at(float64(chain.tokens))/drawn.speed
	}
	server.beginCall(call)
	if pool.service.Engine != nil {
		call.cachedBefore = s.prefixes.record(server.hash, chain)
		s.recordNewPrefix(call)
	}
	return call
}

// ObserveLoad records the load that a server, named by its id, reported with an answer that has just come.
func (s *Scheduler) ObserveLoad(now time.Duration, id string, load Load) {
	s.ObserveLoadAt(now, id, load)
}

// ObserveLoadAt records the load that a server reported at an earlier time: to another proxy, or in a report
// of its own. A report that is older than one that is known changes nothing.
func (s *Scheduler) ObserveLoadAt(at time.Duration, id string, load Load) {
	server := s.servers[id]
	if server == nil {
		return
	}
	if !server.recordReport(at, load) {
		return
	}
	if pool := s.pools[server.Service]; pool != nil {
		pool.recordUtilization(server)
	}
}

// RecordStall records that this process has not run for that long until now: what calls in flight took says
// nothing of their servers.
func (s *Scheduler) RecordStall(length time.Duration) {
	for _, server := range s.servers {
		for _, call := range server.calls {
			call.stalled += length
		}
	}
}

// Ejections returns how often servers were ejected so far.
func (s *Scheduler) Ejections() (total int64) {
	for _, pool := range s.pools {
		total += pool.ejections
	}
	return total
}

// LastSuccess is the newest call of this proxy that a server served.
type LastSuccess struct {
	Exists bool          // the server has served one
	At     time.Duration // when it ended
}

// LastSuccess returns the newest call that a server, named by its id, served.
func (s *Scheduler) LastSuccess(id string) LastSuccess {
	server := s.servers[id]
	if server == nil || server.outliers.lastSuccess == 0 {
		return LastSuccess{}
	}
	return LastSuccess{Exists: true, At: server.outliers.lastSuccess}
}

// FirstEvent records that the server of a call has begun to answer.
func (s *Scheduler) FirstEvent(now time.Duration, call *Call) {
	if call.answered {
		return
	}
	call.answered, call.firstEventAt = true, now
	call.state.endPrefill(now, call)
	if call.stalled > 0 {
		return
	}
	tookMs := ms(now - call.startedAt)
	// A server that has cached less of the prompt than assumed is not late for that.
	expectedMs := max(call.expectedMs, call.uncachedMs)
	call.state.lateness.add(now, tookMs-expectedMs, expectedMs)
}

// Done ends a call and learns from its outcome. A second Done of a call does nothing.
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
