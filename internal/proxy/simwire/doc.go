// Package simwire translates between the simulator's JSON lines and the balancer: a line with a batch of
// events comes in, each event goes to the balancer of its instance, and the actions go out as one line of
// reply. It is the only package with the names of that protocol, which are those of the operators' page. The
// platform's configuration file has the same settings object (ReadSettings). It makes no decisions.
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
