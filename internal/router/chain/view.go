package chain

import "slices"

// MemberID is the random identity of one disk: a machine whose disk was emptied comes back under another.
type MemberID string

// Proposer is a machine with a disk.
type Member struct {
	ID      MemberID
	Address string
}

// View is what the members agree on for one epoch. It is never changed.
type View struct {
	Epoch uint64
	// Members vote on the next view; a majority of them decides it.
	Members []Member
	// Chain are the replicas from head to tail, all of them members.
	Chain []MemberID
	// Fresh are those of the chain that may lack the committed entry until this epoch is open at them.
	Fresh []MemberID
	// Sources hold every entry that was committed before the first epoch of Unopened, or before this one if
	// there is none. If it is known that nothing was committed since, one of them may be the next head.
	Sources []MemberID
	// Unopened are the latest epochs before this one that were not seen open at their whole chain, in order.
	Unopened []PastChain
}

// PastChain is the chain of an earlier epoch.
type PastChain struct {
	Epoch uint64
	Chain []MemberID
}

// maxUnopened bounds View.Unopened.
const maxUnopened = 16

// head returns the first replica of the chain.
func (v View) head() MemberID {
	if len(v.Chain) == 0 {
		return ""
	}
	return v.Chain[0]
}

// tail returns the last replica of the chain.
func (v View) tail() MemberID {
	if len(v.Chain) == 0 {
		return ""
	}
	return v.Chain[len(v.Chain)-1]
}

// successor returns the replica behind one, or none.
func (v View) successor(id MemberID) MemberID {
	if index := slices.Index(v.Chain, id); index >= 0 && index+1 < len(v.Chain) {
		return v.Chain[index+1]
	}
	return ""
}

// predecessor returns the replica before one, or none.
func (v View) predecessor(id MemberID) MemberID {
	if index := slices.Index(v.Chain, id); index > 0 {
		return v.Chain[index-1]
	}
	return ""
}

// inChain tells whether a member is a replica.
func (v View) inChain(id MemberID) bool { return slices.Contains(v.Chain, id) }

// isFresh tells whether a replica may lack the committed entry.
func (v View) isFresh(id MemberID) bool { return slices.Contains(v.Fresh, id) }

// member finds a member.
func (v View) member(id MemberID) (Member, bool) {
	for _, member := range v.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// isMember tells whether someone votes on the next view.
func (v View) isMember(id MemberID) bool {
	_, ok := v.member(id)
	return ok
}

// majority returns how many members decide.
func majority(members []Member) int { return len(members)/2 + 1 }

// replicasNeeded returns how many replicas a write needs.
func replicasNeeded(members []Member, configured int) int {
	return max(majority(members), min(configured, len(members)))
}

// memberIDs returns the members' identities in their order.
func memberIDs(members []Member) []MemberID {
	ids := make([]MemberID, len(members))
	for i, member := range members {
		ids[i] = member.ID
	}
	return ids
}

// firstView returns a first view of members who hold nothing yet; unopened are the attempts before it.
func firstView(epoch uint64, members []Member, unopened []PastChain) View {
	ids := memberIDs(members)
	return View{Epoch: epoch, Members: slices.Clone(members), Chain: ids, Sources: ids, Unopened: unopened}
}

// keepsMajorities tells whether a majority of each unopened chain are members.
func (v View) keepsMajorities() bool {
	return !slices.ContainsFunc(v.Unopened, func(past PastChain) bool {
		remaining := 0
		for _, id := range past.Chain {
			if v.isMember(id) {
				remaining++
			}
		}
		return remaining < len(past.Chain)/2+1
	})
}

// sortedIDs returns identities in order.
func sortedIDs(ids []MemberID) []MemberID { return slices.Sorted(slices.Values(ids)) }

// equal tells whether two views say the same.
func (v View) equal(other View) bool {
	return v.Epoch == other.Epoch && slices.Equal(v.Members, other.Members) &&
		slices.Equal(v.Chain, other.Chain) && slices.Equal(v.Fresh, other.Fresh) &&
		slices.Equal(v.Sources, other.Sources) &&
		slices.EqualFunc(v.Unopened, other.Unopened, PastChain.equal)
}

// equal tells whether two past chains are the same.
func (p PastChain) equal(other PastChain) bool {
	return p.Epoch == other.Epoch && slices.Equal(p.Chain, other.Chain)
}
