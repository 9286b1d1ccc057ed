package chain

// Kind is the type of a message. Its numbers go over the wire.
type Kind uint8

// The kinds of messages, with the fields that each one uses beside Kind, From and Epoch.
const (
	// Heartbeat reports the state of its sender: Address, HasDisk, EntryEpoch, Open, Draining, Stalled, Sealed,
	// Sequence (committed) and ReceivesFrom.
	Heartbeat Kind = iota + 1
	// ViewNotice announces a decided view: View.
	ViewNotice
	// BootstrapAccept asks a machine without a view to accept the first one: Address (of the sender), View.
	BootstrapAccept
	// BootstrapAcceptReply reports the latest first view that a machine has accepted: Address, View.
	BootstrapAcceptReply
	// Prepare starts a proposal for the view after Epoch: ProposalNumber, View (the current one).
	Prepare
	// PrepareReply promises to accept no lower proposal: ProposalNumber, AcceptedNumber, View (accepted).
	PrepareReply
	// Accept proposes a view: ProposalNumber, View (proposed).
	Accept
	// AcceptReply says that the view is accepted: ProposalNumber.
	AcceptReply
	// Nack rejects a Prepare or Accept of too low a number: ProposalNumber (the promised one).
	Nack
	// Seal asks replicas at which the current epoch is not open never to open it.
	Seal
	// Append replicates an entry to the successor: Sequence, Version, Digest, Resend, Body if HasBody. A new
	// write carries its Origin and Request, and in History only the entry before it: a replica that accepted
	// that one has the rest. With Resend it carries the current View, and the full History if HasBody.
	Append
	// FetchBody asks the predecessor to resend an entry with its body: Sequence.
	FetchBody
	// Ack tells the head that the tail has accepted an entry: Sequence.
	Ack
	// Commit tells replicas that an entry is committed: Sequence.
	Commit
	// Forward passes a write to the head: Request, Expected, Version, Body. With a Digest and no Body, it asks
	// whether the change of that digest is committed.
	Forward
	// ForwardRead passes a read to the head: Request, Sequence (of the entry that the sender already has).
	ForwardRead
	// ForwardReply answers Forward and ForwardRead: Request, Outcome, Sequence, Version, Body if HasBody.
	ForwardReply
	// Marker passes along the chain to confirm a batch of reads: Marker.
	Marker
	// MarkerReply reports to the head the tail's accepted entry when the marker arrived: Marker, Sequence.
	MarkerReply
)

// Message is what nodes send each other: like the Message of etcd's raft one flat struct for all kinds, see
// Kind for the fields that each one uses. Its slices must not be modified: messages, effects and the node's
// state share them.
type Message struct {
	Kind Kind
	From MemberID
	// Epoch is the epoch of the sender's view.
	Epoch uint64

	Address    string
	HasDisk    bool
	EntryEpoch uint64
	// Open says that the sender is the head and its epoch is open.
	Open bool
	// Draining says that the sender is about to stop, Stalled that it can't persist anything now.
	Draining bool
	Stalled  bool
	// Sealed says that the sender has promised never to open the current epoch.
	Sealed bool
	// ReceivesFrom are the members from which the sender received something within SuspectAfter.
	ReceivesFrom []MemberID

	View           View
	ProposalNumber ProposalNumber
	AcceptedNumber ProposalNumber

	Sequence uint64
	Version  int64
	Digest   []byte
	HasBody  bool
	Body     []byte
	History  []PastEntry
	Resend   bool

	Origin   MemberID
	Request  uint64
	Expected int64
	Outcome  Outcome
	Marker   uint64
}

// Envelope is a message with its receiver, of which maybe only the address is known.
type Envelope struct {
	To      Member
	Message Message
}

// Effects are what a step asks of its caller, like the Ready of etcd's raft: first make the records of
// Persist durable as one unit, then send Messages and deliver Replies. If the records can't be made durable,
// nothing else of these effects may happen, and Node.PersistFailed has to be called before any other step.
type Effects struct {
	Persist  [][]byte
	Messages []Envelope
	Replies  []Reply
}
