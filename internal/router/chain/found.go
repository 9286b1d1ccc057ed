package chain

import (
	"slices"
	"time"
)

// retriesBeforeShrinking is how often an attempt is made again before one of too few members follows it.
const retriesBeforeShrinking = 4

// bootstrapState is a founder's part in agreeing on the first view. An attempt that gets no answer from all
// of its members is followed by one of a later epoch, which a member accepts only if it holds a majority of
// each attempt before it.
type bootstrapState struct {
	// view is the attempt, accepted are the members that have consented to it durably.
	view      View
	consented []MemberID
	// replied are all nodes that have answered in this round of the attempt, rounds are those before it.
	replied []Member
	retries int
	// candidates are those of the last call of Found.
	candidates []Member
	// competing are attempts of other founders that view doesn't name.
	competing []PastChain
	// startedAt is when the attempt began, sentAt when the members were asked last.
	startedAt, sentAt time.Duration
}

// Bootstrap asks members to accept the first view. It is decided when all of them have. A member that has
// already accepted another first view answers with it, and the founder goes on with that one. It may be
// called again with the members that are known by then; too few to bear the loss of a disk are asked only
// after a while.
func (n *Node) Bootstrap(now time.Duration, members []Member) Effects {
	n.begin(now)
	tooFew := len(members) < 2*n.config.RequiredReplicas-1 && n.now-n.started < n.config.BootstrapRetryAfter
	switch {
	case n.state.view.Epoch != 0 || len(members) == 0 || n.bootstrap == nil && tooFew:
	case n.bootstrap == nil || n.bootstrap.view.Epoch == 1 && len(n.bootstrap.replied) == 0:
		n.startBootstrapAttempt(firstView(1, members, nil), members)
	default:
		n.bootstrap.candidates = members
	}
	return n.finish()
}

// startBootstrapAttempt begins an attempt.
func (n *Node) startBootstrapAttempt(view View, candidates []Member) {
	n.bootstrap = &bootstrapState{view: view, candidates: candidates, startedAt: n.now}
	n.sendGenesis()
}

// sendGenesis asks all members; the answers of those who have accepted show that their disks are there.
func (n *Node) sendGenesis() {
	n.bootstrap.sentAt = n.now
	for _, member := range n.bootstrap.view.Members {
		n.sendTo(member, Message{Kind: Genesis, Address: n.config.Self.Address, View: n.bootstrap.view})
	}
}

// tickBootstrap asks again after a while, and begins another attempt after a longer one. A member that has
// consented and hears nothing of the view goes on with the founding itself: its founder may be gone.
func (n *Node) tickBootstrap() {
	b := n.bootstrap
	if n.state.view.Epoch != 0 {
		n.bootstrap = nil
		return
	}
	if b == nil {
		if n.state.genesis.Epoch > 0 && n.now >= n.bootstrapTakeoverAt {
			n.startBootstrapAttempt(n.state.genesis, nil)
		}
		return
	}
	if n.now-b.startedAt >= n.config.BootstrapRetryAfter {
		b.startedAt = n.now
		b.retries++
		if next, ok := b.nextAttempt(2*n.config.RequiredReplicas - 1); ok {
			n.startBootstrapAttempt(next, b.candidates)
			return
		}
		b.replied = nil
	}
	if n.now-b.sentAt >= n.config.ResendAfter {
		n.sendGenesis()
	}
}

// resetBootstrapTakeover sets the time at which this node takes the founding over.
func (n *Node) resetBootstrapTakeover() {
	jitter := time.Duration(n.config.Random.Int63n(int64(n.config.BootstrapRetryAfter)))
	n.bootstrapTakeoverAt = n.now + n.config.BootstrapRetryAfter + jitter
}

// nextAttempt returns the attempt behind this one: of those who have answered, and of candidates that weren't
// asked. Fewer members than wanted are tried only after some rounds.
func (b *bootstrapState) nextAttempt(minMembers int) (View, bool) {
	unopened := slices.Clone(b.view.Unopened)
	for _, past := range append([]PastChain{{b.view.Epoch, b.view.Chain}}, b.competing...) {
		if !slices.ContainsFunc(unopened, past.equal) {
			unopened = append(unopened, past)
		}
	}
	epoch := uint64(0)
	for _, past := range unopened {
		epoch = max(epoch, past.Epoch+1)
	}
	members := slices.Clone(b.replied)
	for _, candidate := range b.candidates {
		included := b.view.isMember(candidate.ID) || slices.Contains(memberIDs(members), candidate.ID)
		if !included {
			members = append(members, candidate)
		}
	}
	if len(members) < min(minMembers, len(b.view.Members)) && b.retries < retriesBeforeShrinking {
		return View{}, false
	}
	next := firstView(epoch, members, unopened)
	same := slices.Equal(sortedIDs(next.Chain), sortedIDs(b.view.Chain)) && len(b.competing) == 0
	return next, !same && len(unopened) <= maxUnopened && next.keepsMajorities()
}

