package chain

import "fmt"

// Proposal asks for a write: the register goes from version Expected to Version with that body.
type Proposal struct {
	Expected int64
	Version  int64
	Body     []byte
}

// ChangeID names a change without its body.
type ChangeID struct {
	Expected int64
	Version  int64
	Digest   Digest
}

// Outcome says how a request ended.
type Outcome uint8

// The outcomes.
const (
	// Applied says that a write was committed, maybe a while ago, or that a read is answered.
	Applied Outcome = iota + 1
	// Conflict says that the register has another version than expected. The write was never in force and
	// never will be.
	Conflict
	// Invalid says that a proposal's version isn't above the expected one.
	Invalid
	// Unavailable gives no answer: a write may be in force now, later or never, or it has a version from
	// before all that the history names, and may have been in force once.
	Unavailable
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	names := [...]string{"none", "applied", "conflict", "invalid", "unavailable"}
	if int(o) < len(names) {
		return names[o]
	}
	return fmt.Sprintf("outcome %d", o)
}

// Reply answers a local request. Applied replies to reads carry the whole entry; applied and refused writes
// only its sequence and version.
type Reply struct {
	Request uint64
	Outcome Outcome
	Entry   Entry
}
