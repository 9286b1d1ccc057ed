package gossip

import (
	"bytes"
	"log/slog"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/memberlist"

	"cresshub/internal/cluster/membership"
)

// smallClusterSize is up to how many members a fleet is small.
const smallClusterSize = 32

// scheduleSuspectSyncs has members asked that this view holds suspect, whoever began to, each at a time of
// its own. A refutation that gossip did not bring here is heard that way. In a small fleet, whose gossip
// misses more, that is before a suspicion ends that others confirm; in a large one after, so that a lost
// member is not called by all. f.mu is held.
func (f *Fleet) scheduleSuspectSyncs() {
	minTimeout := float64(f.opts.SuspicionMult) * float64(f.opts.ProbeInterval)
	now := f.now()
	suspect := map[string]bool{}
	members := f.view.Snapshot()
	maxTimeout := 6*minTimeout*math.Max(1, math.Log10(float64(len(members)))) + float64(time.Second)
	for _, m := range members {
		if m.Status != membership.Suspect {
			continue
		}
		suspect[m.Name] = true
		at, ok := f.suspectSyncAt[m.Name]
		if float64(now-m.StatusSince) > maxTimeout {
			// memberlist ends a suspicion within this, by a death it tells of or a refutation it passes on.
			f.changeStatus(m.Name, membership.Suspect, membership.Alive, &f.counters.Refuted)
			continue
		}
		if !ok {
			fraction := 1 + 2*rand.Float64()
			if len(members) <= smallClusterSize {
				fraction = 0.3 + 0.4*rand.Float64()
			}
			f.suspectSyncAt[m.Name] = m.StatusSince + time.Duration(minTimeout*fraction)
		} else if now >= at {
			f.suspectSyncAt[m.Name] = now + time.Duration(2*minTimeout) // once more if that did not help
			select {
			case f.suspectQueue <- m.Name:
			default:
			}
		}
	}
	for name := range f.suspectSyncAt {
		if !suspect[name] {
			delete(f.suspectSyncAt, name)
		}
	}
}

// observeSent reads what this member gossips on. memberlist tells no delegate of a suspicion, but every
// news of a member that it takes as new it also passes on, so what goes out says what it holds.
func (f *Fleet) observeSent(kind byte, msg gossipMessage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.view.Get(msg.Node); !known && (kind == suspectMsg || kind == aliveMsg) {
		return // the view's bound holds for what is noted beside it
	}
	switch kind {
	case pingMsg:
		f.counters.Probes++
	case indirectPingMsg:
		f.counters.IndirectProbes++
	case suspectMsg:
		if last, ok := f.suspectedAt[msg.Node]; msg.From == f.opts.Name && (!ok || last < msg.Incarnation) {
			f.suspectedAt[msg.Node] = msg.Incarnation
			f.counters.Suspicions++
			defer func() { // once the view holds it suspect
				select {
				case f.suspectQueue <- msg.Node:
				default: // so many at once are away, or this member is
				}
			}()
		}
		// Gossip is sent several times: what was refuted since is no suspicion any more.
		if msg.Incarnation >= f.swimIncarnations[msg.Node] {
			f.changeStatus(msg.Node, membership.Alive, membership.Suspect, &f.counters.Suspected)
		}
	case aliveMsg:
		last, ok := f.swimIncarnations[msg.Node]
		if msg.Node == f.opts.Name && ok && msg.Incarnation > last {
			if f.pendingUpdates > 0 {
				f.pendingUpdates--
			} else {
				f.counters.Refutations++
			}
		}
		if !ok || msg.Incarnation > last {
			f.swimIncarnations[msg.Node] = msg.Incarnation
			f.changeStatus(msg.Node, membership.Suspect, membership.Alive, &f.counters.Refuted)
		}
	}
}

// changeStatus moves a member that the view holds in one status to another, and counts it; f.mu is held.
func (f *Fleet) changeStatus(name string, from, to membership.Status, counter *int) {
	m, ok := f.view.Get(name)
	if !ok || m.Status != from {
		return
	}
	*counter++
	f.publish(f.view.Observe(f.now(), membership.Observation{Name: name, Address: m.Address, Status: to,
		Meta: m.Meta}))
}

// observeNode hands one observation to the view; f.mu is held.
func (f *Fleet) observeNode(now time.Duration, n *memberlist.Node, status membership.Status) {
	var meta membership.Meta
	if err := decodeMeta(n.Meta, &meta); err != nil {
		f.counters.MetaRefused++
		f.log.Warn("fleet: metadata of a member does not decode", "member", n.Name, "err", err)
		return
	}
	if status != membership.Alive {
		delete(f.swimIncarnations, n.Name) // it may come back as one that memberlist does not know, and count anew
		delete(f.suspectedAt, n.Name)
	}
	f.publish(f.view.Observe(now, membership.Observation{
		Name: n.Name, Address: n.Address(), Status: status, Meta: meta,
	}))
}

// publish logs and streams changes; f.mu is held.
func (f *Fleet) publish(changes []membership.Change) {
	for _, c := range changes {
		switch c.Kind {
		case membership.Joined:
			f.counters.Joins++
		case membership.Restarted:
			f.counters.Restarts++
		case membership.Changed:
			f.counters.Changes++
		case membership.BecameGone:
			f.counters.Gone++
		case membership.Returned:
			f.counters.Returned++
		case membership.Forgotten:
			f.counters.Forgotten++
			delete(f.swimIncarnations, c.Member.Name)
			delete(f.suspectedAt, c.Member.Name)
		case membership.Conflict:
			f.counters.Conflicts++
		case membership.Rejected:
			f.counters.Refused++
		}
		m := c.Member
		level := slog.LevelInfo
		if c.Kind == membership.Conflict || c.Kind == membership.Rejected {
			level = slog.LevelWarn
		}
		f.log.Log(nil, level, "fleet: member "+c.Kind.String(), "member", m.Name, "address", m.Address,
			"status", m.Status.String(), "was", c.Previous.String(), "phase", m.Meta.Phase.String(),
			"incarnation", m.Meta.Incarnation, "gone", m.Gone)
		select {
		case f.changes <- c:
		default:
			f.counters.LostChanges++
		}
	}
}

// logWriter takes memberlist's own log lines at debug, where nothing else wants them.
type logWriter struct{ log *slog.Logger }

func (g *logWriter) Write(p []byte) (int, error) {
	g.log.Debug("fleet: gossip", "says", string(bytes.TrimRight(p, "\r\n")))
	return len(p), nil
}
