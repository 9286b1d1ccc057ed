package chain

import (
	"slices"
	"time"
)

// retriesBeforeShrinking is how often an attempt is repeated before one with fewer members than needed
// follows it.
const retriesBeforeShrinking = 4

// bootstrapState is the state of a node that tries to have a first view agreed on. An attempt that isn't
// accepted by all of its members is followed by one of a later epoch, which a member accepts only if it
// includes a majority of each attempt before it.
type bootstrapState struct {
	// view is the attempt, consented are the members that have durably accepted it.
	view      View
	consented []MemberID
	// replied are the nodes that have replied since the last retry, retries counts those of this attempt.
	replied []Member
	retries int
	// candidates are those of the last call of Node.Bootstrap.
	candidates []Member
	// competing are attempts of other nodes that view doesn't name.
	competing []PastChain
	// startedAt is when the attempt or its last retry began, sentAt when Genesis was sent last.
	startedAt, sentAt time.Duration
}

// Bootstrap asks members to accept the first view, which is decided once all of them have. A member that has
// already accepted another first view replies with that one, and this node continues with it.
//
// The caller, one designated node, may repeat the call with the members that it knows by then. While they are
// too few to survive the loss of a disk, nothing is sent until Config.BootstrapRetryAfter has passed.
func (n *Node) Bootstrap(now time.Duration, members []Member) Effects {
	n.begin(now)
	tooFew := len(members) < n.config.bootstrapMembers() && n.now-n.started < n.config.BootstrapRetryAfter
	switch {
	case n.state.view.Epoch != 0 || len(members) == 0 || n.bootstrap == nil && tooFew:
	case n.bootstrap == nil || n.bootstrap.view.Epoch == 1 && len(n.bootstrap.replied) == 0:
		n.startBootstrapAttempt(firstView(1, members, nil), members)
	default:
		n.bootstrap.candidates = members
	}
	return n.finish()
}

// bootstrapMembers returns how many members a first view needs so that a majority is left, with the required
// replicas, after all losses that are tolerated.
func (c *Config) bootstrapMembers() int { return 2*c.RequiredReplicas - 1 }

// startBootstrapAttempt proposes a first view.
func (n *Node) startBootstrapAttempt(view View, candidates []Member) {
	n.bootstrap = &bootstrapState{view: view, candidates: candidates, startedAt: n.now}
	n.sendGenesis()
}

// sendGenesis sends the attempt to all members, also to those that have accepted it: their replies show that
// their disks still exist.
func (n *Node) sendGenesis() {
	n.bootstrap.sentAt = n.now
	for _, member := range n.bootstrap.view.Members {
		n.sendTo(member, Message{Kind: Genesis, Address: n.config.Self.Address, View: n.bootstrap.view})
	}
}

// tickBootstrap resends Genesis, retries and starts further attempts. A member that has accepted a first view
// and is not notified of any decided one takes over: the node that bootstraps may have failed for good.
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
		if next, ok := b.nextAttempt(n.config.bootstrapMembers()); ok {
			n.startBootstrapAttempt(next, b.candidates)
			return
		}
		b.replied = nil
	}
	if n.now-b.sentAt >= n.config.ResendAfter {
		n.sendGenesis()
	}
}

// resetBootstrapTakeover draws the time at which this node takes over the bootstrap.
func (n *Node) resetBootstrapTakeover() {
	jitter := time.Duration(n.config.Random.Int63n(int64(n.config.BootstrapRetryAfter)))
	n.bootstrapTakeoverAt = n.now + n.config.BootstrapRetryAfter + jitter
}

// nextAttempt returns the attempt after this one, if there is any use in it: of the nodes that have replied
// and of candidates that were not asked. One with fewer than minMembers is made only after some retries.
func (b *bootstrapState) nextAttempt(minMembers int) (View, bool) {
	unopened := slices.Clone(b.view.Unopened)
	for _, past := range append([]PastChain{b.view.asPast()}, b.competing...) {
		if !containsPast(unopened, past) {
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

// onGenesis accepts a first view if it may, and reports the latest one that this node has accepted.
func (n *Node) onGenesis(m *Message) {
	if n.config.HasDisk && n.mayAcceptGenesis(&m.View) {
		n.state.genesis = m.View
		n.changed[recordGenesis] = true
		n.resetBootstrapTakeover()
	}
	if n.state.genesis.Epoch == 0 {
		return
	}
	// The sender need not be a member, and its address is known only from the message.
	n.sendTo(Member{m.From, m.Address}, Message{
		Kind: GenesisReply, Address: n.config.Self.Address, View: n.state.genesis,
	})
}

// mayAcceptGenesis reports whether this node may accept a first view: one per epoch, in ascending order. A
// later attempt has to name all that this node has accepted, and to include a majority of each one it names.
// That majority then never adopts the named one, so that it can neither open nor be succeeded by another
// view.
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
		earlier = append(slices.Clone(earlier), latest.asPast())
	}
	missing := func(past PastChain) bool { return !containsPast(view.Unopened, past) }
	return !slices.ContainsFunc(earlier, missing)
}

// hasRevoked reports whether this node has accepted a later attempt than a first view, which it must never
// adopt then.
func (n *Node) hasRevoked(view *View) bool {
	return n.state.view.Epoch == 0 && containsPast(n.state.genesis.Unopened, view.asPast())
}

// awaitsBootstrap reports whether this node has revoked an attempt that others may have adopted. They have to
// proceed without it until it learns of another view.
func (n *Node) awaitsBootstrap() bool { return n.state.view.Epoch == 0 && n.state.genesis.Epoch > 1 }

// onGenesisReply decides the first view once all of its members have accepted it.
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

// onCompetingGenesis continues with another attempt if that is later, or of the same epoch while nobody has
// accepted the own one. Any other is recorded for the next attempt to name.
func (n *Node) onCompetingGenesis(m *Message) {
	b := n.bootstrap
	if m.View.Epoch > b.view.Epoch || m.View.Epoch == b.view.Epoch && len(b.consented) == 0 {
		n.startBootstrapAttempt(m.View, b.candidates)
		return
	}
	b.recordReply(m)
	for _, past := range append([]PastChain{m.View.asPast()}, m.View.Unopened...) {
		known := containsPast(b.view.Unopened, past) || containsPast(b.competing, past)
		if !known && len(b.competing) < maxUnopened {
			b.competing = append(b.competing, past)
		}
	}
}

// recordReply adds the sender of a GenesisReply to those that have replied.
func (b *bootstrapState) recordReply(m *Message) {
	member, ok := b.view.member(m.From)
	if !ok {
		member = Member{m.From, m.Address}
	}
	if !slices.Contains(b.replied, member) && len(b.replied) < maxPeers {
		b.replied = append(b.replied, member)
	}
}
