package peerproto

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
