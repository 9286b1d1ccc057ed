package chain

import "cmp"

// ProposalNumber orders the proposals of one instance; the zero ballot is before all.
type ProposalNumber struct {
	Counter  uint64
	Proposer MemberID
}

// compare orders ballots by round, then by member.
func (n ProposalNumber) compare(other ProposalNumber) int {
	if order := cmp.Compare(n.Counter, other.Counter); order != 0 {
		return order
	}
	return cmp.Compare(n.Proposer, other.Proposer)
}

// less tells whether a ballot is before another.
func (n ProposalNumber) less(other ProposalNumber) bool { return n.compare(other) < 0 }
