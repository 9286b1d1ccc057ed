// Package peerproto defines the protocol between the processes of the fleet. A frame consists of a length, a
// kind, a call id and a body (frame.go); the body is a message in Avro's binary encoding (codec.go).
// schemas.avsc has the schemas. The Avro tags of the messages hold the encoded names, some of which are older
// than the Go names.
//
// Frames carry neither a schema nor a version: two releases are compatible only for the messages whose
// schemas are the same in both. The golden files under testdata hold a frame of each kind.
//
// A connection begins with a Hello. After that, either side sends frames of the following groups. Each group
// has its messages in a file of its own:
//
//   - status_messages.go, state of the sender: Ping with Demands, Pong with Status, and Announce with Status;
//   - directory_messages.go, replication of the directory (package directory): Upsert; Follow, which a hub
//     answers with Feed; and Compare;
//   - load_messages.go, load of servers: LoadReport to and from a hub, HubLoadReport between hubs;
//   - config_messages.go, the configuration: Propose, Patch, Read and ConfigFetch, answered by Result;
//   - chain_message.go, messages of package chain. They are not answered by a frame of the same call, but by
//     chain messages of their own.
//
// A configuration that is sent to many processes is packed (packed.go), and so are patches that are sent in
// its place.
//
// The package has no state, and its functions may be called from any goroutine.
package peerproto
