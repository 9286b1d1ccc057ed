// Package agent implements one process of the router fleet. The process tracks the model servers and the
// other processes, replicates the configuration if its machine has a disk, and runs the data plane that
// serves clients.
//
// # Roles
//
// A process whose machine has a disk may be a member of the chain, which replicates the configuration
// (package chain: chain replication, with Paxos deciding its views; chainMember runs it here). The members of
// the current view, and the seeds until a view is known, are the hubs: every process sends them its own
// record and those of the servers that call it, and hubs repair differences between their directories by
// anti-entropy. Every process that is not a hub follows the feed of one hub, which begins with a snapshot and
// continues with numbered changes, like a Consul watch. The head of the chain also assigns the prefill and
// decode roles of model servers (roleAssigner).
//
// Failures are detected as in SWIM: each record names the watcher that monitors its process by heartbeats, a
// hub probes a server whose watcher is lost before it marks the server lost, and whoever is marked lost
// refutes that under a higher sequence number.
//
// # States
//
// A process starts, opens its disk, and is unready until it has a configuration and is synced, that is, its
// directory is complete enough to serve clients (state.setSynced). After SIGTERM it follows its shutdownPlan:
// it is unready at once, still accepts clients for a while, finishes or aborts requests, hands off its
// replica of the configuration, and announces that it has ended.
//
// # Parts
//
// Agent starts the parts and shuts them down. Each part is a type of its own, whose fields are the parts that
// it calls and the process, which holds what every part may need and depends on none of them. No part has a
// reference to the Agent. To find the code of a topic:
//
//   - identity, clock, machine, log and metrics of this process: process
//   - what the process knows: state, selfRecord, lastSeen, knownProxies, persister
//   - links to the hubs, heartbeats, replication of records, majorities: hubSet, hubExchange, quorum
//   - feeds: subscription on the follower's side, feedServer on the hub's; antiEntropy
//   - frames on connections that other processes have opened: peerHandler
//   - failure detection, refutation: failureDetector (also in unwatched.go), selfRecord
//   - the view and its members: viewAnnouncer; chainMember, behind the interface configStore, with chainLog,
//     chainLinks, chainRequests, chainPublisher and bootstrapper
//   - the configuration in force, received from and sent to other processes: configSync
//   - in-flight load, demand and roles: loadTable, demandTable, roleAssigner
//   - calls at the control address: configEndpoint, serverEndpoint, listEndpoint, metricsEndpoint
//   - the interface from the data plane to the agent: dataplaneState; from the agent to the data plane:
//     Workload
//
// # Concurrency
//
// Run may be called once. Reload, ReloadFailed, WriteMetrics and the accessors are safe for concurrent use.
// Run starts the goroutines of the agent and signals them to end before it returns; calls in flight end at
// their timeouts at the latest.
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
// Others run as long as the link, connection or call that they serve:
//
//   - for each link to a hub: hubExchange.runPings, hubExchange.runPushes and the one of the link, which
//     handles the frames that the hub sends unsolicited (hubExchange.handleFrame)
//   - for each connection of another process: the one that reads it (peerHandler.Handle), and
//     feedServer.serve for a follower
//   - for each connection at the control address and the address for readiness checks: the one of package
//     controlserver, which runs the handlers of the endpoints
//   - short ones for a call on the configuration (peerHandler.serveConfigCall, and one for each member at
//     which a call is attempted), for fetching the configuration (configSync.fetch), for opening the links to
//     the members of a view learned from a feed, and for draining the replica at the shutdown
//
// The state machine of the chain and its log (chainLog) belong to the chain goroutine alone. Other goroutines
// queue events for it with chainMember.post; an event gets access to the state machine when it runs there.
// They read what chainPublisher publishes in atomic fields and channels.
//
// # Locks
//
// A lock guards the fields below it in its struct, up to the next empty line. It may be acquired while other
// locks are held only if all of those are in earlier lines of this list:
//
//  1. subscription: the hub that is followed and the offset received; loadTable: the load and the new
//     prefixes
//  2. hubSet: the set of links, not the links themselves
//  3. selfRecord: this process's own record
//  4. state: the directory, the view and the cached patches; it also orders the writes of the atomic fields
//     and guards, outside of its struct, failureDetector.observingSince and dataplaneState.lossReportLimiter
//  5. hub (one link), lastSeen, knownProxies, demandTable, feedServer, probeSet, packedConfigCache,
//     broadcast, chainLinks and pendingRequests
//  6. those of the data plane and of packages transport, metrics and segmentlog
//
// The functions passed to state.update and state.read run with the lock of the state held. They must not
// acquire it again, nor a lock of an earlier line. The data plane calls dataplaneState.ReportReplaced and
// dataplaneState.Suspect with none of its own locks held.
//
// The request path reads the configuration, the table of servers and the number of proxies from atomic fields
// of the state. It acquires the lock of the state only to report a server as lost.
package agent
