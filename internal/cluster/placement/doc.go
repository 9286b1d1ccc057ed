// Package placement decides which members of the fleet have a group's replicas, and which one membership
// change brings a group nearer to that: add a learner, promote it, remove a replica. It is pure: no I/O, no
// clock, no goroutines, and its functions may be called from any goroutine. The caller, package raftgroup
// on a group's leader, passes the fleet's view and carries out the change.
//
// Members are ranked for each group by rendezvous hashing (Thaler and Ravishankar, 1998), so that every
// member ranks them alike and the loss of one moves only its own replicas. Replicas stay where they are
// while their members are live: a better ranked newcomer replaces none. A replica is replaced only once its
// member counts as gone (package membership's hysteresis, never one suspicion) or came back under another
// replica ID, which means that its disk is lost.
//
// A replacement is added as a learner, promoted once it has caught up, and only then the lost replica is
// removed (Ongaro's thesis, section 4.2.1), so that a group never has fewer voters meanwhile.
package placement
