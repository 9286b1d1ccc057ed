// Package chain implements a replicated register that holds the fleet's configuration: one versioned value
// with linearizable reads and compare-and-set writes. Like go.etcd.io/raft it is a pure state machine. It
// starts no goroutine, reads no clock and touches neither disk nor network; its caller feeds it events and
// carries out the Effects that each one returns.
//
// # Protocol
//
// Values are replicated by chain replication (van Renesse and Schneider, OSDI 2004). A View names the
// members and, among them, the chain of replicas. Writes enter at the head and pass down the chain; each
// replica persists an entry before it forwards it, and the entry is committed once the tail has persisted
// it. Reads are batched at the head, and a Marker that travels the chain confirms, like Raft's ReadIndex,
// that the head had not been replaced.
//
// Views are numbered by epochs, as in Vertical Paxos (Lamport, Malkhi and Zhou, PODC 2009). The members of a
// view agree on its successor by one instance of single-decree Paxos (Lamport, "Paxos Made Simple"):
// Prepare, PrepareReply, Accept, AcceptReply. What is proposed comes from Plan, a function of the view and
// of what a member observes of the others: it removes members that have timed out from the chain, appends
// recovered members at its tail, and replaces a member that stays unavailable with another machine. A
// message of an older epoch is answered with the current view, which fences off a replaced head.
//
// A new epoch is closed until the head has resent its latest accepted entry down the full chain. A closed
// epoch serves no reads or writes. An epoch that can't be opened, because every replica that could be its
// head is unavailable, can be sealed: replicas promise never to open it, which proves that nothing was
// committed in it.
//
// The first view has no predecessor whose members could decide it: a bootstrapping node sends all members of
// a first view a BootstrapAccept, and the view is decided once all of them have accepted it. See
// Node.Bootstrap.
//
// # Use
//
// A Node is driven by one goroutine at a time; the package example runs a register of a single node:
//
//	node, effects, err := chain.Open(config, now(), records)
//	...
//	for {
//		for len(effects.Persist) > 0 && disk.Append(effects.Persist) != nil {
//			effects = node.PersistFailed(now())
//		}
//		send(effects.Messages)
//		reply(effects.Replies)
//		select {
//		case <-ticker.C: // several times per Config.HeartbeatInterval
//			effects = node.Tick(now())
//		case message := <-received:
//			effects = node.Receive(now(), message)
//		case call := <-calls:
//			effects = node.Propose(now(), call.number, call.proposal)
//		}
//	}
//
// Records of Effects.Persist have to be durable before any message or reply of the same Effects leaves the
// process. Times are durations since a start that the caller chooses; a time before that of the previous step
// counts as that time. Messages may be lost, delayed, reordered and duplicated, except that Forward and
// ForwardRead have to be delivered at most once.
package chain
