package peerproto

import "github.com/hamba/avro/v2"

// ChainMessage is a message among the machines that keep the control state, as package chain defines it.
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
	// History names the committed entries before the one in Body.
	History []PastEntry `avro:"history"`
}

// PastEntry names an earlier entry of the configuration register.
type PastEntry struct {
	Version int64  `avro:"version"`
	Digest  []byte `avro:"digest"`
}

// ChainView is a view of the chain.
type ChainView struct {
	Epoch   int64        `avro:"epoch"`
	Members []MemberInfo `avro:"members"`
	Chain   []string     `avro:"chain"`
	Fresh   []string     `avro:"fresh"`
	Sources []string     `avro:"sources"`
	// Unopened are the chains of the epochs before that were given up.
	Unopened []PastChain `avro:"unopened"`
}

// PastChain is the chain of an earlier epoch.
type PastChain struct {
	Epoch int64    `avro:"epoch"`
	Chain []string `avro:"chain"`
}

// ChainProposalNumber is a ballot of a proposal.
type ChainProposalNumber struct {
	Counter  int64  `avro:"round"`
	Proposer string `avro:"member"`
}

const (
	proposalNumberSchema = `{"type":"record","name":"ChainBallot","fields":[
		{"name":"round","type":"long"},{"name":"member","type":"string"}]}`
	stringsSchema = `{"type":"array","items":"string"}`
)

var chainSchema = newChainSchema()

func newChainSchema() avro.Schema {
	view := `{"type":"record","name":"ChainView","fields":[{"name":"epoch","type":"long"},
		{"name":"members","type":{"type":"array","items":` + memberSchema + `}},
		{"name":"chain","type":` + stringsSchema + `},{"name":"fresh","type":` + stringsSchema + `},
		{"name":"sources","type":` + stringsSchema + `},{"name":"unopened","type":{"type":"array","items":
		{"type":"record","name":"PastChain","fields":[{"name":"epoch","type":"long"},
		{"name":"chain","type":` + stringsSchema + `}]}}}]}`
	return mustParseRecord("ChainMessage", `{"name":"kind","type":"int"},{"name":"from","type":"string"},
		{"name":"epoch","type":"long"},{"name":"address","type":"string"},{"name":"has_disk","type":"boolean"},
		{"name":"entry_epoch","type":"long"},{"name":"open","type":"boolean"},{"name":"leaving","type":"boolean"},
		{"name":"stalled","type":"boolean"},{"name":"sealed","type":"boolean"},
		{"name":"hears","type":`+stringsSchema+`},{"name":"view","type":`+view+`},
		{"name":"ballot","type":`+proposalNumberSchema+`},{"name":"accepted_ballot","type":"ChainBallot"},
		{"name":"sequence","type":"long"},{"name":"version","type":"long"},{"name":"digest","type":"bytes"},
		{"name":"has_body","type":"boolean"},{"name":"body","type":"bytes"},{"name":"resend","type":"boolean"},
		{"name":"origin","type":"string"},{"name":"request","type":"long"},{"name":"expected","type":"long"},
		{"name":"outcome","type":"int"},{"name":"marker","type":"long"},
		{"name":"history","type":{"type":"array","items":{"type":"record","name":"PastEntry","fields":[
		{"name":"version","type":"long"},{"name":"digest","type":"bytes"}]}}}`)
}
