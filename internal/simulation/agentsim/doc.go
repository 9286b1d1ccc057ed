// Package agentsim runs fleets of complete router processes (agent.Agent) in virtual time. It is a helper for
// tests: it takes a testing.TB, and only tests may import it.
//
// A fleet lives in a bubble of testing/synctest: it uses the bubble's clock, a network in memory (package
// simnet), and folders of the test as disks. Machines are killed, lose power, their disks or parts of the
// network, and start again with other settings. Simulated servers send heartbeats, and simulated operators
// change the configuration and record a history, which is checked as one of a register with compare-and-set.
// A machine has no process, one that runs, or one that is stopping; a server serves, drains or has
// ended.
//
// The methods of a fleet are called by the goroutine of its test; servers, operators and watches of absences
// run in goroutines of their own, which Fleet.Close ends.
//
// Reads and writes of files take real time in which the bubble's clock doesn't move. A loss of power keeps
// what was written, as a kill does. The processes carry no requests of clients.
package agentsim
