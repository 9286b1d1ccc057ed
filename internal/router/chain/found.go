package chain

import (
	"slices"
	"time"
)

// patientRounds is how often an attempt is made again before one of too few members follows it.
const patientRounds = 4

// founding is a founder's part in agreeing on the first view. An attempt that gets no answer from all of its
// members is followed by one of a later epoch, which a member accepts only if it holds a majority of each
// attempt before it.
type founding struct {
	// view is the attempt, accepted are the members that have consented to it durably.
	view     View
	accepted []MemberID
	// answered are all nodes that have answered in this round of the attempt, rounds are those before it.
	answered []Member
	rounds   int
	// candidates are those of the last call of Found.
	candidates []Member
	// others are attempts of other founders that view doesn't name.
	others []PastChain
	// begun is when the attempt began, sentAt when the members were asked last.
	begun, sentAt time.Duration
}

// Found asks members to accept the first view. It is decided when all of them have. A member that has already
// accepted another first view answers with it, and the founder goes on with that one. It may be called again
// with the members that are known by then; too few to bear the loss of a disk are asked only after a while.
func (n *Node) Found(now time.Duration, members []Member) Effects {
	n.begin(now)
	tooFew := len(members) < 2*n.config.RequiredCopies-1 && n.now-n.started < n.config.RefoundAfter
	switch {
	case n.state.view.Epoch != 0 || len(members) == 0 || n.founding == nil && tooFew:
	case n.founding == nil || n.founding.view.Epoch == 1 && len(n.founding.answered) == 0:
		n.tryFounding(firstView(1, members, nil), members)
	default:
		n.founding.candidates = members
	}
	return n.finish()
}

// tryFounding begins an attempt.
func (n *Node) tryFounding(view View, candidates []Member) {
	n.founding = &founding{view: view, candidates: candidates, begun: n.now}
	n.sendGenesis()
}

// sendGenesis asks all members; the answers of those who have accepted show that their disks are there.
func (n *Node) sendGenesis() {
	n.founding.sentAt = n.now
	for _, member := range n.founding.view.Members {
		n.sendTo(member, Message{Kind: Genesis, Address: n.config.Self.Address, View: n.founding.view})
	}
}

// driveFounding asks again after a while, and begins another attempt after a longer one. A member that has
// consented and hears nothing of the view goes on with the founding itself: its founder may be gone.
func (n *Node) driveFounding() {
	f := n.founding
	if n.state.view.Epoch != 0 {
		n.founding = nil
		return
	}
	if f == nil {
		if n.state.genesis.Epoch > 0 && n.now >= n.takeOverAt {
			n.tryFounding(n.state.genesis, nil)
		}
		return
	}
	if n.now-f.begun >= n.config.RefoundAfter {
		f.begun = n.now
		f.rounds++
		if next, found := f.next(2*n.config.RequiredCopies - 1); found {
			n.tryFounding(next, f.candidates)
			return
		}
		f.answered = nil
	}
	if n.now-f.sentAt >= n.config.ResendAfter {
		n.sendGenesis()
	}
}

// expectFounder sets the time at which this node takes the founding over.
func (n *Node) expectFounder() {
	jitter := time.Duration(n.config.Random.Int63n(int64(n.config.RefoundAfter)))
	n.takeOverAt = n.now + n.config.RefoundAfter + jitter
}

// next returns the attempt behind this one: of those who have answered, and of candidates that weren't asked.
// Fewer members than wanted are tried only after some rounds.
func (f *founding) next(wanted int) (View, bool) {
	unopened := slices.Clone(f.view.Unopened)
	for _, past := range append([]PastChain{{f.view.Epoch, f.view.Chain}}, f.others...) {
		if !slices.ContainsFunc(unopened, past.equal) {
			unopened = append(unopened, past)
		}
	}
	epoch := uint64(0)
	for _, past := range unopened {
		epoch = max(epoch, past.Epoch+1)
	}
	members := slices.Clone(f.answered)
	for _, candidate := range f.candidates {
		asked := f.view.isMember(candidate.ID) || slices.Contains(identities(members), candidate.ID)
		if !asked {
			members = append(members, candidate)
		}
	}
	if len(members) < min(wanted, len(f.view.Members)) && f.rounds < patientRounds {
		return View{}, false
	}
	next := firstView(epoch, members, unopened)
	same := slices.Equal(sorted(next.Chain), sorted(f.view.Chain)) && len(f.others) == 0
	return next, !same && len(unopened) <= maxUnopened && next.holdsMajorities()
}

