package chain

// Kind is the type of a message. Its numeric values are part of the wire protocol.
type Kind uint8

// The kinds of messages, each with the fields that it uses in addition to Kind, From and Epoch.
const (
	// Heartbeat reports the state of its sender: Address, HasDisk, EntryEpoch, Open, Draining, Stalled, Sealed,
	// Sequence (committed) and ReceivesFrom.
	Heartbeat Kind = iota + 1
	// ViewNotice announces a decided view: View.
	ViewNotice
	// BootstrapAccept asks a machine without a view to accept a first view: Address (of the sender), View
	// (proposed).
	BootstrapAccept
	// BootstrapAcceptReply reports the latest first view that a machine has accepted: Address (of the sender),
	// View (accepted).
	BootstrapAcceptReply
	// Prepare starts a proposal for the view after Epoch: ProposalNumber, View (the current one).
	Prepare
	// PrepareReply promises to accept no proposal with a lower number: ProposalNumber, AcceptedNumber, View
	// (accepted).
	PrepareReply
	// Accept proposes a view: ProposalNumber, View (proposed).
	Accept
	// AcceptReply says that the sender has accepted the view: ProposalNumber.
	AcceptReply
	// Nack rejects a Prepare or Accept whose number is too low: ProposalNumber (the promised one).
	Nack
	// Seal asks replicas that have not accepted an entry in the current epoch to promise never to do so.
	Seal
	// Append replicates an entry to the successor: Sequence, Version, Digest, Resend, Body if HasBody. A new
	// write also carries its Origin and Request, and in History only the entry before it: a replica that
	// accepted that entry has the rest. With Resend, the message carries the current View, and with HasBody
	// also the full History.
	Append
	// FetchBody asks the predecessor to resend an entry with its body and history: Sequence.
	FetchBody
	// Ack tells the head that the tail has accepted an entry: Sequence.
	Ack
	// Commit tells replicas that an entry is committed: Sequence.
	Commit
	// Forward sends a write to the head: Request, Expected, Version, Body. With a Digest it instead asks whether
	// the change with that digest is committed, and has no Body.
	Forward
	// ForwardRead sends a read to the head: Request, Sequence (of the entry that the sender already has).
	ForwardRead
	// ForwardReply answers Forward and ForwardRead: Request, Outcome, Sequence, Version, Body if HasBody.
	ForwardReply
	// Marker travels down the chain to confirm, for a batch of requests, that the head has not been replaced:
	// Marker.
	Marker
	// MarkerReply tells the head that the marker has arrived at the tail, and which entry the tail had accepted
	// by then: Marker, Sequence.
	MarkerReply
)

// Message is a message between nodes. Like the Message of etcd's raft it is one flat struct for all kinds;
// see Kind for the fields that each kind uses. Its slices must not be modified: messages, effects and the
// node's state share them.
type Message struct {
	Kind Kind
	From MemberID
	// Epoch is the epoch of the sender's view.
	Epoch uint64

	Address    string
	HasDisk    bool
	EntryEpoch uint64
	// Open means that the sender is the head and its epoch is open.
	Open bool
	// Draining means that the sender is about to stop.
	Draining bool
	// Stalled means that the sender's disk is failing, or that the sender has revoked a first view that others
	// may have adopted; see Node.awaitsBootstrap.
	Stalled bool
	// Sealed means that the sender has promised never to open the current epoch.
	Sealed bool
	// ReceivesFrom are the members from which a message reached the sender within Config.SuspectAfter.
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

// Envelope is a message with its receiver. The receiver's ID may be empty if only its address is known.
type Envelope struct {
	To      Member
	Message Message
}

// Effects are what a step asks of its caller, like the Ready of etcd's raft: first make the records of
// Persist durable atomically, then send Messages and deliver Replies. If the records can't be made durable,
// no message may be sent and no reply delivered, and Node.PersistFailed has to be called before any other
// step.
type Effects struct {
	Persist  [][]byte
	Messages []Envelope
	Replies  []Reply
}
