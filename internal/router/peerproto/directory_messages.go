package peerproto

import "cresshub/internal/router/directory"

// Records holds records of the directory.
type Records struct {
	Records []directory.Record `avro:"records"`
}

// Follow subscribes to the feed of a hub, starting after an offset.
type Follow struct {
	Feed    string `avro:"feed"`    // id of the hub whose feed Offset refers to, "" for none
	Offset  int64  `avro:"place"`   // of the last change that the follower has received
	Version int64  `avro:"version"` // of the configuration in force at the follower
}

// Feed is the next part of a hub's feed. If it holds nothing new, it serves as a keep-alive.
type Feed struct {
	Feed    string             `avro:"feed"` // id of the hub whose feed it is
	From    int64              `avro:"from"` // offset after which these changes follow, 0 for a snapshot
	To      int64              `avro:"to"`   // offset of the last change
	Records []directory.Record `avro:"records"`
	Version int64              `avro:"version"` // of the configuration in force at the hub
	// Config is that configuration, or the patches that lead to it, in packed form. It is empty if the follower
	// already has that version.
	Config  []byte       `avro:"config"`
	Epoch   int64        `avro:"epoch"`   // of the latest view that the hub knows
	Members []MemberInfo `avro:"members"` // of that view
}

// Comparison is the digest of a directory replica and, in an answer, the ranges that differ and the records
// in them.
type Comparison struct {
	Digest  []int64            `avro:"digest"`
	Ranges  []int              `avro:"ranges"` // ranges whose records the sender requests
	Records []directory.Record `avro:"records"`
}
