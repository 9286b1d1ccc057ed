package peerproto

import "cresshub/internal/router/directory"

// Records are records of the directory.
type Records struct {
	Records []directory.Record `avro:"records"`
}

// Follow asks for a feed from an offset on.
type Follow struct {
	Feed    string `avro:"feed"`    // id of the hub whose feed the offset is of, "" for none
	Offset  int64  `avro:"place"`   // of the last change that the follower has
	Version int64  `avro:"version"` // of the configuration in force at the follower
}

// Feed is the next part of a feed. One without records is a keep-alive.
type Feed struct {
	Feed    string             `avro:"feed"` // id of the hub whose feed it is
	From    int64              `avro:"from"` // offset after which these changes come, 0 for a snapshot
	To      int64              `avro:"to"`   // offset of the last change
	Records []directory.Record `avro:"records"`
	Version int64              `avro:"version"` // of the configuration in force at the hub
	// Config is that configuration, packed, or the patches that lead to it; empty if the follower has it.
	Config  []byte       `avro:"config"`
	Epoch   int64        `avro:"epoch"`   // of the latest view known to the hub
	Members []MemberInfo `avro:"members"` // of that view
}

// Comparison is the digest of a directory and, in an answer, the ranges that differ with their records.
type Comparison struct {
	Digest  []int64            `avro:"digest"`
	Ranges  []int              `avro:"ranges"` // those whose records the sender asks for
	Records []directory.Record `avro:"records"`
}