// onGenesis accepts a first view, and tells which one this machine has accepted last.
func (n *Node) onGenesis(m *Message) {
	if n.config.HasDisk && n.mayAcceptGenesis(&m.View) {
		n.state.genesis = m.View
		n.changed[recordGenesis] = true
		n.resetBootstrapTakeover()
	}
	if n.state.genesis.Epoch == 0 {
		return
	}
	// The founder may be no member, and nobody else has told its address yet.
	n.sendTo(Member{m.From, m.Address}, Message{
		Kind: GenesisReply, Address: n.config.Self.Address, View: n.state.genesis,
	})
}

// mayAcceptGenesis tells whether this machine may accept a first view: one for each epoch, in rising order. A
// later attempt has to name all that this machine has accepted, and to hold a majority of each one it names:
// these then never adopt that one, so that it can neither open nor be followed by another view.
func (n *Node) mayAcceptGenesis(view *View) bool {
	latest := &n.state.genesis
	if view.Epoch <= latest.Epoch || !view.isMember(n.state.id) {
		return false
	}
	if view.Epoch == 1 {
		return n.config.AllowBootstrap || n.state.bootstrapAllowed
	}
	if len(view.Unopened) == 0 || !view.keepsMajorities() {
		return false
	}
	earlier := latest.Unopened
	if latest.Epoch > 0 {
		earlier = append(slices.Clone(earlier), PastChain{latest.Epoch, latest.Chain})
	}
	missing := func(past PastChain) bool { return !slices.ContainsFunc(view.Unopened, past.equal) }
	return !slices.ContainsFunc(earlier, missing)
}

// hasRevoked tells whether this machine has consented to a later attempt than a first view, which it must not
// adopt any more.
func (n *Node) hasRevoked(view *View) bool {
	past := PastChain{view.Epoch, view.Chain}
	return n.state.view.Epoch == 0 && slices.ContainsFunc(n.state.genesis.Unopened, past.equal)
}

// awaitsBootstrap tells whether this machine has revoked an attempt that others may have adopted. They have
// to go on without it until it hears of another view.
func (n *Node) awaitsBootstrap() bool { return n.state.view.Epoch == 0 && n.state.genesis.Epoch > 1 }

// onGenesisReply counts a member's answer; the first view is decided when all members have accepted it.
func (n *Node) onGenesisReply(m *Message) {
	b := n.bootstrap
	if n.state.view.Epoch != 0 || b == nil || m.View.Epoch == 0 {
		return
	}
	if !m.View.equal(b.view) {
		n.onCompetingGenesis(m)
		return
	}
	b.recordReply(m)
	if !slices.Contains(b.consented, m.From) {
		b.consented = append(b.consented, m.From)
	}
	for _, id := range memberIDs(b.view.Members) {
		if !slices.Contains(b.consented, id) {
			return
		}
	}
	n.adopt(b.view)
	n.broadcastView(nil)
}

// onCompetingGenesis takes note of another attempt: a later one, or one of the same epoch if nobody has
// accepted the own one, goes on; any other is one that the next attempt has to name.
func (n *Node) onCompetingGenesis(m *Message) {
	b := n.bootstrap
	if m.View.Epoch > b.view.Epoch || m.View.Epoch == b.view.Epoch && len(b.consented) == 0 {
		n.startBootstrapAttempt(m.View, b.candidates)
		return
	}
	b.recordReply(m)
	for _, past := range append([]PastChain{{m.View.Epoch, m.View.Chain}}, m.View.Unopened...) {
		named := slices.ContainsFunc(b.view.Unopened, past.equal) || slices.ContainsFunc(b.competing, past.equal)
		if !named && len(b.competing) < maxUnopened {
			b.competing = append(b.competing, past)
		}
	}
}

// recordReply notes who has answered.
func (b *bootstrapState) recordReply(m *Message) {
	member, ok := b.view.member(m.From)
	if !ok {
		member = Member{m.From, m.Address}
	}
	if !slices.Contains(b.replied, member) && len(b.replied) < maxPeers {
		b.replied = append(b.replied, member)
	}
}
