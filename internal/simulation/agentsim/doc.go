// Package agentsim runs fleets of whole processes (node.Node) in a bubble of testing/synctest, for tests: in
// the bubble's time, over a network in memory, with folders of the test as disks. Machines are killed, lose
// power, their disks or parts of the network, and start again with other settings; simulated servers send
// heartbeats, and simulated operators change the configuration and keep a history that is checked.
//
// Reads and writes of files take real time in which the bubble's clock stands still. A loss of power keeps
// what was written, as a kill does. Processes carry no traffic of clients.
package agentsim
