package peerproto

// ChainMessage is the encoded form of chain.Message, which describes its fields.
type ChainMessage struct {
	Kind           int                 `avro:"kind"`
	From           string              `avro:"from"`
	Epoch          int64               `avro:"epoch"`
	Address        string              `avro:"address"`
	HasDisk        bool                `avro:"has_disk"`
	EntryEpoch     int64               `avro:"entry_epoch"`
	Open           bool                `avro:"open"`
	Draining       bool                `avro:"leaving"`
	Stalled        bool                `avro:"stalled"`
	Sealed         bool                `avro:"sealed"`
	ReceivesFrom   []string            `avro:"hears"`
	View           ChainView           `avro:"view"`
	ProposalNumber ChainProposalNumber `avro:"ballot"`
	AcceptedNumber ChainProposalNumber `avro:"accepted_ballot"`
	Sequence       int64               `avro:"sequence"`
	Version        int64               `avro:"version"`
	Digest         []byte              `avro:"digest"`
	HasBody        bool                `avro:"has_body"`
	Body           []byte              `avro:"body"`
	Resend         bool                `avro:"resend"`
	Origin         string              `avro:"origin"`
	Request        int64               `avro:"request"`
	Expected       int64               `avro:"expected"`
	Outcome        int                 `avro:"outcome"`
	Marker         int64               `avro:"marker"`
	History        []PastEntry         `avro:"history"`
}

// PastEntry is the encoded form of chain.PastEntry.
type PastEntry struct {
	Version int64  `avro:"version"`
	Digest  []byte `avro:"digest"`
}

// ChainView is the encoded form of chain.View.
type ChainView struct {
	Epoch    int64        `avro:"epoch"`
	Members  []MemberInfo `avro:"members"`
	Chain    []string     `avro:"chain"`
	Fresh    []string     `avro:"fresh"`
	Sources  []string     `avro:"sources"`
	Unopened []PastChain  `avro:"unopened"`
}

// PastChain is the encoded form of chain.PastChain.
type PastChain struct {
	Epoch int64    `avro:"epoch"`
	Chain []string `avro:"chain"`
}

// ChainProposalNumber is the encoded form of chain.ProposalNumber.
type ChainProposalNumber struct {
	Counter  int64  `avro:"round"`
	Proposer string `avro:"member"`
}
