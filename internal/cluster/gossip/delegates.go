package gossip

import (
	"encoding/json"

	"github.com/hashicorp/memberlist"

	"cresshub/internal/cluster/membership"
)

// eventDelegate receives memberlist's events. memberlist calls it under its own lock: it must not call
// memberlist back.
type eventDelegate Fleet

// NotifyJoin is called when memberlist learns of a member that is alive.
func (e *eventDelegate) NotifyJoin(node *memberlist.Node) { e.notify(node, membership.Alive) }

// NotifyUpdate is called when a member's metadata changes.
func (e *eventDelegate) NotifyUpdate(node *memberlist.Node) { e.notify(node, membership.Alive) }

// NotifyLeave is called when a member left or died; memberlist's Node does not distinguish the two (its State
// field is never set). A member that leaves sets its phase to leaving first, and announces the leave to each
// member in a datagram, which normally arrives before gossip of the leave.
func (e *eventDelegate) NotifyLeave(node *memberlist.Node) {
	f := (*Fleet)(e)
	status := membership.Dead
	var meta membership.Meta
	f.mu.Lock()
	incarnation, announced := f.announcedLeaves[node.Name]
	delete(f.announcedLeaves, node.Name)
	f.mu.Unlock()
	if decodeMeta(node.Meta, &meta) == nil &&
		(meta.Phase == membership.Leaving || announced && incarnation == meta.Incarnation) {
		status = membership.Left
	}
	e.notify(node, status)
}

func (e *eventDelegate) notify(node *memberlist.Node, status membership.Status) {
	f := (*Fleet)(e)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observeNode(f.now(), node, status)
}

// NotifyConflict is called when two processes claim one name, which may be this member's.
func (e *eventDelegate) NotifyConflict(existing, other *memberlist.Node) {
	f := (*Fleet)(e)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counters.Conflicts++
	if existing.Name == f.opts.Name {
		f.conflictAddress = other.Address()
	}
	f.log.Warn("fleet: name claimed by two processes; the later one rejected", "member", existing.Name,
		"held", existing.Address(), "refused", other.Address())
}

// delegate provides this member's metadata to memberlist, and receives user messages and alive messages of
// other members and the states that they send in a join.
type delegate Fleet

// NodeMeta returns this member's encoded metadata, or nil if it is longer than limit, in bytes.
func (d *delegate) NodeMeta(limit int) []byte {
	meta := encodeMeta(*(*Fleet)(d).meta.Load())
	if len(meta) > limit {
		return nil
	}
	return meta
}

// leaveMessage announces that its sender leaves. It is the only user message that this program sends through
// memberlist: JSON in a datagram.
type leaveMessage struct {
	Name        string `json:"leaving"`
	Incarnation uint64 `json:"inc"`
}

// NotifyMsg handles a leaveMessage. Any other user message is counted and dropped.
func (d *delegate) NotifyMsg(raw []byte) {
	f := (*Fleet)(d)
	var leave leaveMessage
	err := json.Unmarshal(raw, &leave)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil || leave.Name == "" {
		f.counters.MessagesRefused++
		return
	}
	if len(f.announcedLeaves) < f.opts.Membership.MaxMembers {
		f.announcedLeaves[leave.Name] = leave.Incarnation
	}
	// Applies the leave to the view at once. Otherwise, a view that gossip of the leave does not reach would
	// show the member as alive until probes of it fail, and then as dead.
	if known, ok := f.view.Get(leave.Name); ok && known.Meta.Incarnation == leave.Incarnation {
		f.publish(f.view.Observe(f.now(), membership.Observation{Name: leave.Name, Address: known.Address,
			Status: membership.Left, Meta: known.Meta}))
	}
}

// NotifyMerge is called with all members that another one knows, before a join merges their states. They may
// include this member's previous incarnation.
func (d *delegate) NotifyMerge(peers []*memberlist.Node) error {
	for _, peer := range peers {
		(*Fleet)(d).recordPrevious(peer)
	}
	return nil
}

// NotifyAlive is called with each alive message before memberlist handles it. Gossip of this member's
// previous incarnation may arrive before its first join; memberlist then refutes it, so that the join no
// longer shows it to NotifyMerge.
func (d *delegate) NotifyAlive(peer *memberlist.Node) error {
	(*Fleet)(d).recordPrevious(peer)
	return nil
}

// recordPrevious records the incarnation of peer if peer is a previous incarnation of this member. While
// Start runs, any peer with this member's name counts as one; if it is a live process, Start fails. Later,
// only a peer at this member's own address counts as one, because two live processes with one name must not
// keep superseding each other.
func (f *Fleet) recordPrevious(peer *memberlist.Node) {
	var meta membership.Meta
	if peer.Name != f.opts.Name || decodeMeta(peer.Meta, &meta) != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ownAddress == "" || peer.Address() == f.ownAddress {
		f.previousIncarnation = max(f.previousIncarnation, meta.Incarnation)
	}
}

// GetBroadcasts has nothing to add to memberlist's gossip.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte { return nil }

// LocalState has nothing to add to an exchange of states.
func (d *delegate) LocalState(join bool) []byte { return nil }

// MergeRemoteState is not called: no member adds to an exchange of states.
func (d *delegate) MergeRemoteState(buf []byte, join bool) {}
