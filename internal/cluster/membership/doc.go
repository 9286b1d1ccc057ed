// Package membership decides what the fleet's view says of each member, from what the gossip layer observes.
//
// It is pure: no I/O, no clock, no goroutines. The caller, package gossip, passes time as a monotonic
// duration since a start of its own, and reads the view back; it keeps calls on one View from running at
// once. The gossip layer (SWIM, Das, Gupta and Motivala, DSN 2002, with the Lifeguard refinements of
// Dadgar, Phillips and Currey, 2018) says alive, suspect, dead or left. This package adds what the fleet's
// other parts need:
//
//   - a member counts as gone, so that others may replace it, only once it has been dead or left without
//     interruption for GoneAfter, longer for each recent flap (hysteresis), never on one suspicion;
//   - a new incarnation under the same name (a restart) is reported as such, not as a join;
//   - of two live processes that claim one name, the later claim is rejected and reported as a conflict;
//   - the table is bounded: members left or gone for Settings.ForgetAfter are dropped, and beyond
//     Settings.MaxMembers a new name is rejected.
//
// States of a member: alive, suspect, dead or left as in SWIM, and independently gone or not. A suspect is
// alive again when it refutes; a leave is final for its incarnation; Tick makes dead and left members gone,
// which ends when the member returns or is forgotten.
package membership
