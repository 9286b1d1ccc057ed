package chain

import (
	"cmp"
	"slices"
)

// MemberID is the random identity of a disk. A machine whose disk was wiped returns with a new one.
type MemberID string

// Member is a machine with a disk: the identity of the disk and the machine's address.
type Member struct {
	ID      MemberID
	Address string
}

// View is the configuration of the chain in one epoch. A decided view is immutable, and its slices are
// shared. The zero View, of epoch 0, means that no view has been decided.
//
// A member is called a source if it is known to have every committed entry, so that it may be the head. Plan
// and the bootstrap ensure these invariants of every view: the chain contains at least a majority of the
// members; its head is a source; catching-up replicas are in the chain, and the head isn't one of them; the
// members of a first view include a majority of each chain in its Unopened.
type View struct {
	Epoch uint64
	// Members are the acceptors that decide the next view by a majority.
	Members []Member
	// Chain are the replicas from head to tail, all of them members.
	Chain []MemberID
	// CatchingUp are the replicas that were not sources when this view was planned. Each may lack the committed
	// entry until it accepts an entry in this epoch.
	CatchingUp []MemberID
	// Sources are the members that have every entry that was committed before the first epoch of Unopened, or
	// before this epoch if Unopened is empty. One of them may become head of a later view if it is certain that
	// nothing was committed since.
	Sources []MemberID
	// Unopened are the latest epochs before this one that were not observed to be open at their full chain, in
	// ascending order.
	Unopened []PastChain
}

// PastChain is the chain of an earlier epoch.
type PastChain struct {
	Epoch uint64
	Chain []MemberID
}

// maxUnopened bounds the number of epochs in View.Unopened.
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

// successor returns the replica after id, or "" for the tail.
func (v View) successor(id MemberID) MemberID {
	if index := slices.Index(v.Chain, id); index >= 0 && index+1 < len(v.Chain) {
		return v.Chain[index+1]
	}
	return ""
}

// predecessor returns the replica before id, or "" for the head.
func (v View) predecessor(id MemberID) MemberID {
	if index := slices.Index(v.Chain, id); index > 0 {
		return v.Chain[index-1]
	}
	return ""
}

// inChain reports whether a node is a replica.
func (v View) inChain(id MemberID) bool { return slices.Contains(v.Chain, id) }

// isCatchingUp reports whether a replica may have lacked the committed entry when this view was planned.
func (v View) isCatchingUp(id MemberID) bool { return slices.Contains(v.CatchingUp, id) }

// member returns the member with an ID.
func (v View) member(id MemberID) (Member, bool) {
	for _, member := range v.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// isMember reports whether a node is a member, and thereby an acceptor for the next view.
func (v View) isMember(id MemberID) bool {
	_, ok := v.member(id)
	return ok
}

// majority returns the size of a majority quorum of the members.
func majority(members []Member) int { return len(members)/2 + 1 }

// replicasNeeded returns how many replicas have to accept a write before it is committed. configured is
// Config.RequiredReplicas.
func replicasNeeded(members []Member, configured int) int {
	return max(majority(members), min(configured, len(members)))
}

// memberIDs returns the members' IDs in their order.
func memberIDs(members []Member) []MemberID {
	ids := make([]MemberID, len(members))
	for i, member := range members {
		ids[i] = member.ID
	}
	return ids
}

// firstView returns a view proposed by the bootstrap, whose members all have empty registers; unopened are
// the earlier attempts.
func firstView(epoch uint64, members []Member, unopened []PastChain) View {
	ids := memberIDs(members)
	return View{Epoch: epoch, Members: slices.Clone(members), Chain: ids, Sources: ids, Unopened: unopened}
}

// keepsMajorities reports whether the members include a majority of each chain in Unopened.
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

// containsPastChain reports whether a list contains a past chain.
func containsPastChain(list []PastChain, past PastChain) bool {
	return slices.ContainsFunc(list, past.equal)
}

// pastChain returns the view's epoch and chain, as a later view lists them in Unopened.
func (v View) pastChain() PastChain { return PastChain{v.Epoch, v.Chain} }

// sortedIDs returns a sorted copy.
func sortedIDs(ids []MemberID) []MemberID { return slices.Sorted(slices.Values(ids)) }

// sortedKeys returns a map's keys in ascending order.
func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// equal reports whether two views are the same.
func (v View) equal(other View) bool {
	return v.Epoch == other.Epoch && slices.Equal(v.Members, other.Members) &&
		slices.Equal(v.Chain, other.Chain) && slices.Equal(v.CatchingUp, other.CatchingUp) &&
		slices.Equal(v.Sources, other.Sources) &&
		slices.EqualFunc(v.Unopened, other.Unopened, PastChain.equal)
}

// equal reports whether two past chains are the same.
func (p PastChain) equal(other PastChain) bool {
	return p.Epoch == other.Epoch && slices.Equal(p.Chain, other.Chain)
}
