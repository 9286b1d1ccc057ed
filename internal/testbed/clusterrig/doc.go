// Package clusterrig runs several processes of the proxy on loopback with a faulty network between them. It
// injects faults (kill, pause, partition, restart with another address or an empty disk) and observes what
// each member reports of the others and of the usage ledger. Tests use it in code; `cresshub-lab rig` plays
// scenario files with it and measures.
//
// Close ends every process that a Rig started. All ports are chosen by the system, and every wait is bounded.
// Only one goroutine at a time may act on a member (Spawn, Kill, Pause, Resume, Term); others may meanwhile
// observe it (State, GetJSON, Ready, the views).
package clusterrig
