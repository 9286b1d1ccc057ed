// Package placement decides which members of the fleet have the replicas of a Raft group, and which single
// membership change the group should make next to get there: add a learner, promote a learner to a voter, or
// remove a replica. It is pure: no I/O, no clock, no goroutines, and its functions may be called from any
// goroutine. The caller, package raftgroup on a group's leader, passes the fleet's view and proposes the
// change.
//
// Members are ranked for each group by rendezvous hashing (Thaler and Ravishankar, 1998), so that every
// member computes the same ranking and the loss of one member moves only its own replicas. A replica stays
// where it is while its member is live, even if a higher-ranked member joins. A replica is replaced only once
// its member counts as gone, for which package membership applies hysteresis so that a single suspicion is
// never enough, or once its member has returned with another replica ID, which means that its disk is lost.
//
// A replacement is added as a learner and promoted once it has caught up with the leader's log. Only then is
// the lost replica removed (Ongaro's thesis, section 4.2.1), so that the group has no fewer voters meanwhile.
package placement