// onGenesis accepts a first view, and tells which one this machine has accepted last.
func (n *Node) onGenesis(m *Message) {
	if n.config.HasDisk && n.mayConsent(&m.View) {
		n.state.genesis = m.View
		n.changed[recordGenesis] = true
		n.expectFounder()
	}
	if n.state.genesis.Epoch == 0 {
		return
	}
	// The founder may be no member, and nobody else has told its address yet.
	n.sendTo(Member{m.From, m.Address}, Message{
		Kind: GenesisReply, Address: n.config.Self.Address, View: n.state.genesis,
	})
}

// mayConsent tells whether this machine may accept a first view: one for each epoch, in rising order. A later
// attempt has to name all that this machine has accepted, and to hold a majority of each one it names: these
// then never adopt that one, so that it can neither open nor be followed by another view.
func (n *Node) mayConsent(view *View) bool {
	own := &n.state.genesis
	if view.Epoch <= own.Epoch || !view.isMember(n.state.id) {
		return false
	}
	if view.Epoch == 1 {
		return n.config.FirstStart || n.state.fromFirstStart
	}
	if len(view.Unopened) == 0 || !view.holdsMajorities() {
		return false
	}
	accepted := own.Unopened
	if own.Epoch > 0 {
		accepted = append(slices.Clone(accepted), PastChain{own.Epoch, own.Chain})
	}
	missing := func(past PastChain) bool { return !slices.ContainsFunc(view.Unopened, past.equal) }
	return !slices.ContainsFunc(accepted, missing)
}

// hasRevoked tells whether this machine has consented to a later attempt than a first view, which it must not
// adopt any more.
func (n *Node) hasRevoked(view *View) bool {
	past := PastChain{view.Epoch, view.Chain}
	return n.state.view.Epoch == 0 && slices.ContainsFunc(n.state.genesis.Unopened, past.equal)
}

// waitsForFounding tells whether this machine has revoked an attempt that others may have adopted. They have
// to go on without it until it hears of another view.
func (n *Node) waitsForFounding() bool { return n.state.view.Epoch == 0 && n.state.genesis.Epoch > 1 }

// onGenesisReply counts a member's answer; the first view is decided when all members have accepted it.
func (n *Node) onGenesisReply(m *Message) {
	f := n.founding
	if n.state.view.Epoch != 0 || f == nil || m.View.Epoch == 0 {
		return
	}
	if !m.View.equal(f.view) {
		n.onOtherGenesis(m)
		return
	}
	f.noteAnswer(m)
	if !slices.Contains(f.accepted, m.From) {
		f.accepted = append(f.accepted, m.From)
	}
	for _, id := range identities(f.view.Members) {
		if !slices.Contains(f.accepted, id) {
			return
		}
	}
	n.adopt(f.view)
	n.spread(nil)
}

// onOtherGenesis takes note of another attempt: a later one, or one of the same epoch if nobody has accepted
// the own one, goes on; any other is one that the next attempt has to name.
func (n *Node) onOtherGenesis(m *Message) {
	f := n.founding
	if m.View.Epoch > f.view.Epoch || m.View.Epoch == f.view.Epoch && len(f.accepted) == 0 {
		n.tryFounding(m.View, f.candidates)
		return
	}
	f.noteAnswer(m)
	for _, past := range append([]PastChain{{m.View.Epoch, m.View.Chain}}, m.View.Unopened...) {
		known := slices.ContainsFunc(f.view.Unopened, past.equal) || slices.ContainsFunc(f.others, past.equal)
		if !known && len(f.others) < maxUnopened {
			f.others = append(f.others, past)
		}
	}
}

// noteAnswer notes who has answered.
func (f *founding) noteAnswer(m *Message) {
	member, found := f.view.member(m.From)
	if !found {
		member = Member{m.From, m.Address}
	}
	if !slices.Contains(f.answered, member) && len(f.answered) < maxPeers {
		f.answered = append(f.answered, member)
	}
}
