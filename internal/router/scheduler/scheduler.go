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
	// newPrefixes holds the hashes of shared prefixes that have not been reported to the other proxies yet,
	// by server id.
	newPrefixes map[string][]uint64

	// assumeCachedUntil is the time until which servers may have cached prefixes that this proxy got no
	// report of.
	assumeCachedUntil time.Duration
	// peerLoadAt is when the other proxies last reported their in-flight load, 0 if they never did.
	peerLoadAt time.Duration

	// Buffers of the current decision, reused by the next one.
	candidates      []candidate
	levels, weights []float64
}

// New returns the Scheduler of a proxy in the given zone. The seed determines all its random draws.
func New(zone string, seed uint64) *Scheduler {
	return &Scheduler{
		zone: zone, random: rand.New(rand.NewPCG(seed, 1)), table: catalog.NewTable(nil),
		servers: map[string]*serverState{}, pools: map[string]*servicePool{},
		prefixes: newPrefixIndex(maxPrefixEntries), newPrefixes: map[string][]uint64{},
	}
}

// Update replaces the table of servers and drops the state of servers that are no longer listed.
func (s *Scheduler) Update(now time.Duration, table *catalog.Table) {
	s.table = table
	for id := range s.servers {
		if table.ByID(id) == nil {
			delete(s.servers, id) // its prefixes stay indexed, as it may be listed again soon
		}
	}
	for _, pool := range s.pools {
		pool.setTable(now, table, s.servers)
	}
}

// pool returns the state of a service, with its server lists from the newest table.
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

// Choose selects the server for a call of a role and counts the call as in flight there until Done. It
// returns nil if no server may take the call. For Decode, prefillServer is the server that holds the prompt's
// prefix cache; for the other roles it is nil.
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

// begin creates the call at the candidate that was drawn for it and counts it as in flight there.
func (s *Scheduler) begin(
	now time.Duration, pool *servicePool, request *Request, role Role, chain *prefixChain, drawn *candidate,
) *Call {
	const idleThreshold = 0.5 // requests; the number in flight is an estimate and needn't be whole
	server := drawn.serverState
	call := &Call{
		Server: server.Server, Role: role, state: server, pool: pool, chain: *chain,
		uncachedTokens:    drawn.uncachedTokens,
		minUncachedTokens: drawn.minUncachedTokens, maxUncachedTokens: drawn.maxUncachedTokens,
		outputTokens: max(request.OutputTokens, 1),
		serverIdle:   drawn.inFlight < idleThreshold, inFlight: drawn.inFlight, prefillMs: drawn.prefillMs,
		startedAt: now,
	}
	call.expectedMs = drawn.queueMs + pool.unqueuedFirstByteMs(call)
	if role == Prefill {
		call.expectedUncachedMs = drawn.queueMs + pool.prefillTime.at(float64(chain.tokens))/drawn.speed
	}
	server.beginCall(call)
	if pool.service.Engine != nil {
		call.cachedBefore = s.prefixes.record(server.hash, chain)
		s.recordNewPrefix(call)
	}
	return call
}

// ObserveLoad records the load that the server of an id reported in a response that has just arrived.
func (s *Scheduler) ObserveLoad(now time.Duration, id string, load Load) {
	s.ObserveLoadAt(now, id, load)
}

// ObserveLoadAt records the load that a server reported at an earlier time, either to another proxy or in a
// report of its own, without a response. It ignores a report that is older than the newest known one.
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

// RecordStall records that this process did not run for the given time until now. The durations of the calls
// in flight then say nothing about their servers.
func (s *Scheduler) RecordStall(length time.Duration) {
	for _, server := range s.servers {
		for _, call := range server.calls {
			call.stallTime += length
		}
	}
}

// Ejections returns the number of times that servers have been ejected.
func (s *Scheduler) Ejections() (total int64) {
	for _, pool := range s.pools {
		total += pool.ejections
	}
	return total
}

// LastSuccess describes the newest call of this proxy that a server completed successfully.
type LastSuccess struct {
	Exists bool          // the server has completed a call successfully
	At     time.Duration // when that call ended
}

// LastSuccess returns the newest successful call at the server of an id.
func (s *Scheduler) LastSuccess(id string) LastSuccess {
	server := s.servers[id]
	if server == nil || server.outliers.lastSuccess == 0 {
		return LastSuccess{}
	}
	return LastSuccess{Exists: true, At: server.outliers.lastSuccess}
}

// FirstEvent records that the server of a call has begun its response. Only the first one of a call counts.
func (s *Scheduler) FirstEvent(now time.Duration, call *Call) {
	if call.answered {
		return
	}
	call.answered, call.firstEventAt = true, now
	call.state.endPrefill(now, call)
	if call.stallTime > 0 {
		return
	}
	elapsedMs := ms(now - call.startedAt)
	// A server that has cached less of the prompt than this proxy assumed does not count as late for that.
	expectedMs := max(call.expectedMs, call.expectedUncachedMs)
	call.state.lateness.add(now, elapsedMs-expectedMs, expectedMs)
}

// Done ends a call and updates the estimates and the outlier detection by its outcome. A second Done for the
// same call does nothing.
func (s *Scheduler) Done(now time.Duration, call *Call, outcome Outcome) {
	if call.ended {
		return
	}
	call.ended = true
	call.state.endCall(now, call)
	if outcome == Served {
		s.FirstEvent(now, call)
		call.recordSuccess(now)
		call.pool.updateEstimates(now, call)
		return
	}
	call.recordFailure(now, outcome)
	if !call.answered {
		s.prefixes.drop(call.state.hash, &call.chain, call.cachedBefore)
	}
}
