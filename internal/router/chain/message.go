package chain

// Kind says what a message is.
type Kind uint8

// The kinds of messages, with the fields that each one uses beside Kind, From and Epoch.
const (
	// Heartbeat tells everything about its sender: Address, HasDisk, EntryEpoch, Open, Leaving, Stalled,
	// Sealed, Sequence (committed) and Hears.
	Heartbeat Kind = iota + 1
	// ViewNotice tells a decided view: View.
	ViewNotice
	// Genesis asks a machine without a view to accept the first one: Address (of the founder), View.
	Genesis
	// GenesisReply tells the first view that a machine has accepted last: Address, View.
	GenesisReply
	// Prepare opens a ballot for the view behind Epoch: Ballot, View (the current one).
	Prepare
	// PrepareReply answers Prepare: Ballot, AcceptedNumber, View (accepted).
	PrepareReply
	// Accept proposes a view: Ballot, View (proposed).
	Accept
	// AcceptReply answers Accept: Ballot.
	AcceptReply
	// Nack answers Prepare or Accept of a ballot that came too late: Ballot (the promised one).
	Nack
	// Seal asks replicas that the current epoch is not open at never to open it.
	Seal
	// Append passes an entry along the chain: Sequence, Version, Digest, Resend, Body if HasBody. A new write
	// carries where it came in, Origin and Request, and in History the entry before it alone: who holds that
	// one has the rest. With Resend it has the current View, and the whole History if HasBody.
	Append
	// FetchBody asks the predecessor for an entry with its body: Sequence.
	FetchBody
	// Ack tells the head that the tail holds an entry: Sequence.
	Ack
	// Commit tells replicas that an entry is committed: Sequence.
	Commit
	// Forward passes a write on to the head: Request, Expected, Version, Body. With a Digest, and no Body, it
	// asks whether the change of that digest was committed.
	Forward
	// ForwardRead passes a read on to the head: Request, Sequence (of the entry that the asker knows).
	ForwardRead
	// ForwardReply answers Forward and ForwardRead: Request, Outcome, Sequence, Version, Body if HasBody.
	ForwardReply
	// Marker passes along the chain for a batch of reads: Marker.
	Marker
	// MarkerReply tells the head what the tail held when the marker came: Marker, Sequence.
	MarkerReply
)

// Message is what nodes tell each other. Slices in it must not be changed.
type Message struct {
	Kind  Kind
	From  MemberID
	Epoch uint64

	Address      string
	HasDisk      bool
	EntryEpoch   uint64
	Open         bool
	Draining     bool
	Stalled      bool
	Sealed       bool
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

// Envelope is a message with its receiver. ID may be empty when only an address is known.
type Envelope struct {
	To      Member
	Message Message
}

// Effects are what a step asks of its caller: first make Persist durable as one unit, then send the messages
// and give the replies. If the records can't be made durable nothing else of the effects may happen, and
// PersistFailed has to be called before any other step.
type Effects struct {
	Persist  [][]byte
	Messages []Envelope
	Replies  []Reply
}
