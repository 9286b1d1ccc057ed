// Package clusterrig runs several processes of the proxy on loopback with a faulty network between them. It
// injects faults (kill, pause, partition, restart with another address or an empty disk) and observes what
// each member reports of the others and of the usage ledger.
//
// # Starting a trial
//
// Start starts a Rig, on which tests act in code. These run a whole trial, each a command of cresshub-lab:
//
//   - Play plays a Scenario, a file of steps and of what all views must show after each (rig play);
//   - RunOwnerTrial takes the singleton roles from their owners by pauses, partitions and kills;
//   - CountListCalls, RunRestartStorm, Soak and Measure measure calls on discovery, a restart of most
//     members at once, memory and disk over time, and the replicas of the ledger alone.
//
// # What is judged, and where a violation is found
//
// Play counts in Report.Failures the steps whose expectation did not hold in time, and with
// healthy_never_dead each view that has a member dead that no step acted on; StepReport.LastFailure says what
// was missing, and the record of the views shows when.
//
// The trials with a ledger compare three parties that count on their own: clients (Clients.Answers), the
// ledger as any member shows it, and the stand-in for the billing sink. WaitExported returns an error that
// names the first key or period in which they differ. The sink itself refuses and counts calls of former
// owners (proxystandin.Sink.Audit).
//
// Rig.Close returns an error that names each member that ended by itself, with the end of its log.
//
// # Concurrency
//
// Close ends every process that a Rig started. All ports are chosen by the system, and every wait is bounded.
// Only one goroutine at a time may act on a member (Spawn, Kill, Pause, Resume, Term); others may meanwhile
// observe it (State, GetJSON, Ready, the views).
package clusterrig
