// Package membership maintains the fleet's view: the state of each member, derived from the observations of
// the gossip layer.
//
// It is pure: no I/O, no clock, no goroutines. The caller, package gossip, passes time as a monotonic
// duration since a start that it chooses, and serializes the calls on a View. The gossip layer (SWIM, Das,
// Gupta and Motivala, DSN 2002, with the Lifeguard refinements of Dadgar, Phillips and Currey, 2018) reports
// members as alive, suspect, dead or left. This package adds what the other users of the view need:
//
//   - a member counts as gone, so that others may replace it, only once it has been dead or left without
//     interruption for Settings.GoneAfter, and longer for each recent flap (hysteresis); a suspicion alone is
//     never enough;
//   - a new incarnation under the same name is reported as a restart, not as a join;
//   - of two live processes that claim one name, the later claim is rejected and reported as a conflict;
//   - the table is bounded: members that have left or are gone are dropped after Settings.ForgetAfter, and
//     beyond Settings.MaxMembers a new name is rejected.
//
// The state of a member is its SWIM status (alive, suspect, dead or left) and, in addition, whether it is
// gone. A suspect member becomes alive again when it refutes the suspicion. A leave is final for its
// incarnation. View.Tick makes dead and left members gone; they are gone until they return or are
// forgotten.
package membership
