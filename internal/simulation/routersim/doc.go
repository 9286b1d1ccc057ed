// Package routersim plays model requests through a router fleet in virtual time: proxies that each decide
// with a policy of their own, prefill servers and decode servers with prefix caches, continuous batching and
// chunked prefill. The real decisions (package scheduler), baseline policies and a clairvoyant bound play the
// same requests, so that their results can be compared.
//
// It models latency between zones, transfers of prefix caches over a link for each server, steps of a batch
// whose time depends on what it prefills and decodes, what proxies tell each other, and crashes and slow
// servers. It leaves out the contents of prompts, HTTP and its connections, lost messages, the time that a
// proxy itself takes, and changes of a server's role; servers preempt no request, and proxies don't fail.
// A running request reserves all tokens that its prompt and answer need in its server's cache from the start.
//
// The state of a run is a fleet: a virtual clock with a queue of events, servers with their jobs, and proxies
// with their exchanges (requests under way). A job waits for a slot, runs in the batch of its server's steps,
// and ends with its last token, with its client's leaving or with a crash.
//
// Run plays one Scenario with one policy. It is single-threaded: it has no input, output or goroutine. The
// clock is a time.Duration from the start of the run, which only events advance; all events run in its order,
// and the same scenario and seed give the same result everywhere. Several runs may go on at once. LoadCycle
// plays a scenario while its load rises over the capacity and falls again; `cresshub-lab overload` draws what
// it returns. The other runs are those of its own tests; with -v they print the tables of
// docs/design/routing.md and docs/experiments/long-prompts.md.
//
// Sources: the separation of prefill and decode follows DistServe (Zhong et al., OSDI 2024) and Splitwise
// (Patel et al., ISCA 2024); the baselines name theirs.
package routersim
