package chain

import "slices"

// epochSealed reports whether a replica has promised never to open the current epoch, so that nothing can be
// committed in it.
func (p *planner) epochSealed() bool {
	sealed := func(id MemberID) bool { return p.observed.Peers[id].Sealed }
	return p.assumeSealed || slices.ContainsFunc(p.view.Chain, sealed)
}

// isSource reports whether a member is known to have every committed entry, so that it may be the head.
func (p *planner) isSource(id MemberID) bool {
	entryEpoch := p.observed.Peers[id].EntryEpoch
	if p.view.inChain(id) && (!p.view.isCatchingUp(id) || entryEpoch == p.view.Epoch) {
		return true
	}
	if !p.epochSealed() {
		return false
	}
	completeEpoch, wasSource := uint64(0), slices.Contains(p.view.Sources, id)
	for _, past := range p.view.Unopened {
		if p.lastOpened(past, id) {
			completeEpoch, wasSource = past.Epoch, true
		}
	}
	return wasSource && p.nothingCommittedSince(completeEpoch)
}

// lastOpened reports whether a past epoch is the latest one that was open at a node. The node then has
// everything that was committed up to the end of that epoch.
func (p *planner) lastOpened(past PastChain, id MemberID) bool {
	return past.Epoch == p.observed.Peers[id].EntryEpoch && slices.Contains(past.Chain, id)
}

// nothingCommittedSince reports whether it is certain that nothing was committed in any unopened epoch after
// the given one.
func (p *planner) nothingCommittedSince(epoch uint64) bool {
	return !slices.ContainsFunc(p.view.Unopened, func(past PastChain) bool {
		return past.Epoch > epoch && !p.nothingCommittedIn(past)
	})
}

// nothingCommittedIn reports whether a past epoch has a replica that accepted no entry in it and, being in a
// later epoch, never will. Nothing was committed in that epoch then.
func (p *planner) nothingCommittedIn(past PastChain) bool {
	return slices.ContainsFunc(past.Chain, func(id MemberID) bool {
		peer := p.observed.Peers[id]
		return peer.ReportedInEpoch && peer.EntryEpoch < past.Epoch
	})
}

// openAtFullChain reports whether the current epoch is known to be open at all of its replicas.
func (p *planner) openAtFullChain() bool {
	closed := func(id MemberID) bool { return p.observed.Peers[id].EntryEpoch != p.view.Epoch }
	return !slices.ContainsFunc(p.view.Chain, closed)
}

// buildView returns the next view with the given members, at their latest known addresses, and the given
// chain.
func (p *planner) buildView(members []Member, chain []MemberID) View {
	next := View{Epoch: p.view.Epoch + 1, Members: slices.Clone(members), Chain: chain}
	for i, member := range next.Members {
		if address := p.observed.Peers[member.ID].Member.Address; address != "" {
			next.Members[i].Address = address
		}
	}
	for _, id := range chain {
		if !p.isSource(id) {
			next.CatchingUp = append(next.CatchingUp, id)
		}
	}
	var sources []MemberID
	next.Unopened, sources = p.unopened()
	for _, id := range memberIDs(members) {
		inherited := len(next.Unopened) > 0 && slices.Contains(sources, id)
		if inherited || p.isSource(id) {
			next.Sources = append(next.Sources, id)
		}
	}
	return next
}

// unopened returns the Unopened of the next view, and the members that have everything that was committed
// before the first of these epochs.
func (p *planner) unopened() ([]PastChain, []MemberID) {
	switch {
	case p.openAtFullChain():
		return nil, nil
	case p.epochSealed():
		return p.view.Unopened, p.view.Sources
	case len(p.view.Unopened) < maxUnopened:
		return append(slices.Clone(p.view.Unopened), p.view.pastChain()), p.view.Sources
	default:
		remaining, sources := p.dropUnopened()
		return append(remaining, p.view.pastChain()), sources
	}
}

// dropUnopened drops one of the unopened epochs and returns the rest with the members that have everything
// that was committed before the first of them. It prefers an epoch in which nothing was committed, unless a
// node counts as a source only because that epoch is the latest one that was open at it. Otherwise it drops
// the oldest epoch, and with it the sources that may lack its entries.
func (p *planner) dropUnopened() ([]PastChain, []MemberID) {
	sources, unopened := p.view.Sources, slices.Clone(p.view.Unopened)
	for index, past := range unopened {
		opened := p.replicasThatLastOpened(past)
		if !p.nothingCommittedIn(past) || index > 0 && len(opened) > 0 {
			continue
		}
		return slices.Delete(unopened, index, index+1), slices.Concat(sources, opened)
	}
	sources = nil
	for _, past := range unopened {
		sources = append(sources, p.replicasThatLastOpened(past)...)
	}
	return unopened[1:], sources
}

// replicasThatLastOpened returns the replicas of a past chain at which its epoch is the latest one that was
// open.
func (p *planner) replicasThatLastOpened(past PastChain) []MemberID {
	return slices.DeleteFunc(slices.Clone(past.Chain), func(id MemberID) bool { return !p.lastOpened(past, id) })
}
