package chain

import "fmt"

// Proposal is a compare-and-set write: the register goes from version Expected to Version with that body.
type Proposal struct {
	Expected int64
	Version  int64
	Body     []byte
}

// ChangeID identifies a change without its body.
type ChangeID struct {
	Expected int64
	Version  int64
	Digest   Digest
}

// Outcome says how a request ended.
type Outcome uint8

// The outcomes.
const (
	// Applied says that a write is committed, or was at some time, or that a read is answered.
	Applied Outcome = iota + 1
	// Conflict says that the register has another version than expected. The write never was committed and
	// never will be.
	Conflict
	// Invalid says that a proposal's version isn't above the expected one.
	Invalid
	// Unavailable leaves the outcome open: a write may be committed already, later or never, or its version is
	// older than the history and it may have been committed before that.
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

// Reply answers a local request. Replies to reads that are Applied carry the full entry; those to writes that
// are Applied or Conflict only the committed entry's sequence and version.
type Reply struct {
	Request uint64
	Outcome Outcome
	Entry   Entry
}
