// Package gossip maintains this proxy's view of the other proxies: SWIM membership (Das, Gupta and Motivala,
// DSN 2002) with the Lifeguard refinements, by github.com/hashicorp/memberlist. Package membership keeps the
// view and decides each member's status; this package connects it with memberlist and the network: it joins
// the fleet by its seeds, publishes metadata, rejoins after partitions, and leaves gracefully.
//
// memberlist's events change the view (delegates.go). memberlist has no events for suspicions and
// refutations; they are read from the messages that it sends (observe.go). A loop exchanges full states
// (memberlist's push/pull) with random members, rejoins dead ones and lets suspects refute (sync.go,
// suspicion.go). memberlist reaches the network through a transport that checks labels and bounds and counts
// traffic (transport.go, wire.go).
//
// Concurrency: methods of Fleet may be called from any goroutine. Fleet.mu guards the view and all that is
// derived from it; it is never held while memberlist is called, which holds locks of its own when it calls
// the delegates. Fleet runs two loops and short-lived goroutines, which Leave and Close stop and wait for.
package gossip
