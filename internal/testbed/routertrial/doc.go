// Package routertrial runs the router fleet on loopback: real processes of the program, each with a loopback
// IP of its own, between stand-ins (package routerstandin) for servers, operator, platform and clients. It
// counts what becomes of the requests, and violations of the rules.
//
// # Starting a trial
//
// Run is a trial with one fault in the middle if wanted (cresshub-fleet try --trouble kill). Soak injects
// rounds of overlapping faults drawn from a seed (cresshub-fleet soak --first 7); the same seed draws the
// same faults, but the processes' timing differs from run to run. The tests run both, four fleets at a time;
// a longer soak, and the hunt, which draws faults without fault injection inside the processes, run on
// demand:
//
//	go test ./internal/testbed/routertrial -run TestSoak -soak 50 -timeout 2h
//	go test ./internal/testbed/routertrial -run TestHunt -hunt 20 -logs /tmp -timeout 1h
//
// Run and Soak start a Fleet, which reserves a range of loopback addresses, starts the machines and servers,
// has the operator put a first configuration and waits until all are ready. Fleet.Close ends every process,
// stand-in and goroutine and removes all files. A soak injects network and disk faults through commands on
// the standard input of its processes (package faultinject).
//
// # What is judged, and where a violation is found
//
// The stand-ins judge what they exchange with the fleet by the rules of the operators' pages
// (routerstandin.Rule). This package adds what only the trial can observe, each as a violation of a rule:
//
//   - FAULT: a process ends by itself or badly after SIGTERM, or does not release what requests took;
//   - INVARIANT: a process logs a violated invariant or a panic (process_log.go), or its metrics count a
//     violated invariant or lack the counts (soak_checks.go);
//   - RECOVER: the fleet is not ready again soon after the faults of a round;
//   - CONFIG: a machine shows no configuration at the end, or a change is refused that raced with no other.
//
// Report.Rules and SoakReport.Rules have a verdict for each rule: how often it was violated, and the details
// of the first violations, with the machine or server and the id of the attempt. Events tells what was
// injected when; with Options.Log (--log, --logs), the processes' logs carry the same clock. The bounds that
// the rules are judged by are in settings.go.
//
// # Concurrency
//
// A trial runs the clients' load, the change of the configuration and the fault each in a goroutine of its
// own; what they share lies behind the locks of Fleet and Machine.
//
// # Files
//
// trial.go and soak.go are the courses of a trial and of a soak, fleet.go, machine.go and servers.go what
// they run on. faults.go has the faults of a trial, soak_faults.go the list of those of a soak. settings.go
// and configuration.go are what platform and operator give the fleet.
package routertrial
