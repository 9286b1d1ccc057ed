// Package raftgroup replicates logs among members of the fleet: groups of three or five replicas, each group
// with a log that Raft (Ongaro and Ousterhout, USENIX ATC 2014) keeps the same on all of them. It drives
// go.etcd.io/raft, as etcd's server does, stores with go.etcd.io/bbolt, and applies committed commands to a
// StateMachine. What is committed is on the synced disks of a majority and survives the loss of any one
// machine with its disk.
//
// A Host is a member's part in all groups; a group is its replica of one. A replica is known by the ID of the
// disk it is on, drawn when the store is made, so that a member that lost its disk comes back as another
// replica.
//
// Life of a group: no member has it; the member that ranks first bootstraps it, once, after a majority's
// votes (bootstrap.go); its leader adds and replaces replicas by the decisions of package placement
// (reconfigure.go); a removed replica deletes its data (run), also where it was unreachable while it was
// removed (roster.go).
//
// Life of a command: Propose sends it to the leader (client.go, rpc.go, inbound.go); the leader's group
// proposes it to raft (calls.go); a Ready of raft's is stored, its messages are sent (ready.go, store.go,
// sender.go) and its committed entries applied (apply.go); the result goes to the proposer. Read asks any
// replica for a linearizable read by ReadIndex.
//
// Concurrency: methods of Host may be called from any goroutine. Each group's raft state and StateMachine
// belong to one goroutine (group.run), which others reach by channels. The network has a goroutine for each
// inbound connection and for each replica it sends to. Close ends and awaits all of them.
package raftgroup
