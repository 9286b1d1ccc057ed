// Package routersim plays model requests through a router fleet in virtual time: proxies that each decide
// with a policy of their own, prefill servers and decode servers with prefix caches, continuous batching and
// chunked prefill. The real decisions (package scheduler), baseline policies and a clairvoyant bound play the
// same requests, so that their results can be compared.
//
// The state of a run is a fleet: a virtual clock with a queue of events, servers with their jobs, and proxies
// with their exchanges (requests under way). A job waits for a slot, runs in the batch of its server's steps,
// and ends with its last token, with its client's leaving or with a crash.
//
// Run plays one Scenario with one policy. It is pure and single-threaded: it has no input, output, clock or
// goroutine, all events run in the order of the virtual clock, and the same scenario and seed give the same
// result everywhere. Several runs may go on at once. Only its own tests use it; with -v they print the tables
// of docs/design/routing.md and docs/experiments/long-prompts.md.
package routersim
