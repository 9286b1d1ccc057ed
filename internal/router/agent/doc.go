// Package agent is one process of the router fleet. It knows the model servers and the other processes,
// replicates the configuration where its machine has a disk, and runs the data plane that serves clients.
//
// # Roles
//
// A process whose machine has a disk may be a member of the chain, which replicates the configuration
// (package chain: chain replication, with Paxos deciding its views; chainMember runs it here). The members of
// the current view, and the seeds until a view is known, are the hubs: every process sends them its own
// record and those of the servers that call it, and hubs repair differences between their directories by
// anti-entropy. Every process that is not a hub follows the feed of one hub, which begins with a snapshot and
// goes on with numbered changes, as Consul's watches do. The head of the chain also assigns the prefill and
// decode roles of model servers (roleAssigner).
//
// Failures are detected as in SWIM: each record names the watcher that monitors its process by heartbeats, a
// hub probes a server whose watcher is lost before it marks the server lost, and whoever is marked lost
// refutes that under a higher sequence number.
//
// # States
//
// A process starts, opens its disk, and is unready until it has a configuration and is synced, that is, has
// received a snapshot of the fleet. After SIGTERM it shuts down by its shutdownPlan: it is unready at once,
// still accepts clients for a while, finishes or aborts requests, hands off its replica of the configuration,
// and announces its end.
//
// # Concurrency
//
// Run may be called once. Reload, ReloadFailed, WriteMetrics and the accessors are safe for concurrent use.
// Run starts the goroutines of the agent and signals them to end before it returns; calls in flight end by
// their timeouts. The state has one lock; the functions given to its update and read methods run with it
// held, and must not take it again. The locks of the hubs, the subscription and the load table may be taken
// before that of the state, never after it. The state machine of the chain belongs to the chain goroutine
// alone.
package agent
