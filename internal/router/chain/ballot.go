package chain

import "cmp"

// Ballot orders the proposals of one instance; the zero ballot is before all.
type Ballot struct {
	Round  uint64
	Member MemberID
}

// compare orders ballots by round, then by member.
func (b Ballot) compare(other Ballot) int {
	if order := cmp.Compare(b.Round, other.Round); order != 0 {
		return order
	}
	return cmp.Compare(b.Member, other.Member)
}

// less tells whether a ballot is before another.
func (b Ballot) less(other Ballot) bool { return b.compare(other) < 0 }
