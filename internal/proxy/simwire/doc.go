// Package simwire translates between the simulator's JSON lines and the balancer: it reads a line with a
// batch of events, passes each event to the balancer of its instance, and writes the actions as one line of
// reply. It is the only package with the names of that protocol, which the operators' page defines. The
// platform's configuration file has the same settings object (ReadSettings). The package makes no decisions.
//
// A batch is an object like
//
//	{"sim-time-ms":5,"n":2,"happened":[{"Elapsed":{"sidecar":3,"name":1}}]}
//
// The Decoder reads it in three layers, a file each: the batch and its list of events (batch.go), one event
// of a kind (event.go) and the fields of an event (fields.go). Single values are read in values.go, server
// lists in pages.go and settings in settings.go.
//
// A Host holds the balancers by number. It, its Decoder and its Encoder reuse their buffers and are used from
// one goroutine at a time.
package simwire
