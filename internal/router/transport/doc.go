// Package transport carries the frames of package peerproto between the processes of the fleet over TCP.
//
// An Endpoint represents a process on all its connections. It accepts connections from callers, whose frames
// are handled by a Handler, and opens Links to other processes. A Link maintains one connection to an address
// and reopens it with backoff whenever it ends. A Call over a Link is answered, times out, or fails together
// with the connection. CallOnce makes a single call over a dedicated connection. Network opens the
// connections; like memberlist's Transport, it is the host's network or, in tests, a network in memory or
// with faults.
//
// A connection has two goroutines: one reads, the other writes the queued frames. In a Link, the goroutine
// that connects is also the one that reads, for one connection after another. Send never blocks: if the queue
// of a connection is full, the connection is closed. This package never retransmits: a frame may be lost with
// its connection, and then its sender has to repeat it or send its full state.
//
// All state is in memory: an Endpoint counts its traffic, and a Link has its current connection and its
// pending calls. Answers are matched to calls by call ids, which a Link never reuses, so that a late answer
// is not mistaken for that of a later call.
package transport
