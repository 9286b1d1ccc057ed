// Package peerproto defines what the processes of the fleet say to each other: frames of a length, a kind, a
// call number and a body in Avro's binary encoding.
package peerproto

import (
	"fmt"

	"github.com/hamba/avro/v2"

	"cresshub/internal/router/directory"
)

// Kind tells what a frame's body holds.
type Kind uint8

// The kinds of frames. An answer carries the number of its call.
const (
	KindHello       Kind = 1  // the first frame of a connection: who calls
	KindPing        Kind = 2  // Demands; answered by KindPong
	KindPong        Kind = 3  // Status
	KindUpsert      Kind = 4  // Records; answered by KindAck once they are merged
	KindFollow      Kind = 5  // Follow; answered by frames of KindFeed until the connection ends
	KindFeed        Kind = 6  // Feed
	KindCompare     Kind = 7  // Comparison; answered by KindComparison
	KindComparison  Kind = 8  // Comparison
	KindPropose     Kind = 9  // Proposal; answered by KindResult
	KindRead        Kind = 10 // no body; answered by KindResult
	KindResult      Kind = 11 // Result
	KindChain       Kind = 12 // a message of the chain, not answered
	KindAck         Kind = 13 // no body
	KindConfigFetch Kind = 14 // no body: the newest configuration in force, packed; answered by KindResult
	// LoadReport: what the sender has under way, to a hub; or what all others have, from it
	KindLoadReport    Kind = 15
	KindHubLoadReport Kind = 16 // LoadReport: what a hub and its followers have under way, to another hub
	KindAnnounce      Kind = 17 // Status, to a process that may not know the view; answered by KindPong
	KindPatch         Kind = 18 // Proposal with a patch in its Body; answered by KindResult

	NumKinds = 19 // how many there are, 0 included
)

// Records is a list of records of the directory.
type Records struct {
	Records []directory.Record `avro:"records"`
}

// Hello introduces the caller of a connection.
type Hello struct {
	ID string `avro:"id"` // of the caller's record in the directory
}

// Status is what a process tells of itself with each answer to a ping, and in an introduction.
type Status struct {
	ID          string       `avro:"id"`
	Version     int64        `avro:"version"` // of the configuration in force there
	Epoch       int64        `avro:"epoch"`   // of the view known there
	Members     []MemberInfo `avro:"members"`
	HasSnapshot bool         `avro:"holds_snapshot"` // it may be followed
	// ReachesMajority tells that more than half of the members answer it, so that it misses nothing that they
	// acknowledge.
	ReachesMajority bool `avro:"reaches_majority"`
}

// MemberInfo names a machine that keeps the control state.
type MemberInfo struct {
	ID      string `avro:"id"`
	Address string `avro:"address"`
}

// Demands tells what the sender has under way at services with model servers.
type Demands struct {
	Services []Demand `avro:"services"`
}

// Demand is what a proxy has under way at one service, as means over the last seconds.
type Demand struct {
	Service string  `avro:"service"`
	Prefill float64 `avro:"reading"` // calls that read a prompt
	Decode  float64 `avro:"writing"` // calls that make tokens
}

// LoadReport tells what proxies have under way at servers, where that has changed.
type LoadReport struct {
	Full    bool         `avro:"whole"` // nothing is under way at servers that are not named
	Servers []ServerLoad `avro:"servers"`
	// FullIndex tells that Prompts are all that the sender knows of, and that it has heard of all.
	FullIndex bool `avro:"known"`
	// Prefixes were sent to servers for the first time.
	Prefixes []ServerPrefixes `avro:"prompts"`
}

// ServerLoad is what proxies have under way at one server.
type ServerLoad struct {
	Server    string `avro:"server"`
	PrefillMs int    `avro:"reading_ms"` // of prompts that are to be read
	Calls     int    `avro:"calls"`
}

// ServerPrefixes names what prompts share that were sent to one server to be read for the first time.
type ServerPrefixes struct {
	Server string  `avro:"server"`
	Hashes []int64 `avro:"names"`
}

