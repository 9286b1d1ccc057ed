package chain

import (
	"slices"
	"time"
)

// retriesBeforeShrinking is how many times an attempt is retried before it may be followed by an attempt with
// fewer members than bootstrapMembers.
const retriesBeforeShrinking = 4

// bootstrapState is the volatile state of a node that tries to get a first view decided. An attempt is a
// first view that is proposed by BootstrapAccept messages; it is decided once all of its members have
// accepted it. An attempt that isn't decided is followed by an attempt of a later epoch, which lists the
// earlier ones in View.Unopened. The latest attempt that a member has accepted is durable, in
// durableState.acceptedFirstView.
//
// At most one attempt can ever open or decide a successor, because mayAcceptAttempt and hasRevoked ensure
// three invariants at each member:
//
//   - It accepts attempts in ascending order of epochs, at most one per epoch.
//   - It accepts a later attempt only if that attempt lists all attempts that the member has accepted, and if
//     the members of the later attempt include a majority of the chain of each attempt that it lists.
//   - It never adopts an attempt that is listed by a later attempt that the member has accepted. By accepting
//     the later one it has revoked its acceptance of the earlier one.
//
// Therefore, once a later attempt is decided, a majority of the chain of each earlier attempt never adopts
// that one, so that the earlier attempt can neither open nor decide a successor.
type bootstrapState struct {
	// view is the attempt. accepted are its members that have durably accepted it.
	view     View
	accepted []MemberID
	// replied are the nodes that have replied since the last retry. retries is the number of retries of this
	// attempt.
	replied []Member
	retries int
	// candidates are the members that the last call of Node.Bootstrap passed.
	candidates []Member
	// competing are attempts of other nodes that view doesn't list in Unopened.
	competing []PastChain
	// startedAt is when the attempt or its last retry began. sentAt is when BootstrapAccept was last sent.
	startedAt, sentAt time.Duration
}

// Bootstrap asks members to accept a first view, which is decided once all of them have accepted it. A member
// that has already accepted another first view replies with that one, and this node either continues with it
// or lists it in its next attempt.
//
// Only one designated node should call Bootstrap. It may repeat the call with the members that it knows by
// then. While there are too few members to tolerate the loss of a disk, nothing is sent until
// Config.BootstrapRetryAfter has passed since the start of the node.
func (n *Node) Bootstrap(now time.Duration, members []Member) Effects {
	n.begin(now)
	if n.state.view.Epoch == 0 && len(members) > 0 {
		n.bootstrapWith(members)
	}
	return n.finish()
}

// bootstrapWith starts the first attempt, or restarts it with other members as long as no member has replied.
// After that, the members are the candidates for the next attempt.
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

// awaitsMoreMembers reports whether the first attempt should wait because too few members are known.
func (n *Node) awaitsMoreMembers(members []Member) bool {
	return len(members) < n.config.bootstrapMembers() && n.now-n.started < n.config.BootstrapRetryAfter
}

// bootstrapMembers returns how many members a first view needs so that both a majority of them and
// RequiredReplicas are left after the tolerated number of losses, RequiredReplicas-1.
func (c *Config) bootstrapMembers() int { return 2*c.RequiredReplicas - 1 }

// startBootstrapAttempt proposes a first view; candidates are the members to add to the next attempt if this
// one is not decided.
func (n *Node) startBootstrapAttempt(view View, candidates []Member) {
	n.bootstrap = &bootstrapState{view: view, candidates: candidates, startedAt: n.now}
	n.sendBootstrapAccept()
}

// sendBootstrapAccept sends the attempt to all members, also to those that have accepted it: their replies
// show that their disks still exist.
func (n *Node) sendBootstrapAccept() {
	n.bootstrap.sentAt = n.now
	for _, member := range n.bootstrap.view.Members {
		n.sendTo(member, Message{Kind: BootstrapAccept, Address: n.config.Self.Address, View: n.bootstrap.view})
	}
}

// tickBootstrap performs the time-dependent work of the bootstrap, which ends once this node has a view.
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

// takeOverBootstrap proposes the attempt that this node has accepted if it has learned of no decided view by
// bootstrapTakeoverAt: the bootstrapping node may have failed permanently.
func (n *Node) takeOverBootstrap() {
	if n.state.acceptedFirstView.Epoch > 0 && n.now >= n.bootstrapTakeoverAt {
		n.startBootstrapAttempt(n.state.acceptedFirstView, nil)
	}
}

// continueBootstrap starts the next attempt, retries the current one or resends it, when that is due.
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
		n.sendBootstrapAccept()
	}
}

// resetBootstrapTakeover sets the time at which this node takes over the bootstrap, with a random jitter so
// that the members don't do so at the same time.
func (n *Node) resetBootstrapTakeover() {
	jitter := time.Duration(n.config.Random.Int63n(int64(n.config.BootstrapRetryAfter)))
	n.bootstrapTakeoverAt = n.now + n.config.BootstrapRetryAfter + jitter
}

// nextAttempt returns the attempt that follows this one, or false if this one should be retried. That is the
// case if the next one would have fewer than minMembers, which is allowed only after retriesBeforeShrinking
// retries, if it would have the same members and no competing attempts to list, or if no member could accept
// it.
func (b *bootstrapState) nextAttempt(minMembers int) (View, bool) {
	members, earlier := b.nextMembers(), b.earlierAttempts()
	if len(members) < min(minMembers, len(b.view.Members)) && b.retries < retriesBeforeShrinking {
		return View{}, false
	}
	next := firstView(epochAfter(earlier), members, earlier)
	same := slices.Equal(sortedIDs(next.Chain), sortedIDs(b.view.Chain)) && len(b.competing) == 0
	return next, !same && len(earlier) <= maxUnopened && next.keepsMajorities()
}

