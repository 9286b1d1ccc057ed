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
// # Parts
//
// Agent starts the parts and shuts them down; each part is a type of its own. It has as fields the parts that
// it calls, and the process, which is what any of them may need and knows no part. Only peerHandler has the
// Agent, as the frames that it hands on concern almost all parts. To find the code of a topic:
//
//   - who this process is, its clock, machine, log and metrics: process
//   - what the process knows: state, selfRecord, lastSeen, knownProxies, persister
//   - links to the hubs, heartbeats, replication of records, majorities: hubSet, hubExchange, quorum
//   - feeds: subscription on the follower's side, feedServer on the hub's; antiEntropy
//   - frames that others send on connections of theirs: peerHandler
//   - failure detection, refutation: failureDetector (also in unwatched.go), selfRecord
//   - the view and its members: viewAnnouncer; chainMember, behind the interface configStore, with chainLog,
//     chainLinks, chainRequests, chainPublisher and bootstrapper
//   - the configuration in force, from and to others: configSync
//   - in-flight load, demand and roles: loadTable, demandTable, roleAssigner
//   - calls at the control address: configEndpoint, serverEndpoint, listEndpoint, metricsEndpoint
//   - what the data plane sees: dataplaneState; what the agent sees of the data plane: Workload
//
// # Concurrency
//
// Run may be called once. Reload, ReloadFailed, WriteMetrics and the accessors are safe for concurrent use.
// Run starts the goroutines of the agent and signals them to end before it returns; calls in flight end by
// their timeouts.
//
// These goroutines run until the shutdown is over:
//
//   - subscription.run updates the links to the hubs and chooses the one to follow
//   - viewAnnouncer.run, which has at most maxConcurrentAnnouncements announcements in flight
//   - failureDetector.run, which has at most maxConcurrentProbes probes in flight
//   - antiEntropy.run, demandTable.run and loadTable.report
//   - on a machine with a disk, persister.run, and deferredStore.run until the disk is open
//   - with an open disk, chainMember.run (the chain goroutine) and chainPublisher.applyCommitted, and
//     roleAssigner.run where the process assigns roles, with one more for each order that it sends
//   - one for each listener
//
// Others live as long as what they serve:
//
//   - for each link to a hub: hubExchange.runPings, hubExchange.runPushes and the one of the link, which
//     handles what the hub sends unasked (hubExchange.handleFrame)
//   - for each connection of another process: the one that reads it (peerHandler.Handle), and
//     feedServer.serve for a follower
//   - for each connection at the control address and the address for readiness checks: the one of package
//     controlserver, which runs the handlers of the endpoints
//   - short ones for a call on the configuration (peerHandler.serveConfigCall, and one for each member that a
//     call is tried at), a fetch of it (configSync.fetch), the links to a view learned from a feed, and
//     draining the replica at the shutdown
//
// The state machine of the chain and its log (chainLog) belong to the chain goroutine alone. Others hand it
// events with chainMember.post, which get the state machine once they run there, and read what chainPublisher
// publishes in atomic fields and channels.
//
// # Locks
//
// A lock guards the fields below it in its struct, up to an empty line. It may be taken while others are held
// only if all of those are in earlier lines here:
//
//  1. subscription: what is followed, and how far it was received; loadTable: the load and the new prefixes
//  2. hubSet: the set of links, not the links themselves
//  3. selfRecord: this process's own record
//  4. state: the directory, the view and the cached patches; it also orders the writes of the atomic fields
//     and guards, outside of its struct, failureDetector.observingSince and dataplaneState.lossReports
//  5. hub (one link), lastSeen, knownProxies, demandTable, feedServer, probeSet, packedConfigCache,
//     broadcast, chainLinks and pendingRequests
//  6. those of the data plane and of packages transport, metrics and segmentlog
//
// The functions given to update and read of the state run with its lock held. They must not take it again,
// nor one of an earlier line. The data plane calls ReportReplaced and Suspect of dataplaneState with none of
// its locks held.
//
// The path of requests reads the configuration, the table of servers and the number of proxies from atomic
// fields of the state. It takes the lock of the state only to report a server as lost.
package agent
