package chain

import (
	"slices"
	"time"
)

// retriesBeforeShrinking is how often an attempt is repeated before one with fewer members than needed
// follows it.
const retriesBeforeShrinking = 4

// bootstrapState is the volatile state of a node that tries to have a first view agreed on. An attempt is a
// first view that is proposed by BootstrapAccept; it is decided once all of its members have accepted it. One
// that doesn't get there is followed by an attempt of a later epoch, which names the earlier ones in
// View.Unopened. What a member has accepted is durable, in durableState.genesis.
//
// At most one attempt can ever be used, because of three invariants, which mayAcceptGenesis and hasRevoked
// keep at each member:
//
//   - It accepts attempts in ascending order of epochs, at most one per epoch.
//   - It accepts a later attempt only if that names all attempts that it has accepted, and has a majority of
//     the chain of each attempt that it names among its members.
//   - It never adopts an attempt that a later one which it has accepted names.
//
// Once a later attempt is decided, a majority of each earlier one therefore never adopts that one, so that it
// can neither open nor decide a successor.
type bootstrapState struct {
	// view is the attempt. Its members in accepted have durably accepted it.
	view     View
	accepted []MemberID
	// replied are the nodes that have replied since the last retry. retries counts those of this attempt.
	replied []Member
	retries int
	// candidates are the members that the last call of Node.Bootstrap named.
	candidates []Member
	// competing are attempts of other nodes that view doesn't name.
	competing []PastChain
	// startedAt is when the attempt or its last retry began. sentAt is when BootstrapAccept was sent last.
	startedAt, sentAt time.Duration
}

// Bootstrap asks members to accept the first view, which is decided once all of them have. A member that has
// already accepted another first view replies with that one, and this node continues with it.
//
// The caller, one designated node, may repeat the call with the members that it knows by then. While they are
// too few to survive the loss of a disk, nothing is sent until Config.BootstrapRetryAfter has passed.
func (n *Node) Bootstrap(now time.Duration, members []Member) Effects {
	n.begin(now)
	if n.state.view.Epoch == 0 && len(members) > 0 {
		n.bootstrapWith(members)
	}
	return n.finish()
}

// bootstrapWith starts the first attempt, or starts it again with other members while none has replied.
// Otherwise the members are candidates of the next attempt.
func (n *Node) bootstrapWith(members []Member) {
	attempt := n.bootstrap
	if attempt == nil && n.awaitsMoreMembers(members) {
		return
	}
	if attempt == nil || attempt.view.Epoch == 1 && len(attempt.replied) == 0 {
		n.startBootstrapAttempt(firstView(1, members, nil), members)
		return
	}
	attempt.candidates = members
}

// awaitsMoreMembers reports whether a first attempt should wait because too few members are known.
func (n *Node) awaitsMoreMembers(members []Member) bool {
	return len(members) < n.config.bootstrapMembers() && n.now-n.started < n.config.BootstrapRetryAfter
}

// bootstrapMembers returns how many members a first view needs so that a majority is left, with the required
// replicas, after all losses that are tolerated.
func (c *Config) bootstrapMembers() int { return 2*c.RequiredReplicas - 1 }

// startBootstrapAttempt proposes a first view; candidates are the members to add if it fails.
func (n *Node) startBootstrapAttempt(view View, candidates []Member) {
	n.bootstrap = &bootstrapState{view: view, candidates: candidates, startedAt: n.now}
	n.sendGenesis()
}

// sendGenesis sends the attempt to all members, also to those that have accepted it: their replies show that
// their disks still exist.
func (n *Node) sendGenesis() {
	n.bootstrap.sentAt = n.now
	for _, member := range n.bootstrap.view.Members {
		n.sendTo(member, Message{Kind: BootstrapAccept, Address: n.config.Self.Address, View: n.bootstrap.view})
	}
}

// tickBootstrap lets time pass for the bootstrap, which ends once this node has a view.
func (n *Node) tickBootstrap() {
	switch {
	case n.state.view.Epoch != 0:
		n.bootstrap = nil
	case n.bootstrap == nil:
		n.takeOverBootstrap()
	default:
		n.continueBootstrap()
	}
}

// takeOverBootstrap continues an attempt that this node has accepted if it is not notified of any decided
// view for too long: the node that bootstraps may have failed for good.
func (n *Node) takeOverBootstrap() {
	if n.state.genesis.Epoch > 0 && n.now >= n.bootstrapTakeoverAt {
		n.startBootstrapAttempt(n.state.genesis, nil)
	}
}

// continueBootstrap starts the next attempt, or retries or resends this one, when that is due.
func (n *Node) continueBootstrap() {
	attempt := n.bootstrap
	if n.now-attempt.startedAt >= n.config.BootstrapRetryAfter {
		attempt.startedAt = n.now
		attempt.retries++
		if next, ok := attempt.nextAttempt(n.config.bootstrapMembers()); ok {
			n.startBootstrapAttempt(next, attempt.candidates)
			return
		}
		attempt.replied = nil
	}
	if n.now-attempt.sentAt >= n.config.ResendAfter {
		n.sendGenesis()
	}
}

// resetBootstrapTakeover draws the time at which this node takes over the bootstrap.
func (n *Node) resetBootstrapTakeover() {
	jitter := time.Duration(n.config.Random.Int63n(int64(n.config.BootstrapRetryAfter)))
	n.bootstrapTakeoverAt = n.now + n.config.BootstrapRetryAfter + jitter
}

