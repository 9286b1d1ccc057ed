// Package proxysim models the client proxies and what they balance in virtual time: clients, proxies, halls
// (failure domains), zone servers, the service that lists the servers, and the servers' load reports. The
// decisions of package balance, one instance a proxy, and textbook policies play the same scenarios.
//
// It models the latency between halls, connections with their handshakes and idle timeouts, queues and cores
// of servers, slow start, overload, warm keys, pauses and crashes, and retries of proxies and of clients. It
// leaves out the contents and sizes of messages, bandwidth, random loss, the way between a client and its
// proxy, and the time that a proxy itself takes: an action of a decision happens when the decision is made.
// A connection carries one request at a time, and a server begins its jobs in the order in which they came.
//
// Sim is a discrete-event simulation: an event queue (Kernel) in order of virtual time, tables of requests,
// attempts and jobs, and random streams that are split by purpose, so that all policies meet the same
// arrivals. A request is served, refused or failed in the end; an attempt is open until its first outcome; a
// server is up, unresponsive, draining or down, and may be choked or collapsed besides. SWIM models the
// proxies' gossip by its messages, and RunListTrial how they learn the list of servers. The faults of SWIM
// that no trial plays (Restart, Pause, BlockLink, Slow) are for tests, which compare the model with real
// processes.
//
// The clock is that of the Kernel: int64 nanoseconds from 0 on, which only events advance. The package does
// no input or output and reads no other clock: the same scenario and seed give the same results on any
// machine. Nothing in it is safe for concurrent use; separate simulations may run in parallel.
//
// Sources: M. Dahlin, Interpreting Stale Load Information (Basic LI and the models of stale load);
// M. Mitzenmacher, The Power of Two Choices; SWIM (Das, Gupta and Motivala, DSN 2002) and Lifeguard (Dadgar,
// Phillips and Currey, 2018).
package proxysim