// Follow asks for the changes of a feed from a place on.
type Follow struct {
	Feed    string `avro:"feed"` // the copy whose numbers the place is of, "" for none
	Offset  int64  `avro:"place"`
	Version int64  `avro:"version"` // of the configuration in force at the follower
}

// Feed is the next piece of a feed. One without records keeps the connection known to be alive.
type Feed struct {
	Feed    string             `avro:"feed"` // the copy that numbers the changes
	From    int64              `avro:"from"` // the place after which these changes come; 0 for a snapshot
	To      int64              `avro:"to"`
	Records []directory.Record `avro:"records"`
	Version int64              `avro:"version"` // of the configuration in force at the source
	Config  []byte             `avro:"config"`  // its document, packed, where the follower's is older
	Epoch   int64              `avro:"epoch"`
	Members []MemberInfo       `avro:"members"`
}

// Comparison carries the digest of a copy, or the records of the ranges in which two copies differ.
type Comparison struct {
	Digest  []int64            `avro:"digest"`
	Ranges  []int              `avro:"ranges"` // those that the sender asks for
	Records []directory.Record `avro:"records"`
}

// Proposal asks for a change of the configuration.
type Proposal struct {
	Expected int64  `avro:"expected"` // the version that it builds on
	Version  int64  `avro:"version"`
	Body     []byte `avro:"body"`
}

// Outcome is how a call on the configuration ended.
type Outcome int

// The outcomes of a call on the configuration.
const (
	OutcomeAccepted    Outcome = 1 // acknowledged; for a read, Body holds the configuration
	OutcomeConflict    Outcome = 2 // another version is current
	OutcomeUnavailable Outcome = 3 // no clear answer can be had now
	OutcomeInvalid     Outcome = 4 // what would result is no valid configuration, as Reason tells
)

// Result answers a call on the configuration.
type Result struct {
	Outcome Outcome `avro:"outcome"`
	Version int64   `avro:"version"` // the current one
	Body    []byte  `avro:"body"`
	Reason  string  `avro:"reason"`
}

const recordSchema = `{"type":"record","name":"Record","fields":[
	{"name":"Kind","type":"int"},{"name":"ID","type":"string"},{"name":"Sequence","type":"long"},
	{"name":"State","type":"int"},{"name":"Watcher","type":"string"},{"name":"Service","type":"string"},
	{"name":"Address","type":"string"},{"name":"Zone","type":"string"},{"name":"Version","type":"string"},
	{"name":"Slots","type":"int"},{"name":"Stage","type":"string"},{"name":"ColdMs","type":"long"},
	{"name":"Name","type":"string"},{"name":"Control","type":"string"},{"name":"Member","type":"string"}]}`

const memberSchema = `{"type":"record","name":"MemberInfo","fields":[
	{"name":"id","type":"string"},{"name":"address","type":"string"}]}`

func mustParseRecord(name, fields string) avro.Schema {
	return avro.MustParse(`{"type":"record","name":"` + name + `","fields":[` + fields + `]}`)
}

