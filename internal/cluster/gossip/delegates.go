package gossip

import (
	"encoding/json"

	"github.com/hashicorp/memberlist"

	"cresshub/internal/cluster/membership"
)

// eventDelegate takes memberlist's news of members. memberlist calls it under its own lock: it must not call
// memberlist back.
type eventDelegate Fleet

func (e *eventDelegate) NotifyJoin(n *memberlist.Node)   { e.notify(n, membership.Alive) }
func (e *eventDelegate) NotifyUpdate(n *memberlist.Node) { e.notify(n, membership.Alive) }

// NotifyLeave is told of a member that left or died; memberlist's Node does not say which (its State field
// is never set). A member says it is leaving in its metadata before it leaves: that tells the two apart.
// It also says so in a datagram to each member, which comes before the gossip of its leave.
func (e *eventDelegate) NotifyLeave(n *memberlist.Node) {
	f := (*Fleet)(e)
	status := membership.Dead
	var meta membership.Meta
	f.mu.Lock()
	incarnation, announced := f.announcedLeaves[n.Name]
	delete(f.announcedLeaves, n.Name)
	f.mu.Unlock()
	if decodeMeta(n.Meta, &meta) == nil &&
		(meta.Phase == membership.Leaving || announced && incarnation == meta.Incarnation) {
		status = membership.Left
	}
	e.notify(n, status)
}

func (e *eventDelegate) notify(n *memberlist.Node, status membership.Status) {
	f := (*Fleet)(e)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observeNode(f.now(), n, status)
}

// NotifyConflict is told when another process claims this member's name, or two others claim one.
func (e *eventDelegate) NotifyConflict(existing, other *memberlist.Node) {
	f := (*Fleet)(e)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counters.Conflicts++
	if existing.Name == f.opts.Name {
		f.conflictAddress = other.Address()
	}
	f.log.Warn("fleet: two processes claim one name; the later is refused", "member", existing.Name,
		"held", existing.Address(), "refused", other.Address())
}

// delegate gives memberlist this member's metadata; the fleet sends no messages of its own.
type delegate Fleet

func (d *delegate) NodeMeta(limit int) []byte {
	b := encodeMeta(*(*Fleet)(d).meta.Load())
	if len(b) > limit {
		return nil
	}
	return b
}

// leaveMessage is the one message of the fleet's own: a member says it leaves, right before it does.
type leaveMessage struct {
	Name        string `json:"leaving"`
	Incarnation uint64 `json:"inc"`
}

// NotifyMsg takes a message from another member. One that does not decode is counted and dropped.
func (d *delegate) NotifyMsg(b []byte) {
	f := (*Fleet)(d)
	var m leaveMessage
	err := json.Unmarshal(b, &m)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil || m.Name == "" {
		f.counters.MessagesRefused++
		return
	}
	if len(f.announcedLeaves) < f.opts.Membership.MaxMembers {
		f.announcedLeaves[m.Name] = m.Incarnation
	}
	// The leave is final: a member says so only as it goes. A view that the gossip of the leave misses
	// would else hold it alive until its probes fail, and then dead.
	if known, ok := f.view.Get(m.Name); ok && known.Meta.Incarnation == m.Incarnation {
		f.publish(f.view.Observe(f.now(), membership.Observation{Name: m.Name, Address: known.Address,
			Status: membership.Left, Meta: known.Meta}))
	}
}

// NotifyMerge is told of all members that another holds, before a join takes them over: also of this one's
// earlier life. At the start any of its name is that, as a live one would have this member refused; later it
// is only what gossips where this member does: another under its name is not to be outdone, or the two would
// outdo each other for good.
func (d *delegate) NotifyMerge(peers []*memberlist.Node) error {
	f := (*Fleet)(d)
	for _, n := range peers {
		var meta membership.Meta
		if n.Name != f.opts.Name || decodeMeta(n.Meta, &meta) != nil {
			continue
		}
		f.mu.Lock()
		if f.ownAddress == "" || n.Address() == f.ownAddress {
			f.previousIncarnation = max(f.previousIncarnation, meta.Incarnation)
		}
		f.mu.Unlock()
	}
	return nil
}

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte { return nil }
func (d *delegate) LocalState(join bool) []byte                { return nil }
func (d *delegate) MergeRemoteState(buf []byte, join bool)     {}

// Member is one row of the page, in the operators' words.
type Member struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Status      string `json:"status"` // alive, suspect, dead, left
	Gone        bool   `json:"gone"`   // others may take its place
	Phase       string `json:"phase"`  // serving, draining, leaving
	Incarnation uint64 `json:"incarnation"`
	Version     string `json:"version,omitempty"`
	Hall        string `json:"hall,omitempty"`
	AgeMS       int64  `json:"age_ms"` // since Status last changed
	Flaps       int    `json:"flaps"`
	Suspected   int    `json:"suspected"` // times this view held it suspect
}

// Page is what /_fleet shows.
type Page struct {
	Self     string   `json:"self"`
	Label    string   `json:"label"`
	Members  []Member `json:"members"`
	Counters Counters `json:"counters"`
	Health   int      `json:"health"` // memberlist's awareness score: 0 is healthy, higher is slower
}

// Snapshot returns the view as it is now.
func (f *Fleet) Snapshot() Page {
	health := f.ml.GetHealthScore()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	p := Page{Self: f.opts.Name, Label: f.opts.Label, Counters: f.counters, Health: health}
	c, w := &p.Counters, &f.traffic
	c.PacketsIn, c.PacketsOut = w.packetsIn.Load(), w.packetsOut.Load()
	c.StreamsIn, c.StreamsOut = w.streamsIn.Load(), w.streamsOut.Load()
	c.BytesIn, c.BytesOut = w.bytesIn.Load(), w.bytesOut.Load()
	c.WireRefused, c.OtherLabel = w.rejected.Load(), w.otherLabel.Load()
	for _, m := range f.view.Snapshot() {
		p.Members = append(p.Members, Member{
			Name: m.Name, Address: m.Address, Status: m.Status.String(), Gone: m.Gone,
			Phase: m.Meta.Phase.String(), Incarnation: m.Meta.Incarnation, Version: m.Meta.Version,
			Hall: m.Meta.Hall, AgeMS: (now - m.StatusSince).Milliseconds(), Flaps: m.Flaps, Suspected: m.Suspected,
		})
	}
	return p
}