// nextAttempt returns the attempt after this one, or false if this one should be retried: because the next
// one would have fewer than minMembers, which is allowed only after some retries, because it would be no
// different, or because no member could accept it.
func (b *bootstrapState) nextAttempt(minMembers int) (View, bool) {
	members, earlier := b.nextMembers(), b.earlierAttempts()
	if len(members) < min(minMembers, len(b.view.Members)) && b.retries < retriesBeforeShrinking {
		return View{}, false
	}
	next := firstView(epochAfter(earlier), members, earlier)
	same := slices.Equal(sortedIDs(next.Chain), sortedIDs(b.view.Chain)) && len(b.competing) == 0
	return next, !same && len(earlier) <= maxUnopened && next.keepsMajorities()
}

// earlierAttempts returns the attempts that the next one has to name: this one and all known before it.
func (b *bootstrapState) earlierAttempts() []PastChain {
	earlier := slices.Clone(b.view.Unopened)
	for _, past := range append([]PastChain{b.view.asPast()}, b.competing...) {
		if !containsPast(earlier, past) {
			earlier = append(earlier, past)
		}
	}
	return earlier
}

// epochAfter returns the first epoch after those of some past chains.
func epochAfter(earlier []PastChain) uint64 {
	epoch := uint64(0)
	for _, past := range earlier {
		epoch = max(epoch, past.Epoch+1)
	}
	return epoch
}

// nextMembers returns the members of the next attempt: the nodes that have replied, and the candidates that
// were not asked.
func (b *bootstrapState) nextMembers() []Member {
	members := slices.Clone(b.replied)
	for _, candidate := range b.candidates {
		included := b.view.isMember(candidate.ID) || slices.Contains(memberIDs(members), candidate.ID)
		if !included {
			members = append(members, candidate)
		}
	}
	return members
}

// onGenesis accepts an attempt if it may, and reports the latest one that this node has accepted. The record
// of an attempt is durable before the reply leaves, see Effects.
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
		Kind: BootstrapAcceptReply, Address: n.config.Self.Address, View: n.state.genesis,
	})
}

// mayAcceptGenesis reports whether this node may accept an attempt by the invariants of bootstrapState.
func (n *Node) mayAcceptGenesis(view *View) bool {
	switch {
	case view.Epoch <= n.state.genesis.Epoch || !view.isMember(n.state.id):
		return false
	case view.Epoch == 1:
		return n.config.AllowBootstrap || n.state.bootstrapAllowed
	case len(view.Unopened) == 0:
		return false
	default:
		return view.keepsMajorities() && n.namesAcceptedAttempts(view)
	}
}

// namesAcceptedAttempts reports whether an attempt names all that this node has accepted.
func (n *Node) namesAcceptedAttempts(view *View) bool {
	latest := &n.state.genesis
	accepted := latest.Unopened
	if latest.Epoch > 0 {
		accepted = append(slices.Clone(accepted), latest.asPast())
	}
	missing := func(past PastChain) bool { return !containsPast(view.Unopened, past) }
	return !slices.ContainsFunc(accepted, missing)
}

// hasRevoked reports whether this node has accepted a later attempt than a first view. It must never adopt
// that view then.
func (n *Node) hasRevoked(view *View) bool {
	return n.state.view.Epoch == 0 && containsPast(n.state.genesis.Unopened, view.asPast())
}

// awaitsBootstrap reports whether this node has revoked an attempt that others may have adopted. They have to
// proceed without it until it learns of another view.
func (n *Node) awaitsBootstrap() bool { return n.state.view.Epoch == 0 && n.state.genesis.Epoch > 1 }

// onGenesisReply decides the first view once all of its members have accepted it.
func (n *Node) onGenesisReply(m *Message) {
	attempt := n.bootstrap
	if n.state.view.Epoch != 0 || attempt == nil || m.View.Epoch == 0 {
		return
	}
	if !m.View.equal(attempt.view) {
		n.onCompetingGenesis(m)
		return
	}
	attempt.recordReply(m)
	attempt.recordAccepted(m.From)
	if attempt.acceptedByAll() {
		n.adopt(attempt.view)
		n.broadcastView(nil)
	}
}

// recordAccepted adds a member to those that have accepted the attempt.
func (b *bootstrapState) recordAccepted(id MemberID) {
	if !slices.Contains(b.accepted, id) {
		b.accepted = append(b.accepted, id)
	}
}

// acceptedByAll reports whether all members have accepted the attempt, which decides it.
func (b *bootstrapState) acceptedByAll() bool {
	missing := func(member Member) bool { return !slices.Contains(b.accepted, member.ID) }
	return !slices.ContainsFunc(b.view.Members, missing)
}

// onCompetingGenesis continues with another attempt if that is later, or of the same epoch while nobody has
// accepted the own one. Any other is recorded for the next attempt to name.
func (n *Node) onCompetingGenesis(m *Message) {
	attempt := n.bootstrap
	sameEpoch := m.View.Epoch == attempt.view.Epoch
	if m.View.Epoch > attempt.view.Epoch || sameEpoch && len(attempt.accepted) == 0 {
		n.startBootstrapAttempt(m.View, attempt.candidates)
		return
	}
	attempt.recordReply(m)
	attempt.recordCompeting(&m.View)
}

// recordCompeting adds an attempt of another node, and those that it names, to the competing ones.
func (b *bootstrapState) recordCompeting(view *View) {
	for _, past := range append([]PastChain{view.asPast()}, view.Unopened...) {
		known := containsPast(b.view.Unopened, past) || containsPast(b.competing, past)
		if !known && len(b.competing) < maxUnopened {
			b.competing = append(b.competing, past)
		}
	}
}

// recordReply adds the sender of a BootstrapAcceptReply to those that have replied.
func (b *bootstrapState) recordReply(m *Message) {
	member, ok := b.view.member(m.From)
	if !ok {
		member = Member{m.From, m.Address}
	}
	if !slices.Contains(b.replied, member) && len(b.replied) < maxPeers {
		b.replied = append(b.replied, member)
	}
}
