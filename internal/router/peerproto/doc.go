// Package peerproto is the protocol between the processes of the fleet: frames of a length, a kind, a call
// number and a body (frame.go), which is a message in Avro's binary encoding (codec.go). schemas.avsc has the
// schemas; the messages' Avro tags hold the encoded names, some of which are older than the Go names.
//
// Frames carry neither a schema nor a version: processes of two releases understand each other as far as
// their schemas are the same. The golden files under testdata hold a frame of each kind.
//
// A connection begins with a Hello. Then either side sends frames of these groups, whose messages stand in
// files of their own:
//
//   - status_messages.go, state of the sender: Ping with Demands and Pong with Status, Announce with Status;
//   - directory_messages.go, the directory (package directory): Upsert and Follow, which a hub answers with
//     Feed, and Compare;
//   - load_messages.go, load of servers: LoadReport to and from a hub, HubLoadReport between hubs;
//   - config_messages.go, the configuration: Propose, Patch, Read and ConfigFetch, answered by Result;
//   - chain_message.go, messages of package chain, which are answered by messages of their own.
//
// A configuration that is sent to many processes is packed, or the patches that lead to it are (packed.go).
//
// The package has no state, and its functions may be called by any goroutine.
package peerproto
