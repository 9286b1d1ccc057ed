// Package balance makes the decisions of one client proxy: which server each request is sent to, and its
// retries, hedged attempts and rejections, as well as health probes and the ejection of servers.
//
// A Balancer is a deterministic state machine without I/O, clock or goroutines, like the core of etcd's raft.
// The caller reports each event (a request, the outcome of an attempt or a probe, a server list, a timer)
// with the reading of its own clock, and executes the actions that the call appends to its buffer. The same
// settings and the same events give the same actions. A Balancer is not safe for concurrent use; the caller
// serializes the events.
//
// # Events
//
//   - Request, ClientDisconnected: a client's request, and its end by the client before the response.
//   - Outcome, StreamStarted: the end of an attempt, and the beginning of a streamed response.
//   - BodyConsumed, BodySent: a body is no longer retained for another attempt, and its last byte was sent.
//   - Probed: the end of a health probe, with a load report.
//   - List: a server list of the registry, or the failure to get one.
//   - Timer: the end of the wait of a SetTimer action.
//
// Each request gets exactly one final response, unless its client disconnects first: that of an attempt,
// reported with Outcome.Final, or one of the actions Reject and Fail.
//
// # Selection
//
// Servers report how many requests they have in flight and queued, in probe responses or in responses to
// requests. Reports are stale, so always selecting the least loaded server would overload it. Basic LI of
// Dahlin, "Interpreting Stale Load Information", instead estimates the arrivals since the reports and spreads
// them over the reported loads by water-filling; the fraction of them that a server gets is the probability
// of its selection. The balancer extends Basic LI by
//
//   - weights: the capacities of servers as measured from latencies, reduced in slow start;
//   - the requests that this balancer sent itself since a report;
//   - selection from a sample of servers probed just before, where a probe costs less than it gains (LI-k);
//   - a penalty for servers of other zones;
//   - affinity to servers that have the key of a request cached.
//
// # Health
//
// A server is ejected after consecutive failures (outlier detection as in Envoy), for a time that doubles
// with each ejection, and is half open until its next success. A class that a server fails to answer is
// ejected on this server alone. When too few servers are healthy, ejected servers that can be reached are
// used too (panic threshold).
//
// # Retries and rejection
//
// Retries and hedged attempts draw on one retry budget and respect the effect of a class: idempotent,
// deduplicated within a scope and a time window, or at most once. A request whose expected wait takes up too
// much of its latency target is rejected before its first attempt, with the probability rejectFraction.
//
// # Units
//
// Times are readings of the caller's clock, of type time.Duration; estimates are kept as float64 seconds.
// Capacities, weights and ratings are relative to the mean server, loads are numbers of requests, and costs
// are fractions of a request's value.
//
// The files that deploy/balancer.toml lists under policy contain all decisions.
package balance
