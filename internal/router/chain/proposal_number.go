package chain

import "cmp"

// ProposalNumber is a Paxos proposal number: a counter, made unique by the proposer's ID. The zero value is
// below all others.
type ProposalNumber struct {
	Counter  uint64
	Proposer MemberID
}

// compare orders proposal numbers by counter, then by proposer.
func (p ProposalNumber) compare(other ProposalNumber) int {
	if order := cmp.Compare(p.Counter, other.Counter); order != 0 {
		return order
	}
	return cmp.Compare(p.Proposer, other.Proposer)
}

// less reports whether p is below another number.
func (p ProposalNumber) less(other ProposalNumber) bool { return p.compare(other) < 0 }
