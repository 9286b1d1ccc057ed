package routersim

import (
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/scheduler"
)

// serverQueues is what the clairvoyant policies of all proxies know together of the servers, by their ids.
type serverQueues map[string]*serverQueue

// serverQueue is what was sent to one server.
type serverQueue struct {
	freeAt       time.Duration   // when the server has done all of it
	cached       map[string]bool // paths of segments; the bound has none evicted
	promptTokens int             // of all requests
}

// of returns the queue of a server.
func (q serverQueues) of(server string) *serverQueue {
	if q[server] == nil {
		q[server] = &serverQueue{cached: map[string]bool{}}
	}
	return q[server]
}

// clairvoyant is an upper bound, not a policy that could be built: each request goes to the server that will
// be done with it first, by all that was sent from anywhere, known at once; of equal ones to that which was
// sent the fewest tokens. What it cannot serve in time hardly any choice of servers could.
type clairvoyant struct {
	queues serverQueues
	table  *catalog.Table
	engine *Engine
}

// Clairvoyant returns the bound for servers with an engine.
func Clairvoyant(engine Engine) PolicyFactory {
	return PolicyFactory{"clairvoyant", func(string, uint64) Policy { return &clairvoyant{engine: &engine} }}
}

// Update implements Policy.
func (c *clairvoyant) Update(_ time.Duration, table *catalog.Table) { c.table = table }

// maxDirectTokens is the longest prompt that the bound does not split.
const maxDirectTokens = 2000

// Split implements Policy; it splits all but short prompts, as the scheduler does.
func (c *clairvoyant) Split(_ time.Duration, request *scheduler.Request) bool {
	return request.PromptTokens > maxDirectTokens
}

// Choose implements Policy.
func (c *clairvoyant) Choose(
	now time.Duration, request *scheduler.Request, role scheduler.Role, prefillServer *catalog.Server,
) *scheduler.Call {
	var best *catalog.Server
	var bestDone time.Duration
	for _, server := range c.table.Service(request.Service.Name) {
		if (server.Role == catalog.Prefill) != (role == scheduler.Prefill) {
			continue
		}
		done := c.doneAt(now, server, request, role, prefillServer)
		if best == nil || done < bestDone || done == bestDone &&
			c.queues.of(server.ID).promptTokens < c.queues.of(best.ID).promptTokens {
			best, bestDone = server, done
		}
	}
	if best == nil {
		return nil
	}
	queue := c.queues.of(best.ID)
	queue.freeAt = bestDone
	queue.promptTokens += request.PromptTokens
	for _, path := range segmentPaths(request.Segments) {
		queue.cached[path] = true
	}
	return &scheduler.Call{Server: best, Role: role}
}

// doneAt returns when a server would have the prefill of a request, or its first token.
func (c *clairvoyant) doneAt(
	now time.Duration, server *catalog.Server, request *scheduler.Request, role scheduler.Role,
	prefillServer *catalog.Server,
) time.Duration {
	queue := c.queues.of(server.ID)
	start := max(now, queue.freeAt)
	if role == scheduler.Decode {
		ms := c.engine.transferMs(request.PromptTokens)
		if server.Zone != prefillServer.Zone {
			ms *= crossZoneFactor
		}
		return start + milliseconds(ms)
	}
	tokens, cached := 0, 0 // of the prompt, and of its prefix up to the last cached segment
	for i, path := range segmentPaths(request.Segments) {
		if tokens += request.Segments[i].Tokens; queue.cached[path] {
			cached = tokens
		}
	}
	uncached, factor := float64(tokens-cached), 1.0
	if role == scheduler.Serve {
		factor = decodePrefillFactor
	}
	pairs := comparedPairs(uncached, float64(cached))
	return start + milliseconds(factor*c.engine.prefillMs(uncached, pairs))
}

// ObserveLoad implements Policy; it does nothing.
func (c *clairvoyant) ObserveLoad(time.Duration, string, scheduler.Load) {}

// FirstEvent implements Policy; it does nothing.
func (c *clairvoyant) FirstEvent(time.Duration, *scheduler.Call) {}

// Done implements Policy; it does nothing.
func (c *clairvoyant) Done(time.Duration, *scheduler.Call, scheduler.Outcome) {}
