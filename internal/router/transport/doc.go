// Package transport carries the frames of package peerproto between the processes of the fleet over TCP.
//
// An Endpoint is a process's side of all its connections. It accepts those of callers, whose frames a
// Handler handles, and opens Links to other processes. A Link keeps one connection to an address and opens
// it again, with backoff, whenever it ends; a Call over it is answered, times out, or fails with the
// connection. CallOnce makes a call over a connection of its own. Network opens the connections: the
// machine's network, or for tests one in memory or one with faults, like memberlist's Transport.
//
// A connection has two goroutines, one that reads and one that writes what is queued. That of a Link which
// connects reads as well, one connection after the other. Send never blocks: a connection whose queue is full
// is closed. This package resends nothing: a frame may be lost with its connection, and its sender has to
// repeat it or to send its full state.
//
// The state is in memory: of an Endpoint what its connections have carried, of a Link its connection and its
// pending calls. Answers are matched by the numbers of calls, which a Link never uses twice, so that a late
// answer meets no later call.
package transport
