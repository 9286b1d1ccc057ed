// Package scheduler chooses the servers that a proxy sends a request to. A request to a model service is
// either split (disaggregated serving): one server prefills, that is, it computes the prompt's prefix cache
// (KV cache), and another fetches that cache and decodes, that is, it generates the tokens; or one server
// does both. A request to any other service goes to one server.
//
// # Decision
//
// Scheduler.Choose selects a server in these steps:
//
//   - candidates.go lists the servers that may take the call and leaves out those that are ejected or full.
//     outlier_detection.go ejects servers after consecutive failures (Envoy's outlier detection) and
//     readmits them through a half-open state.
//   - prefix_affinity.go and zone_preference.go restrict the candidates: a prefill goes to the servers that
//     have cached the shared prefix of its prompt or rank first for it by rendezvous hashing, a decode to the
//     zone of its prefill server.
//   - water_level.go estimates the queue of each candidate in milliseconds of work.
//   - basic_li.go draws one candidate at random with the probabilities of Basic LI (Dahlin, "Interpreting
//     Stale Load Information", 1999): water-filling distributes the work that arrives while no newer load is
//     known (arrivals.go) over the queues of the candidates.
//
// # State
//
// Per server: its newest load report, this proxy's own calls, its relative speed, lateness and outlier
// detection (server_state.go), and what the other proxies have in flight there (peer_load.go). Per service:
// estimates of prefill time, time per output token and utilization (service_pool.go, estimates.go). For all
// services together: which servers have cached which prefixes (prefix_index.go). Nothing is persisted.
//
// # Concurrency
//
// The package performs no I/O, reads no clock, starts no goroutine and holds no lock. A Scheduler and its
// Calls must be used by one goroutine at a time; package dataplane holds a mutex around every call. Times are
// durations on the caller's monotonic clock. The same seed and the same calls lead to the same decisions.
package scheduler
