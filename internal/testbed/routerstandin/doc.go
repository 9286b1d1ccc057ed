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
// Files: client*.go and rude_client.go send, server*.go, application.go and model*.go answer, judge*.go check
// the rules that need more than one observation, document.go and patch.go lay out configurations.
package routerstandin