// earlierAttempts returns the attempts that the next one has to list in Unopened: this one, those that it
// lists and the competing ones.
func (b *bootstrapState) earlierAttempts() []PastChain {
	earlier := slices.Clone(b.view.Unopened)
	for _, past := range append([]PastChain{b.view.pastChain()}, b.competing...) {
		if !containsPastChain(earlier, past) {
			earlier = append(earlier, past)
		}
	}
	return earlier
}

// epochAfter returns the first epoch after those of the given past chains.
func epochAfter(earlier []PastChain) uint64 {
	epoch := uint64(0)
	for _, past := range earlier {
		epoch = max(epoch, past.Epoch+1)
	}
	return epoch
}

// nextMembers returns the members of the next attempt: the nodes that have replied, and the candidates that
// are not members of this attempt.
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

// onBootstrapAccept accepts an attempt if this node may, and replies with the latest one that it has
// accepted. The record of an attempt is durable before the reply leaves, see Effects.
func (n *Node) onBootstrapAccept(m *Message) {
	if n.config.HasDisk && n.mayAcceptAttempt(&m.View) {
		n.state.acceptedFirstView = m.View
		n.changed[recordFirstView] = true
		n.resetBootstrapTakeover()
	}
	if n.state.acceptedFirstView.Epoch == 0 {
		return
	}
	// The sender need not be a member, and its address is known only from the message.
	n.sendTo(Member{m.From, m.Address}, Message{
		Kind: BootstrapAcceptReply, Address: n.config.Self.Address, View: n.state.acceptedFirstView,
	})
}

// mayAcceptAttempt reports whether this node may accept an attempt by the invariants of bootstrapState.
func (n *Node) mayAcceptAttempt(view *View) bool {
	switch {
	case view.Epoch <= n.state.acceptedFirstView.Epoch || !view.isMember(n.state.id):
		return false
	case view.Epoch == 1:
		return n.config.AllowBootstrap || n.state.bootstrapAllowed
	case len(view.Unopened) == 0:
		return false
	default:
		return view.keepsMajorities() && n.listsAcceptedAttempts(view)
	}
}

// listsAcceptedAttempts reports whether an attempt lists all attempts that this node has accepted.
func (n *Node) listsAcceptedAttempts(view *View) bool {
	latest := &n.state.acceptedFirstView
	accepted := latest.Unopened
	if latest.Epoch > 0 {
		accepted = append(slices.Clone(accepted), latest.pastChain())
	}
	missing := func(past PastChain) bool { return !containsPastChain(view.Unopened, past) }
	return !slices.ContainsFunc(accepted, missing)
}

// hasRevoked reports whether this node has accepted a later attempt that lists a first view. It must never
// adopt that first view then.
func (n *Node) hasRevoked(view *View) bool {
	return n.state.view.Epoch == 0 && containsPastChain(n.state.acceptedFirstView.Unopened, view.pastChain())
}

// awaitsBootstrap reports whether this node has no view and has revoked an attempt that others may have
// adopted. They have to proceed without this node until it learns of another view.
func (n *Node) awaitsBootstrap() bool {
	return n.state.view.Epoch == 0 && n.state.acceptedFirstView.Epoch > 1
}

// onBootstrapAcceptReply adopts and announces the first view once all of its members have accepted it, which
// decides it.
func (n *Node) onBootstrapAcceptReply(m *Message) {
	attempt := n.bootstrap
	if n.state.view.Epoch != 0 || attempt == nil || m.View.Epoch == 0 {
		return
	}
	if !m.View.equal(attempt.view) {
		n.onCompetingAttempt(m)
		return
	}
	attempt.addReplied(m)
	attempt.addAccepted(m.From)
	if attempt.acceptedByAll() {
		n.adopt(attempt.view)
		n.broadcastView(nil)
	}
}

// addAccepted adds a member to those that have accepted the attempt.
func (b *bootstrapState) addAccepted(id MemberID) {
	if !slices.Contains(b.accepted, id) {
		b.accepted = append(b.accepted, id)
	}
}

// acceptedByAll reports whether all members have accepted the attempt, which means that it is decided.
func (b *bootstrapState) acceptedByAll() bool {
	missing := func(member Member) bool { return !slices.Contains(b.accepted, member.ID) }
	return !slices.ContainsFunc(b.view.Members, missing)
}

// onCompetingAttempt continues with the attempt of another node if it is later, or if it has the same epoch
// and no member has accepted this node's attempt. Otherwise the next attempt has to list it.
func (n *Node) onCompetingAttempt(m *Message) {
	attempt := n.bootstrap
	sameEpoch := m.View.Epoch == attempt.view.Epoch
	if m.View.Epoch > attempt.view.Epoch || sameEpoch && len(attempt.accepted) == 0 {
		n.startBootstrapAttempt(m.View, attempt.candidates)
		return
	}
	attempt.addReplied(m)
	attempt.addCompeting(&m.View)
}

// addCompeting adds an attempt of another node, and the attempts that it lists, to the competing ones.
func (b *bootstrapState) addCompeting(view *View) {
	for _, past := range append([]PastChain{view.pastChain()}, view.Unopened...) {
		known := containsPastChain(b.view.Unopened, past) || containsPastChain(b.competing, past)
		if !known && len(b.competing) < maxUnopened {
			b.competing = append(b.competing, past)
		}
	}
}

// addReplied adds the sender of a BootstrapAcceptReply to those that have replied.
func (b *bootstrapState) addReplied(m *Message) {
	member, ok := b.view.member(m.From)
	if !ok {
		member = Member{m.From, m.Address}
	}
	if !slices.Contains(b.replied, member) && len(b.replied) < maxPeers {
		b.replied = append(b.replied, member)
	}
}
