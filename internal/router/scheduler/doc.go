// Package scheduler decides which servers a request of the router fleet goes to. A request to a model service
// is either split (disaggregated serving): one server prefills, that is, it computes the prompt's prefix
// cache (KV cache), and another fetches that cache and decodes, that is, it generates the tokens; or one
// server does both. A request to any other service goes to one server.
//
// # Decision
//
// Scheduler.Choose works in steps, each in a file of its own:
//
//   - candidates.go: the servers that may take the call, without those that are ejected or full;
//     outlier_detection.go ejects servers after consecutive failures (Envoy's outlier detection) and lets
//     them back in through a half-open state.
//   - prefix_affinity.go and zone_preference.go narrow them down: a prefill goes to the servers that have
//     cached the shared part of its prompt or rank first for it by rendezvous hashing, a decode to the zone
//     of its prefill server.
//   - water_level.go estimates the queue of each candidate in milliseconds of its work.
//   - basic_li.go draws one at random from the probabilities of Basic LI (Dahlin, "Interpreting Stale Load
//     Information", 1999): the water levels of the candidates are filled up with the work that arrives while
//     no newer load is known (arrivals.go).
//
// # State
//
// Per server: the load that it reported last, this proxy's own calls, speed, lateness and outlier detection
// (server_state.go). Per service: estimates of prefill time, time per output token and utilization
// (service_pool.go, estimates.go). Over all: which servers have cached which prefixes (prefix_index.go), and
// what the other proxies have in flight (peer_load.go). Nothing is persisted.
//
// # Concurrency
//
// The package is pure: it has no input, output, clock, goroutine or lock. A Scheduler and its Calls are used
// by one goroutine at a time; package dataplane holds a mutex around every call. Times are durations on the
// caller's steady clock. With the same seed and the same calls it makes the same decisions.
package scheduler
