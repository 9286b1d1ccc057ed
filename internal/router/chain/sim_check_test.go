package chain

import (
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// simHistory is what clients and nodes have observed in a simulation.
type simHistory struct {
	// operations are the clients' operations that have returned.
	operations []porcupine.Operation
	// pendingWrites are the writes that have not returned, by body. Each write has a different body.
	pendingWrites map[string]porcupine.Operation
	// views are the decided views and heads the heads of the epochs that were open, both by epoch; entries are
	// the committed entries by sequence number. Each key must have only one value.
	views   map[uint64]View
	heads   map[uint64]MemberID
	entries map[uint64]acceptedEntry
	// committed are the sequence numbers of committed entries, by body.
	committed map[string]uint64
	// rejected are the bodies of writes whose final outcome is Conflict. None of their attempts may be
	// committed.
	rejected map[string]bool
	// maxCommitted is the highest sequence number that each identity has known to be committed. Within one
	// incarnation that of the node's committed entry never decreases; at a restart it may decrease by one, to
	// the entry before the accepted one.
	maxCommitted map[MemberID]uint64
	// disksLost counts the disks that were wiped, corrupted or removed with their machine.
	disksLost int
	// damagedLogs counts the logs that were found corrupt when a machine started.
	damagedLogs int
	// replacedRetries counts the retries of writes that were acknowledged after a later write had replaced them.
	replacedRetries int
	// outcomes counts the clients' operations by outcome.
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

// observe checks the invariants of a node's state after a step: there is one view and one open head per
// epoch, and the node's committed entry passes observeCommitted.
func (m *simMachine) observe() {
	world, n, h := m.world, m.node, &m.world.history
	view := n.View()
	if known, ok := h.views[view.Epoch]; !ok {
		h.views[view.Epoch] = view
		world.tracef("%s learned view %+v", m.address, view)
	} else if !known.equal(view) {
		world.failf("epoch %d has two views: %+v and %+v", view.Epoch, known, view)
	}
	if n.IsOpenHead() {
		if known, ok := h.heads[view.Epoch]; ok && known != n.Self().ID {
			world.failf("epoch %d was opened by two heads", view.Epoch)
		}
		h.heads[view.Epoch] = n.Self().ID
	}
	if n.state.committedKnown {
		m.observeCommitted(&n.state.committed)
	}
}

// observeCommitted checks an entry that a node knows to be committed against what all nodes have observed:
// there is one entry per sequence number, no body is committed twice, versions increase, the node doesn't
// fall back, and no rejected write is committed.
func (m *simMachine) observeCommitted(entry *acceptedEntry) {
	world, h, id := m.world, &m.world.history, m.node.Self().ID
	known, ok := h.entries[entry.Sequence]
	if !ok {
		h.entries[entry.Sequence] = *entry
		world.tracef("%s knows that sequence %d is committed: version %d %q",
			m.address, entry.Sequence, entry.Version, entry.Body)
		if earlier, twice := h.committed[string(entry.Body)]; twice {
			world.failf("%q is committed as sequence %d and as sequence %d", entry.Body, earlier, entry.Sequence)
		}
		h.committed[string(entry.Body)] = entry.Sequence
		if previous, ok := h.entries[entry.Sequence-1]; ok && previous.Version >= entry.Version {
			world.failf("version %d is committed after version %d", entry.Version, previous.Version)
		}
	} else if known.digest != entry.digest || known.Version != entry.Version {
		world.failf("sequence %d is committed as %q and as %q", entry.Sequence, known.Body, entry.Body)
	}
	if entry.Sequence < m.maxCommitted || entry.Sequence+1 < h.maxCommitted[id] {
		world.failf("%s falls back from committed sequence %d, and %d in this incarnation, to %d",
			m.address, h.maxCommitted[id], m.maxCommitted, entry.Sequence)
	}
	if accepted := m.node.state.accepted.Sequence; accepted < h.maxCommitted[id] {
		world.failf("%s has accepted only sequence %d, but has known %d to be committed",
			m.address, accepted, h.maxCommitted[id])
	}
	m.maxCommitted, h.maxCommitted[id] = entry.Sequence, max(h.maxCommitted[id], entry.Sequence)
	if h.rejected[string(entry.Body)] {
		world.failf("%q is committed though it was rejected", entry.Body)
	}
	m.observeHistory(entry)
}

// observeHistory checks that an entry's history consists of the committed entries before it, up to the
// configured length.
func (m *simMachine) observeHistory(entry *acceptedEntry) {
	world, length := m.world, uint64(len(entry.history))
	if entry.Sequence > 0 && length != min(entry.Sequence-1, uint64(world.historyLength)) {
		world.failf("the history of sequence %d has %d entries", entry.Sequence, length)
		return
	}
	for i, past := range entry.history {
		sequence := entry.Sequence - length + uint64(i)
		known, ok := world.history.entries[sequence]
		if ok && (known.Version != past.Version || known.digest != past.Digest) {
			world.failf("the history of sequence %d has version %d in place of %d",
				entry.Sequence, past.Version, known.Version)
		}
	}
}

// simInput is a client's operation as the model gets it. A read has only zero values.
type simInput struct {
	write             bool
	expected, version int64
	body              string
}

// simOutput is the result of an operation.
type simOutput struct {
	outcome Outcome
	version int64
	body    string
}

// registerValue is the state of registerModel.
type registerValue struct {
	version int64
	body    string
}

// registerModel is the specification that histories are checked against: a register with compare-and-set. A
// write of unknown outcome is an operation that never returns; the checker may order it last, where no other
// operation observes it.
var registerModel = porcupine.Model{
	Init: func() any { return registerValue{} },
	Step: func(state, input, output any) (bool, any) {
		value, in, out := state.(registerValue), input.(simInput), output.(simOutput)
		matches := value.version == in.expected
		written := registerValue{in.version, in.body}
		switch {
		case !in.write:
			return value == registerValue{out.version, out.body}, value
		case out.outcome == Applied:
			return matches, written
		case out.outcome == Conflict:
			return !matches, value
		case matches:
			return true, written
		default:
			return true, value
		}
	},
}

// recordCall records the start of a write.
func (w *simWorld) recordCall(client int, input simInput) {
	w.history.pendingWrites[input.body] = porcupine.Operation{
		ClientId: client, Input: input, Call: int64(w.now), Output: simOutput{outcome: Unavailable},
		Return: math.MaxInt64,
	}
}

// recordReturn records the result of an operation. A write whose outcome is Unavailable may still be
// committed at any later time; a read with that outcome is left out, since it says nothing about the
// register.
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

// recordRejection records that the final outcome of a write is Conflict, and checks that it was not
// committed.
func (w *simWorld) recordRejection(body string) {
	w.history.rejected[body] = true
	if _, ok := w.history.committed[body]; ok {
		w.failf("%q is rejected though it was committed", body)
	}
}

// linearizable has porcupine check the history. Writes of unknown outcome whose bodies were never committed
// are left out. That is sound because the entry of each sequence number was observed, which is checked
// first.
func (w *simWorld) linearizable() porcupine.CheckResult {
	h := &w.history
	for sequence := range uint64(len(h.entries)) {
		if _, ok := h.entries[sequence]; !ok {
			w.failf("no node has observed a committed entry of sequence %d", sequence)
		}
	}
	operations := slices.Clone(h.operations)
	for _, body := range sortedKeys(h.pendingWrites) {
		operations = append(operations, h.pendingWrites[body])
	}
	operations = slices.DeleteFunc(operations, func(operation porcupine.Operation) bool {
		input, unknown := operation.Input.(simInput), operation.Output.(simOutput).outcome == Unavailable
		_, committed := h.committed[input.body]
		return input.write && unknown && !committed
	})
	return porcupine.CheckOperationsTimeout(registerModel, operations, 20*time.Second)
}
