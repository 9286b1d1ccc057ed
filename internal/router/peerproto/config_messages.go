package peerproto

// Proposal proposes a document, or a patch, as the next version of the configuration.
type Proposal struct {
	Expected int64  `avro:"expected"` // the version that it builds on
	Version  int64  `avro:"version"`  // the version that it creates
	Body     []byte `avro:"body"`
}

// Outcome is the outcome of a call that reads or changes the configuration.
type Outcome int

// The outcomes of a call that reads or changes the configuration.
const (
	OutcomeAccepted    Outcome = 1 // committed; for a read, Body holds the configuration
	OutcomeConflict    Outcome = 2 // the expected version is not the current one
	OutcomeUnavailable Outcome = 3 // outcome unknown: the call may or may not have taken effect
	OutcomeInvalid     Outcome = 4 // the resulting configuration would be invalid; Reason says why
)

// Result answers a call that reads or changes the configuration.
type Result struct {
	Outcome Outcome `avro:"outcome"`
	Version int64   `avro:"version"` // the current version
	Body    []byte  `avro:"body"`
	Reason  string  `avro:"reason"`
}

// Patches is a sequence of changes of the configuration, each of which builds on the version that the
// previous one creates.
type Patches struct {
	Patches []Patch `avro:"patches"`
}

// Patch is a change of named items of the configuration, in the format that package fleetconfig parses.
type Patch struct {
	Base    int64  `avro:"base"`    // the version that it builds on
	Version int64  `avro:"version"` // the version that it creates
	Body    []byte `avro:"body"`
}
