// Package gossip maintains this proxy's view of the other proxies: SWIM membership (Das, Gupta and Motivala,
// DSN 2002) with the Lifeguard refinements, by github.com/hashicorp/memberlist. Package membership decides
// what the view says of each member; this package does the I/O around both: it joins by seeds, carries
// metadata, rejoins after partitions, and leaves gracefully.
//
// memberlist's events change the view (delegates.go). What memberlist has no event for, suspicions and
// their refutations, is taken from the messages that it sends (observe.go). A loop exchanges full states
// with random members, rejoins lost ones and asks suspects to refute (sync.go, suspicion.go). memberlist
// reaches the network through a transport that checks labels and bounds and counts traffic (transport.go,
// wire.go).
//
// Concurrency: methods of Fleet may be called from any goroutine. Fleet.mu guards the view and all that is
// derived from it; it is never held while memberlist is called, which holds locks of its own when it calls
// the delegates. Fleet runs two loops and short-lived goroutines, which Leave and Close end and await.
package gossip
