// Package balance decides, for one client proxy, which server each request is sent to, and with it retries,
// hedged attempts, rejections, health probes and the ejection of servers.
//
// A Balancer is a state machine without input, output, clock or goroutines, as the core of etcd's raft is.
// The caller reports each event (a request, the outcome of an attempt or a probe, a server list, a timer)
// with the reading of its own clock, and carries out the actions that the call appends to its buffer. The
// same settings and the same events give the same actions. A Balancer is not safe for concurrent use; the
// caller serializes its events.
//
// # Events
//
//   - Request, ClientGone: a client's request and its end by the client.
//   - Outcome, StreamStarted: the end of an attempt, and the beginning of a streamed response.
//   - BodyConsumed, BodySent: a body too large to be retained for another attempt, and its last byte.
//   - Probed: the end of a health probe, with a load report.
//   - List: what the registry lists.
//   - Timer: the end of the wait of a SetTimer action.
//
// Each request gets exactly one final response, unless its client leaves first: that of an attempt, reported
// by Outcome.Final, or one of the actions Reject and Fail.
//
// # Selection
//
// Servers report how many requests they have in flight and queued, in probe responses or in responses to
// requests. Reports are stale, so the least loaded server is not simply taken: Basic LI of Dahlin,
// "Interpreting Stale Load Information", spreads the arrivals of one report interval like water over the
// reported load, and a server's part of them is the probability of its selection. The balancer adds to it
//
//   - weights, the capacities of servers as measured from latencies, and slow start of new servers;
//   - the requests that it sent itself since a report;
//   - a sample of servers, probed just before, where a probe costs less than it gains (LI-k);
//   - a penalty for servers of other zones;
//   - affinity to servers that have the key of a request cached.
//
// # Health
//
// A server is ejected (outlier detection as in Envoy) after failures in a row, for a time that doubles with
// each ejection, and is half open until its next success. A class that a server leaves unanswered is ejected
// there alone. When too few servers are healthy, ejected ones that can be reached are used (panic threshold).
//
// # Retries and rejection
//
// Retries and hedged attempts draw on one retry budget and respect the effect of a class: idempotent,
// deduplicated inside a scope and a window, or at most once. A request whose expected wait takes up too much
// of its latency target is rejected before its first attempt, with the probability rejectFraction.
//
// # Units
//
// Times are readings of the caller's clock, of type time.Duration; estimates are kept as float64 seconds.
// Capacities, weights and ratings are relative to the mean server, loads are numbers of requests, and
// costs are fractions of a request's value.
//
// Every decision is in the files that deploy/balancer.toml lists under policy.
package balance
