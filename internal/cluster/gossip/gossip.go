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

// fewMembers is up to how many members a fleet is small.
const fewMembers = 32

// lasting has members asked that this view holds suspect, whoever began to, each at a time of its own. A
// refutation that gossip did not bring here is heard that way. In a small fleet, whose gossip misses more,
// that is before a suspicion ends that others confirm; in a large one after, so that a lost member is not
// called by all. f.mu is held.
func (f *Fleet) lasting() {
	least := float64(f.opt.SuspicionMult) * float64(f.opt.Probe)
	now := f.now()
	suspect := map[string]bool{}
	all := f.view.Snapshot()
	most := 6*least*math.Max(1, math.Log10(float64(len(all)))) + float64(time.Second)
	for _, m := range all {
		if m.Status != membership.Suspect {
			continue
		}
		suspect[m.Name] = true
		at, ok := f.askAt[m.Name]
		if float64(now-m.Since) > most {
			// memberlist ends a suspicion within this, by a death it tells of or a refutation it passes on.
			f.hold(m.Name, membership.Suspect, membership.Alive, &f.counts.Refuted)
			continue
		}
		if !ok {
			part := 1 + 2*rand.Float64()
			if len(all) <= fewMembers {
				part = 0.3 + 0.4*rand.Float64()
			}
			f.askAt[m.Name] = m.Since + time.Duration(least*part)
		} else if now >= at {
			f.askAt[m.Name] = now + time.Duration(2*least) // once more if that did not help
			select {
			case f.suspects <- m.Name:
			default:
			}
		}
	}
	for name := range f.askAt {
		if !suspect[name] {
			delete(f.askAt, name)
		}
	}
}

// sent reads what this member gossips on. memberlist tells no delegate of a suspicion, but every news of a
// member that it takes as new it also passes on, so what goes out says what it holds.
func (f *Fleet) sent(kind byte, g gossip) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, held := f.view.Get(g.Node); !held && (kind == suspectMsg || kind == aliveMsg) {
		return // the view's bound holds for what is noted beside it
	}
	switch kind {
	case pingMsg:
		f.counts.Probes++
	case indirectPingMsg:
		f.counts.IndirectProbes++
	case suspectMsg:
		if last, ok := f.raised[g.Node]; g.From == f.opt.Name && (!ok || last < g.Incarnation) {
			f.raised[g.Node] = g.Incarnation
			f.counts.Suspicions++
			defer func() { // once the view holds it suspect
				select {
				case f.suspects <- g.Node:
				default: // so many at once are away, or this member is
				}
			}()
		}
		// Gossip is sent several times: what was refuted since is no suspicion any more.
		if g.Incarnation >= f.swim[g.Node] {
			f.hold(g.Node, membership.Alive, membership.Suspect, &f.counts.Suspected)
		}
	case aliveMsg:
		last, ok := f.swim[g.Node]
		if g.Node == f.opt.Name && ok && g.Incarnation > last {
			if f.updates > 0 {
				f.updates--
			} else {
				f.counts.Refutations++
			}
		}
		if !ok || g.Incarnation > last {
			f.swim[g.Node] = g.Incarnation
			f.hold(g.Node, membership.Suspect, membership.Alive, &f.counts.Refuted)
		}
	}
}

// hold moves a member that the view holds in one status to another, and counts it; f.mu is held.
func (f *Fleet) hold(name string, was, is membership.Status, count *int) {
	m, ok := f.view.Get(name)
	if !ok || m.Status != was {
		return
	}
	*count++
	f.tell(f.view.Observe(f.now(), membership.Observation{Name: name, Address: m.Address, Status: is,
		Meta: m.Meta}))
}

// observe hands one observation to the view; f.mu is held.
func (f *Fleet) observe(now time.Duration, n *memberlist.Node, status membership.Status) {
	var meta membership.Meta
	if err := decodeMeta(n.Meta, &meta); err != nil {
		f.counts.MetaRefused++
		f.log.Warn("fleet: metadata of a member does not decode", "member", n.Name, "err", err)
		return
	}
	if status != membership.Alive {
		delete(f.swim, n.Name) // it may come back as one that memberlist does not know, and count anew
		delete(f.raised, n.Name)
	}
	f.tell(f.view.Observe(now, membership.Observation{
		Name: n.Name, Address: n.Address(), Status: status, Meta: meta,
	}))
}

// tell logs and streams changes; f.mu is held.
func (f *Fleet) tell(changes []membership.Change) {
	for _, c := range changes {
		switch c.Kind {
		case membership.Joined:
			f.counts.Joins++
		case membership.Restarted:
			f.counts.Restarts++
		case membership.Changed:
			f.counts.Changes++
		case membership.WentAway:
			f.counts.Gone++
		case membership.Returned:
			f.counts.Returned++
		case membership.Forgotten:
			f.counts.Forgotten++
			delete(f.swim, c.Member.Name)
			delete(f.raised, c.Member.Name)
		case membership.Conflict:
			f.counts.Conflicts++
		case membership.Refused:
			f.counts.Refused++
		}
		m := c.Member
		level := slog.LevelInfo
		if c.Kind == membership.Conflict || c.Kind == membership.Refused {
			level = slog.LevelWarn
		}
		f.log.Log(nil, level, "fleet: member "+c.Kind.String(), "member", m.Name, "address", m.Address,
			"status", m.Status.String(), "was", c.Was.String(), "phase", m.Meta.Phase.String(),
			"incarnation", m.Meta.Incarnation, "gone", m.Gone)
		select {
		case f.changes <- c:
		default:
			f.counts.LostChanges++
		}
	}
}

// gossipLog takes memberlist's own log lines at debug, where nothing else wants them.
type gossipLog struct{ log *slog.Logger }

func (g *gossipLog) Write(p []byte) (int, error) {
	g.log.Debug("fleet: gossip", "says", string(bytes.TrimRight(p, "\r\n")))
	return len(p), nil
}
