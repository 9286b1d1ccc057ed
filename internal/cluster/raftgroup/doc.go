// Package raftgroup replicates logs among the members of the fleet. Each group has three or five replicas and
// one log, which Raft (Ongaro and Ousterhout, USENIX ATC 2014) keeps the same on all of them. The package
// drives go.etcd.io/raft as etcd's server does, stores its data with go.etcd.io/bbolt, and applies committed
// commands to a StateMachine. Committed entries are on the synced disks of a majority and survive the loss of
// any one machine with its disk.
//
// A Host runs a member's replicas of all groups; a group is its replica of one of them. A replica is
// identified by the ID of the disk that holds it. That ID is drawn at random when the store is created, so
// that a member that lost its disk comes back as a different replica.
//
// Life cycle of a group: at first no member has a replica. The member that ranks first bootstraps the group,
// once, after a majority has voted for that (bootstrap.go). The group's leader adds and replaces replicas as
// package placement decides (reconfigure.go). A removed replica deletes its data (group.run), also if it was
// unreachable when it was removed (roster.go).
//
// Path of a command: Propose sends it to the leader (client.go, rpc.go, inbound.go), whose group proposes it
// to raft (calls.go). The group stores each raft.Ready, sends the messages in it (ready.go, store.go,
// sender.go) and applies the committed entries in it (apply.go). The result goes to the proposer. Read asks
// any replica for a linearizable read by ReadIndex.
//
// Concurrency: methods of Host may be called from any goroutine. Each group's raft state and StateMachine
// belong to one goroutine (group.run), which others reach by channels. The network has a goroutine for each
// inbound connection and for each replica that it sends to. Close ends all of them and waits until they have
// returned.
package raftgroup
