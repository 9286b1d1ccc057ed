package chain

import (
	"slices"
	"time"
)

// forwardedRequest is a local request that the head has been asked for.
type forwardedRequest struct {
	read     bool
	deadline time.Duration
	// knownEntry is the entry that the head was told of, so that it may leave out the body.
	knownEntry Entry
}

// Propose asks for a write. The reply carries the request's number, which this node must not have used
// before, also not before a restart.
func (n *Node) Propose(now time.Duration, request uint64, proposal Proposal) Effects {
	n.begin(now)
	n.forward(request, false, Message{
		Kind: Forward, Request: request,
		Expected: proposal.Expected, Version: proposal.Version, Body: proposal.Body,
	})
	return n.finish()
}

// Confirm asks whether a change was committed, of which the caller can't make the body any more: the one with
// that digest that went from version Expected to Version. Nothing is ever written. Applied and Conflict mean
// the same as for Propose; where the change could still be proposed there is no clear answer.
func (n *Node) Confirm(now time.Duration, request uint64, change ChangeID) Effects {
	n.begin(now)
	n.forward(request, false, Message{
		Kind: Forward, Request: request,
		Expected: change.Expected, Version: change.Version, Digest: slices.Clone(change.Digest[:]),
	})
	return n.finish()
}

// Read asks for the committed entry; the reply is linearizable.
func (n *Node) Read(now time.Duration, request uint64) Effects {
	n.begin(now)
	n.forward(request, true, Message{
		Kind: ForwardRead, Request: request, Sequence: n.state.committed.Sequence,
	})
	return n.finish()
}

// forward sends a request to the head, which may be this node.
func (n *Node) forward(request uint64, read bool, m Message) {
	if n.state.view.Epoch == 0 || len(n.forwards) >= n.config.QueueLimit {
		n.reply(Reply{Request: request, Outcome: Unavailable})
		return
	}
	n.forwards[request] = forwardedRequest{read, n.now + n.config.RequestTimeout, n.state.committed.Entry}
	n.send(n.state.view.head(), m)
}

// reply answers a local request.
func (n *Node) reply(reply Reply) { n.effects.Replies = append(n.effects.Replies, reply) }

// onForward takes a request at the head.
func (n *Node) onForward(m *Message) {
	r := request{
		from: m.From, id: m.Request, read: m.Kind == ForwardRead, knownSequence: m.Sequence,
		deadline: n.now + n.config.RequestTimeout,
	}
	if !n.isHead() {
		n.answer(r, Unavailable)
		n.sendView(m.From)
		return
	}
	if r.read {
		n.addRead(r)
		return
	}
	r.proposal = Proposal{m.Expected, m.Version, m.Body}
	if len(m.Digest) > 0 {
		r.confirm = copy(r.digest[:], m.Digest) == len(r.digest)
		n.addConfirmation(r)
		return
	}
	r.digest = n.config.DigestOf(m.Body)
	n.addWrite(r)
}

// addConfirmation takes a question for a change at the head. It waits for a marker as a read does.
func (n *Node) addConfirmation(r request) {
	if !r.confirm {
		n.answer(r, Unavailable) // the digest is none
		return
	}
	n.addRead(r)
}

// addRead takes a read at the head.
func (n *Node) addRead(r request) {
	if len(n.head.requests()) >= n.config.QueueLimit {
		n.answer(r, Unavailable)
		return
	}
	n.head.queuedReads = append(n.head.queuedReads, r)
	n.advance()
}

// onForwardReply gives the head's answer to the local caller.
func (n *Node) onForwardReply(m *Message) {
	request, ok := n.forwards[m.Request]
	if !ok {
		return
	}
	delete(n.forwards, m.Request)
	entry := Entry{Epoch: m.Epoch, Sequence: m.Sequence, Version: m.Version}
	reply := Reply{m.Request, m.Outcome, entry}
	if request.read && m.Outcome == Applied {
		reply.Entry = request.knownEntry
		if m.HasBody {
			reply.Entry = Entry{m.Epoch, m.Sequence, m.Version, m.Body}
		}
	}
	n.reply(reply)
}

// redirectForwards deals with what the head of an epoch that has ended was asked for: reads go to the new
// head; of writes nobody knows the outcome.
func (n *Node) redirectForwards() {
	for _, id := range n.forwardIDs() {
		if n.forwards[id].read && n.state.view.Epoch > 0 {
			known := n.forwards[id].knownEntry.Sequence
			n.send(n.state.view.head(), Message{Kind: ForwardRead, Request: id, Sequence: known})
			continue
		}
		delete(n.forwards, id)
		n.reply(Reply{Request: id, Outcome: Unavailable})
	}
}

// forwardIDs returns the numbers of the requests that wait, in a fixed order.
func (n *Node) forwardIDs() []uint64 {
	ids := make([]uint64, 0, len(n.forwards))
	for id := range n.forwards {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// expireRequests answers those who have waited too long.
func (n *Node) expireRequests() {
	for _, id := range n.forwardIDs() {
		if n.now >= n.forwards[id].deadline {
			delete(n.forwards, id)
			n.reply(Reply{Request: id, Outcome: Unavailable})
		}
	}
	h := &n.head
	for _, queue := range []*[]request{&h.waiters, &h.queuedWrites, &h.queuedReads, &h.markedReads} {
		*queue = slices.DeleteFunc(*queue, func(r request) bool {
			expired := n.now >= r.deadline
			if expired {
				n.answer(r, Unavailable)
			}
			return expired
		})
	}
}
