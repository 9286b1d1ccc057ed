package peerproto

import "cresshub/internal/router/directory"

// Hello names the caller of a connection.
type Hello struct {
	ID string `avro:"id"` // of the caller's record in the directory
}

// Status is the state of a process, in each answer to a ping and in an announcement.
type Status struct {
	ID          string       `avro:"id"`             // of its record in the directory
	Version     int64        `avro:"version"`        // of the configuration in force there
	Epoch       int64        `avro:"epoch"`          // of the latest view known there
	Members     []MemberInfo `avro:"members"`        // of that view
	HasSnapshot bool         `avro:"holds_snapshot"` // of the directory, so that its feed may be followed
	// ReachesMajority says that a majority of the members answers it, so that it gets whatever they
	// acknowledge.
	ReachesMajority bool `avro:"reaches_majority"`
}

// MemberInfo is a member of a view.
type MemberInfo struct {
	ID      string `avro:"id"`
	Address string `avro:"address"` // its IP
}

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

// Demands is the demand of the sender's clients at the services with model servers.
type Demands struct {
	Services []Demand `avro:"services"`
}

// Demand is the mean number of calls that a proxy has in flight at a service.
type Demand struct {
	Service string  `avro:"service"`
	Prefill float64 `avro:"reading"`
	Decode  float64 `avro:"writing"`
}

// LoadReport is what proxies have in flight at servers, and the prefixes that they sent there.
type LoadReport struct {
	Full    bool         `avro:"whole"`   // nothing is in flight at servers that are not in Servers
	Servers []ServerLoad `avro:"servers"` // those where it has changed, or all if Full
	// FullIndex says that Prefixes is the sender's complete prefix index, for a receiver that has none yet.
	FullIndex bool `avro:"known"`
	// Prefixes are those that were sent to a server for the first time since the last report, or the index.
	Prefixes []ServerPrefixes `avro:"prompts"`
}

// ServerLoad is what proxies have in flight at one server.
type ServerLoad struct {
	Server    string `avro:"server"`     // id of its incarnation
	PrefillMs int    `avro:"reading_ms"` // expected time of the prefills, in milliseconds
	Calls     int    `avro:"calls"`
}

// ServerPrefixes are hashes of prefixes of prompts whose prefill a server was sent.
type ServerPrefixes struct {
	Server string  `avro:"server"` // id of its incarnation
	Hashes []int64 `avro:"names"`
}

// Proposal proposes a document, or a patch, as the next version of the configuration.
type Proposal struct {
	Expected int64  `avro:"expected"` // the version that it builds on
	Version  int64  `avro:"version"`  // the version that it makes
	Body     []byte `avro:"body"`
}

// Outcome is how a call on the configuration ended.
type Outcome int

// The outcomes of a call on the configuration.
const (
	OutcomeAccepted    Outcome = 1 // committed; for a read, Body holds the configuration
	OutcomeConflict    Outcome = 2 // another version is current
	OutcomeUnavailable Outcome = 3 // unknown: the call may or may not have taken effect
	OutcomeInvalid     Outcome = 4 // what would result is no valid configuration, as Reason says
)

// Result answers a call on the configuration.
type Result struct {
	Outcome Outcome `avro:"outcome"`
	Version int64   `avro:"version"` // the current one
	Body    []byte  `avro:"body"`
	Reason  string  `avro:"reason"`
}

// Patches are changes of the configuration, each of which builds on the one before.
type Patches struct {
	Patches []Patch `avro:"patches"`
}

// Patch is a change of named items of the configuration, as package fleetconfig reads it.
type Patch struct {
	Base    int64  `avro:"base"`    // the version that it builds on
	Version int64  `avro:"version"` // the version that it makes
	Body    []byte `avro:"body"`
}
