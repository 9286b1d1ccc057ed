package chain

import (
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// simHistory is what was observed in a world.
type simHistory struct {
	operations []porcupine.Operation
	// pendingWrites are the writes that have not returned, by body.
	pendingWrites map[string]porcupine.Operation
	// views and heads are by epoch, entries by sequence; there must be only one of each.
	views   map[uint64]View
	heads   map[uint64]MemberID
	entries map[uint64]acceptedEntry
	// committed are the sequences of committed bodies.
	committed map[string]uint64
	// rejected are the bodies of writes that a Conflict has ended: none of their attempts may be committed.
	rejected map[string]bool
	// maxCommitted is the highest sequence that each identity has known to be committed. Within one
	// incarnation it never falls; a restart may fall back by one, to the entry before the accepted one.
	maxCommitted map[MemberID]uint64
	// disksLost counts disks that were wiped or removed.
	disksLost int
	// damagedLogs counts logs that were found damaged on opening.
	damagedLogs int
	// replacedRetries counts retried writes that were acknowledged though a later one had replaced them.
	replacedRetries int
	// outcomes counts the outcomes of the clients' calls.
	outcomes map[Outcome]int
}

// newHistory returns an empty history.
func newHistory() simHistory {
	return simHistory{
		pendingWrites: map[string]porcupine.Operation{},
		views:         map[uint64]View{}, heads: map[uint64]MemberID{}, entries: map[uint64]acceptedEntry{},
		committed: map[string]uint64{}, rejected: map[string]bool{}, maxCommitted: map[MemberID]uint64{},
		outcomes: map[Outcome]int{},
	}
}

// observe checks a node's state after a step.
func (m *simMachine) observe() {
	world, n, h := m.world, m.node, &m.world.history
	view := n.View()
	if known, ok := h.views[view.Epoch]; !ok {
		h.views[view.Epoch] = view
		world.tracef("%s knows view %+v", m.address, view)
	} else if !known.equal(view) {
		world.failf("epoch %d has two views: %+v and %+v", view.Epoch, known, view)
	}
	if n.IsOpenHead() {
		if known, ok := h.heads[view.Epoch]; ok && known != n.Self().ID {
			world.failf("epoch %d has two heads", view.Epoch)
		}
		h.heads[view.Epoch] = n.Self().ID
	}
	if n.state.committedKnown {
		m.observeCommitted(&n.state.committed)
	}
}

// observeCommitted checks an entry that a node knows to be committed.
func (m *simMachine) observeCommitted(entry *acceptedEntry) {
	world, h, id := m.world, &m.world.history, m.node.Self().ID
	known, ok := h.entries[entry.Sequence]
	if !ok {
		h.entries[entry.Sequence] = *entry
		world.tracef("%s has committed %d: version %d %q", m.address, entry.Sequence, entry.Version, entry.Body)
		if before, twice := h.committed[string(entry.Body)]; twice {
			world.failf("%q is committed as %d and as %d", entry.Body, before, entry.Sequence)
		}
		h.committed[string(entry.Body)] = entry.Sequence
		if before, ok := h.entries[entry.Sequence-1]; ok && before.Version >= entry.Version {
			world.failf("version %d follows %d", entry.Version, before.Version)
		}
	} else if known.digest != entry.digest || known.Version != entry.Version {
		world.failf("sequence %d is committed as %q and as %q", entry.Sequence, known.Body, entry.Body)
	}
	if entry.Sequence < m.maxCommitted || entry.Sequence+1 < h.maxCommitted[id] {
		world.failf("%s falls from sequence %d, and %d in this incarnation, to %d",
			m.address, h.maxCommitted[id], m.maxCommitted, entry.Sequence)
	}
	if accepted := m.node.state.accepted.Sequence; accepted < h.maxCommitted[id] {
		world.failf("%s has accepted sequence %d, and has known %d to be committed",
			m.address, accepted, h.maxCommitted[id])
	}
	m.maxCommitted, h.maxCommitted[id] = entry.Sequence, max(h.maxCommitted[id], entry.Sequence)
	if h.rejected[string(entry.Body)] {
		world.failf("the rejected %q is committed", entry.Body)
	}
	m.observeHistory(entry)
}

// observeHistory checks that an entry names all committed entries before it, up to the history's length.
func (m *simMachine) observeHistory(entry *acceptedEntry) {
	world, length := m.world, uint64(len(entry.history))
	if entry.Sequence > 0 && length != min(entry.Sequence-1, uint64(world.historyLength)) {
		world.failf("sequence %d names %d entries before it", entry.Sequence, length)
		return
	}
	for i, past := range entry.history {
		sequence := entry.Sequence - length + uint64(i)
		known, ok := world.history.entries[sequence]
		if ok && (known.Version != past.Version || known.digest != past.Digest) {
			world.failf("sequence %d names version %d in place of %d", entry.Sequence, past.Version, known.Version)
		}
	}
}

// simInput is a client's call; a read has no body.
type simInput struct {
	write             bool
	expected, version int64
	body              string
}

// simOutput is its result.
type simOutput struct {
	outcome Outcome
	version int64
	body    string
}

// registerValue is the state of the model.
type registerValue struct {
	version int64
	body    string
}

// registerModel is a register with compare-and-set. A write of unknown outcome is an operation that never
// returns: it may be ordered last, where no other operation observes it.
var registerModel = porcupine.Model{
	Init: func() any { return registerValue{} },
	Step: func(state, input, output any) (bool, any) {
		value, in, out := state.(registerValue), input.(simInput), output.(simOutput)
		matches := value.version == in.expected
		changed := registerValue{in.version, in.body}
		switch {
		case !in.write:
			return value == registerValue{out.version, out.body}, value
		case out.outcome == Applied:
			return matches, changed
		case out.outcome == Conflict:
			return !matches, value
		case matches:
			return true, changed
		default:
			return true, value
		}
	},
}

// recordCall adds a write that has not returned.
func (w *simWorld) recordCall(client int, input simInput) {
	w.history.pendingWrites[input.body] = porcupine.Operation{
		ClientId: client, Input: input, Call: int64(w.now), Output: simOutput{outcome: Unavailable},
		Return: math.MaxInt64,
	}
}

// recordReturn adds an operation that has returned to the history.
func (w *simWorld) recordReturn(client int, input simInput, called time.Duration, output simOutput) {
	w.history.outcomes[output.outcome]++
	delete(w.history.pendingWrites, input.body)
	returned := int64(w.now)
	if output.outcome == Unavailable {
		if !input.write {
			return
		}
		returned = math.MaxInt64
	}
	if output.outcome == Conflict {
		w.recordRejection(input.body)
	}
	w.history.operations = append(w.history.operations, porcupine.Operation{
		ClientId: client, Input: input, Call: int64(called), Output: output, Return: returned,
	})
}

// recordRejection records that a write is rejected for good, and checks that it was never committed.
func (w *simWorld) recordRejection(body string) {
	w.history.rejected[body] = true
	if _, ok := w.history.committed[body]; ok {
		w.failf("%q was committed and is rejected", body)
	}
}

// linearizable has porcupine check the history. Writes of unknown outcome are left out if their bodies were
// never committed: all committed entries are known, one for each sequence.
func (w *simWorld) linearizable() porcupine.CheckResult {
	h := &w.history
	for sequence := range uint64(len(h.entries)) {
		if _, ok := h.entries[sequence]; !ok {
			w.failf("no node has observed that sequence %d is committed", sequence)
		}
	}
	operations := slices.Clone(h.operations)
	for _, body := range sortedKeys(h.pendingWrites) {
		operations = append(operations, h.pendingWrites[body])
	}
	operations = slices.DeleteFunc(operations, func(one porcupine.Operation) bool {
		input, unknown := one.Input.(simInput), one.Output.(simOutput).outcome == Unavailable
		_, committed := h.committed[input.body]
		return input.write && unknown && !committed
	})
	return porcupine.CheckOperationsTimeout(registerModel, operations, 20*time.Second)
}