var (
	helloSchema   = mustParseRecord("Hello", `{"name":"id","type":"string"}`)
	recordsSchema = mustParseRecord("Records",
		`{"name":"records","type":{"type":"array","items":`+recordSchema+`}}`)
	statusSchema = mustParseRecord("Status", `{"name":"id","type":"string"},{"name":"version","type":"long"},
		{"name":"epoch","type":"long"},{"name":"members","type":{"type":"array","items":`+memberSchema+`}},
		{"name":"holds_snapshot","type":"boolean"},{"name":"reaches_majority","type":"boolean"}`)
	demandsSchema = mustParseRecord("Demands", `{"name":"services","type":{"type":"array","items":
		{"type":"record","name":"Demand","fields":[{"name":"service","type":"string"},
		{"name":"reading","type":"double"},{"name":"writing","type":"double"}]}}}`)
	loadReportSchema = mustParseRecord("Work",
		`{"name":"whole","type":"boolean"},{"name":"known","type":"boolean"},
		{"name":"servers","type":{"type":"array",
		"items":{"type":"record","name":"WorkAtOne","fields":[{"name":"server","type":"string"},
		{"name":"reading_ms","type":"int"},{"name":"calls","type":"int"}]}}},
		{"name":"prompts","type":{"type":"array","items":{"type":"record","name":"PromptsAtOne","fields":[
		{"name":"server","type":"string"},{"name":"names","type":{"type":"array","items":"long"}}]}}}`)
	followSchema = mustParseRecord("Follow", `{"name":"feed","type":"string"},{"name":"place","type":"long"},
		{"name":"version","type":"long"}`)
	feedSchema = mustParseRecord("Feed", `{"name":"feed","type":"string"},{"name":"from","type":"long"},
		{"name":"to","type":"long"},{"name":"records","type":{"type":"array","items":`+recordSchema+`}},
		{"name":"version","type":"long"},{"name":"config","type":"bytes"},{"name":"epoch","type":"long"},
		{"name":"members","type":{"type":"array","items":`+memberSchema+`}}`)
	comparisonSchema = mustParseRecord("Comparison", `{"name":"digest","type":{"type":"array","items":"long"}},
		{"name":"ranges","type":{"type":"array","items":"int"}},
		{"name":"records","type":{"type":"array","items":`+recordSchema+`}}`)
	proposalSchema = mustParseRecord("Proposal",
		`{"name":"expected","type":"long"},{"name":"version","type":"long"},
		{"name":"body","type":"bytes"}`)
	resultSchema = mustParseRecord("Result", `{"name":"outcome","type":"int"},{"name":"version","type":"long"},
		{"name":"body","type":"bytes"},{"name":"reason","type":"string"}`)
)

// Patches are changes of the configuration, each of which builds on the one before.
type Patches struct {
	Patches []Patch `avro:"patches"`
}

// Patch is a change of named items of the configuration.
type Patch struct {
	Base    int64  `avro:"base"` // the version that it builds on
	Version int64  `avro:"version"`
	Body    []byte `avro:"body"`
}

var patchesSchema = mustParseRecord("Patches",
	`{"name":"patches","type":{"type":"array","items":{"type":"record",
	"name":"Patch","fields":[{"name":"base","type":"long"},{"name":"version","type":"long"},
	{"name":"body","type":"bytes"}]}}}`)

func schemaOf(message any) avro.Schema {
	switch message.(type) {
	case *Hello:
		return helloSchema
	case *Records:
		return recordsSchema
	case *Status:
		return statusSchema
	case *Demands:
		return demandsSchema
	case *LoadReport:
		return loadReportSchema
	case *Follow:
		return followSchema
	case *Feed:
		return feedSchema
	case *Comparison:
		return comparisonSchema
	case *Proposal:
		return proposalSchema
	case *Result:
		return resultSchema
	case *Patches:
		return patchesSchema
	case *ChainMessage:
		return chainSchema
	}
	panic("peerwire: a message without a schema")
}

// maxElements bounds the lists of a message: room is made for as many elements as a list announces, before
// they are read. The longest are some thousand records, prompts or past changes.
const maxElements = 1 << 16

// codec takes values as long as a frame may be; by default Avro's reader refuses values beyond 1 MiB.
var codec = avro.Config{MaxByteSliceSize: MaxBody, MaxSliceAllocSize: maxElements}.Freeze()

// DecodeError tells that the bytes of a message are none of this release.
type DecodeError struct{ Reason string }

func (e *DecodeError) Error() string {
	return "a message can't be read (" + e.Reason + "); check that its sender is a process of this release"
}

// Encode returns the Avro encoding of a message of this package.
func Encode(message any) []byte {
	body, err := codec.Marshal(schemaOf(message), message)
	if err != nil {
		panic("peerwire: " + err.Error()) // the schemas are fixed and tested
	}
	return body
}

// Decode reads a message of this package; message is a pointer to it. The error is *Unreadable.
func Decode(body []byte, message any) (err error) {
	schema := schemaOf(message)
	defer func() {
		if cause := recover(); cause != nil { // the reader trusts some counts
			err = &DecodeError{fmt.Sprint(cause)}
		}
	}()
	if err := codec.Unmarshal(schema, body, message); err != nil {
		return &DecodeError{err.Error()}
	}
	return nil
}
