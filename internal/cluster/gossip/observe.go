package gossip

import (
	"bytes"
	"context"
	"log/slog"
	"time"

	"github.com/hashicorp/memberlist"

	"cresshub/internal/cluster/membership"
)

// observeOutbound inspects a message that this member sends. memberlist has no event for a suspicion, but
// forwards every update that is new to it, so its messages reveal what it has learnt.
func (f *Fleet) observeOutbound(kind byte, msg gossipMessage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.view.Get(msg.Node); !known && (kind == suspectMsg || kind == aliveMsg) {
		return // the maps by member name stay within the view's bound on members
	}
	switch kind {
	case pingMsg:
		f.counters.Probes++
	case indirectPingMsg:
		f.counters.IndirectProbes++
	case suspectMsg:
		f.observeSuspect(msg)
	case aliveMsg:
		f.observeAlive(msg)
	}
}

// observeSuspect handles a suspect message that this member originates or forwards; f.mu is held.
func (f *Fleet) observeSuspect(msg gossipMessage) {
	last, ok := f.suspectedIncarnations[msg.Node]
	raisedHere := msg.From == f.opts.Name && (!ok || last < msg.Incarnation)
	if raisedHere {
		f.suspectedIncarnations[msg.Node] = msg.Incarnation
		f.counters.Suspicions++
	}
	// A message is sent several times. Once its incarnation has been refuted, it is no longer a suspicion.
	if msg.Incarnation >= f.swimIncarnations[msg.Node] {
		f.changeStatus(msg.Node, membership.Alive, membership.Suspect, &f.counters.Suspected)
	}
	if raisedHere {
		f.queueSuspectSync(msg.Node)
	}
}

// observeAlive handles an alive message that this member sends or forwards: with a higher incarnation it
// refutes a suspicion. f.mu is held.
func (f *Fleet) observeAlive(msg gossipMessage) {
	last, ok := f.swimIncarnations[msg.Node]
	if ok && msg.Incarnation <= last {
		return
	}
	if ok && msg.Node == f.opts.Name {
		if f.pendingUpdates > 0 {
			f.pendingUpdates--
		} else {
			f.counters.Refutations++
		}
	}
	f.swimIncarnations[msg.Node] = msg.Incarnation
	f.changeStatus(msg.Node, membership.Suspect, membership.Alive, &f.counters.Refuted)
}

// changeStatus changes a member's status in the view and increments counter; it does nothing if the status is
// not from. f.mu is held.
func (f *Fleet) changeStatus(name string, from, to membership.Status, counter *int) {
	member, known := f.view.Get(name)
	if !known || member.Status != from {
		return
	}
	*counter++
	f.publish(f.view.Observe(f.now(), membership.Observation{Name: name, Address: member.Address, Status: to,
		Meta: member.Meta}))
}

// observeNode applies an event of memberlist to the view; f.mu is held.
func (f *Fleet) observeNode(now time.Duration, node *memberlist.Node, status membership.Status) {
	var meta membership.Meta
	if err := decodeMeta(node.Meta, &meta); err != nil {
		f.counters.MetaRefused++
		f.log.Warn("fleet: metadata of a member does not decode", "member", node.Name, "err", err)
		return
	}
	if status != membership.Alive {
		f.forgetIncarnations(node.Name) // memberlist may forget it and count anew once it is back
	}
	f.publish(f.view.Observe(now, membership.Observation{
		Name: node.Name, Address: node.Address(), Status: status, Meta: meta,
	}))
}

// forgetIncarnations forgets SWIM's incarnations of a member; f.mu is held.
func (f *Fleet) forgetIncarnations(name string) {
	delete(f.swimIncarnations, name)
	delete(f.suspectedIncarnations, name)
}

// publish counts and logs changes of the view and sends them to the reader of Changes; f.mu is held.
func (f *Fleet) publish(changes []membership.Change) {
	for _, change := range changes {
		f.count(change)
		f.logChange(change)
		select {
		case f.changes <- change:
		default:
			f.counters.LostChanges++
		}
	}
}

func (f *Fleet) logChange(change membership.Change) {
	level := slog.LevelInfo
	if change.Kind == membership.Conflict || change.Kind == membership.Rejected {
		level = slog.LevelWarn
	}
	member := change.Member
	f.log.Log(context.Background(), level, "fleet: member "+change.Kind.String(), "member", member.Name,
		"address", member.Address, "status", member.Status.String(), "was", change.Previous.String(),
		"phase", member.Meta.Phase.String(), "incarnation", member.Meta.Incarnation, "gone", member.Gone)
}

// count increments the counter of a change's kind; f.mu is held.
func (f *Fleet) count(change membership.Change) {
	switch change.Kind {
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
		f.forgetIncarnations(change.Member.Name)
	case membership.Conflict:
		f.counters.Conflicts++
	case membership.Rejected:
		f.counters.Refused++
	}
}

// logWriter logs memberlist's log lines at debug level: this package logs what operators need.
type logWriter struct{ log *slog.Logger }

func (w *logWriter) Write(line []byte) (int, error) {
	w.log.Debug("fleet: memberlist", "says", string(bytes.TrimRight(line, "\r\n")))
	return len(line), nil
}
