// Package chain keeps one configuration register alike on the machines of a fleet that have a disk. It is a
// set of pure state machines: events and the time go in; durable records, messages and replies come out.
//
// The register is replicated by chain replication. A view names the members, who vote, and the chain, whose
// head takes writes and whose tail answers reads. A write passes from the head to the tail, each member makes
// it durable before it passes it on, and it is committed when the tail has it. At the start of an epoch the
// head sends its latest entry down the chain once more; before that has come back it serves nothing.
//
// The members of a view decide the next view by one instance of single-decree Paxos. The planner proposes a
// view without members that are silent, with members that have come back at the end of the chain, and with
// another machine in place of a member that is gone. A message of an older epoch is answered by the view.
//
// The caller owns clock, disk and network. It makes Effects.Persist durable before it sends a message or a
// reply of the same effects, and calls PersistFailed if it could not.
package chain
