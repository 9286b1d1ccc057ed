// Package routerstandin holds parties that stand in for those around the router fleet, on loopback: model
// servers and application servers (Server), an operator (Operator), the platform's entry (Entry), and clients
// (Client, Load, RudeClient). They speak the fleet's protocol over real sockets, take their time by waiting,
// and record what they observe in one Observations, which counts violations of the system's rules (Rule).
//
// The stand-ins are written from the protocol and know nothing of how the router works inside. Where they
// repeat a reading of the program's own, of headers, routes or documents, they do so on purpose: a mistake in
// the program must not hide itself from the party that judges it. The exceptions are the parsers of HTTP/1.1
// and of the configuration (packages http1 and fleetconfig), which have tests of their own.
//
// Observations, Tally, Entry, Operator.Current and Server are safe for concurrent use. A Client may send any
// number of requests at once; an Operator makes one call at a time, a RudeClient belongs to one goroutine.
// Each Server runs a goroutine for its heartbeats and one for each connection, which end with Stop, Crash or
// Shutdown; Load.Run and Entry.Run return when their context ends and leave no goroutine behind.
//
// # Judging
//
// A rule that one observation decides is checked where the observation is recorded: observations.go for
// requests and runs, client_answer.go and client_stream.go for answers, operator.go for configurations. Rules
// that need several (judge*.go) are checked with the last of them, or once by Observations.Judge when no
// stand-in runs any more.
// Judge returns a Verdict for each Rule with the details of its first violations: the id of the attempt
// ("try" in texts), the server or machine, and the version of the configuration ("edition").
//
// Rules with a time bound do not apply to a machine around a fault of its own or of a replica of the control
// state (machine_faults.go); whoever injects a fault has to record it.
//
// # Files
//
// client*.go and rude_client.go send, server*.go, application.go and model*.go answer, judge*.go check
// the rules that need more than one observation, document.go and patch.go lay out configurations.
package routerstandin
