package chain

import (
	"slices"
	"time"
)

// forwardedRequest is a request made at this node that was sent to the head.
type forwardedRequest struct {
	kind     requestKind
	deadline time.Duration
	// knownEntry is the committed entry that this node knew when it sent the request. If a read returns the
	// same entry, the head omits its body.
	knownEntry Entry
}

// Propose requests a write. The reply carries the request's number, which this node must never have used
// before, not even before a restart.
func (n *Node) Propose(now time.Duration, request uint64, proposal Proposal) Effects {
	n.begin(now)
	n.forward(request, writeRequest, Message{
		Kind: Forward, Request: request,
		Expected: proposal.Expected, Version: proposal.Version, Body: proposal.Body,
	})
	return n.finish()
}

// Confirm asks whether a change is committed, for a caller that no longer has its body: the change with the
// given digest that leads from version Expected to Version. It never writes anything. Applied and Conflict
// mean the same as for Propose; while the change could still be proposed, the reply is Unavailable.
func (n *Node) Confirm(now time.Duration, request uint64, change ChangeID) Effects {
	n.begin(now)
	n.forward(request, confirmRequest, Message{
		Kind: Forward, Request: request,
		Expected: change.Expected, Version: change.Version, Digest: slices.Clone(change.Digest[:]),
	})
	return n.finish()
}

// Read requests the committed entry; the read is linearizable.
func (n *Node) Read(now time.Duration, request uint64) Effects {
	n.begin(now)
	n.forward(request, readRequest, Message{
		Kind: ForwardRead, Request: request, Sequence: n.state.committed.Sequence,
	})
	return n.finish()
}

// forward sends a request to the head, which may be this node.
func (n *Node) forward(request uint64, kind requestKind, m Message) {
	if n.state.view.Epoch == 0 || len(n.forwards) >= n.config.QueueLimit {
		n.reply(Reply{Request: request, Outcome: Unavailable})
		return
	}
	n.forwards[request] = forwardedRequest{
		kind: kind, deadline: n.now + n.config.RequestTimeout, knownEntry: n.state.committed.Entry,
	}
	n.send(n.state.view.head(), m)
}

// reply answers a local request.
func (n *Node) reply(reply Reply) { n.effects.Replies = append(n.effects.Replies, reply) }

// onForward handles a request at the head. Any other node answers Unavailable and sends its view, which names
// the head.
func (n *Node) onForward(m *Message) {
	r := request{from: m.From, id: m.Request, deadline: n.now + n.config.RequestTimeout}
	switch {
	case !n.isHead():
		n.answer(r, Unavailable)
		n.sendView(m.From)
	case m.Kind == ForwardRead:
		r.kind, r.knownSequence = readRequest, m.Sequence
		n.addForMarker(r)
	case len(m.Digest) == 0:
		r.proposal = Proposal{Expected: m.Expected, Version: m.Version, Body: m.Body}
		r.digest = n.config.DigestOf(m.Body)
		n.addWrite(r)
	default:
		r.kind = confirmRequest
		r.proposal = Proposal{Expected: m.Expected, Version: m.Version, Body: m.Body}
		if copy(r.digest[:], m.Digest) < len(r.digest) {
			n.answer(r, Unavailable) // the digest is truncated
			return
		}
		n.addForMarker(r)
	}
}

// onForwardReply delivers the answer to a request, from the head or the tail, to the local caller.
func (n *Node) onForwardReply(m *Message) {
	request, ok := n.forwards[m.Request]
	if !ok {
		return
	}
	delete(n.forwards, m.Request)
	entry := Entry{Epoch: m.Epoch, Sequence: m.Sequence, Version: m.Version}
	if request.kind == readRequest && m.Outcome == Applied {
		if m.HasBody {
			entry.Body = m.Body
		} else {
			entry = request.knownEntry
		}
	}
	n.reply(Reply{Request: m.Request, Outcome: m.Outcome, Entry: entry})
}

// redirectForwards handles the requests that were sent to the head of an epoch that has ended. Reads are sent
// to the new head. Writes and confirmations are answered Unavailable, as the outcome of a write is unknown.
func (n *Node) redirectForwards() {
	for _, id := range sortedKeys(n.forwards) {
		request := n.forwards[id]
		if request.kind == readRequest && n.state.view.Epoch > 0 {
			n.send(n.state.view.head(), Message{
				Kind: ForwardRead, Request: id, Sequence: request.knownEntry.Sequence,
			})
			continue
		}
		delete(n.forwards, id)
		n.reply(Reply{Request: id, Outcome: Unavailable})
	}
}

// expireRequests answers Unavailable to requests whose deadline has passed: those made at this node, and
// those that wait at it because it is the head.
func (n *Node) expireRequests() {
	for _, id := range sortedKeys(n.forwards) {
		if n.now >= n.forwards[id].deadline {
			delete(n.forwards, id)
			n.reply(Reply{Request: id, Outcome: Unavailable})
		}
	}
	for _, queue := range n.head.queues() {
		*queue = slices.DeleteFunc(*queue, func(r request) bool {
			expired := n.now >= r.deadline
			if expired {
				n.answer(r, Unavailable)
			}
			return expired
		})
	}
}
