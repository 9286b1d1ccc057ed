package chain

import "fmt"

// Proposal is a compare-and-set write: if the register has version Expected, it gets Version and Body.
type Proposal struct {
	Expected int64
	Version  int64
	Body     []byte
}

// ChangeID identifies the change that a Proposal makes, without its body.
type ChangeID struct {
	Expected int64
	Version  int64
	Digest   Digest
}

// Outcome says how a request ended.
type Outcome uint8

// The outcomes.
const (
	// Applied means that a write is committed or was committed and then replaced by a later one, or that a read
	// is answered.
	Applied Outcome = iota + 1
	// Conflict means that the register has another version than expected. The write was never committed and
	// never will be.
	Conflict
	// Invalid means that a proposal's version isn't above the expected one.
	Invalid
	// Unavailable means that the outcome is unknown: a write may be committed already, later or never. This is
	// also the outcome of a write that may have been committed before the oldest entry of the history.
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

// Reply answers a local request. The reply to a read that is Applied carries the full entry; the reply to a
// write that is Applied or Conflict carries only the committed entry's sequence and version.
type Reply struct {
	Request uint64
	Outcome Outcome
	Entry   Entry
}
