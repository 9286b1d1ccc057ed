package chain

import (
	"math/rand"
	"time"
)

// Config is what a node is given at its start.
type Config struct {
	// Self is this node. Its ID is used only if the disk holds none.
	Self Member
	// HasDisk says that this node can be a member; without it nothing is persisted.
	HasDisk bool
	// AllowBootstrap lets a node without a view accept the first attempt of a founder, also after a restart.
	AllowBootstrap bool
	// TargetMembers is how many members there shall be.
	TargetMembers int
	// RequiredReplicas is how many replicas a write needs at least, if there are as many members.
	RequiredReplicas int
	// DigestOf names the change that a body came from. It has to be a function of the body alone, and two
	// bodies with one digest have to be equal if the entries before them are. The default is SHA-256.
	DigestOf func(body []byte) Digest
	// Random draws backoffs and the start of the markers' numbers.
	Random *rand.Rand

	// The times below have defaults.

	HeartbeatInterval   time.Duration // between two heartbeats
	SuspectAfter        time.Duration // of silence a member leaves the chain
	RejoinAfter         time.Duration // of steady heartbeats a member joins the chain
	ReplaceAfter        time.Duration // of silence another machine takes a member's place
	SealAfter           time.Duration // without a possible head the members give up the unopened epoch
	StabilizationDelay  time.Duration // a plan that rests on differing reports is proposed
	ProposeStagger      time.Duration // between the proposers of the same change
	ProposeTimeout      time.Duration // for one phase of a proposal
	ReproposeAfter      time.Duration // a view that was accepted and not decided is proposed again
	ResendAfter         time.Duration // without an acknowledgement an entry or marker is sent again
	RequestTimeout      time.Duration // a request is answered Unavailable
	PersistCommitAfter  time.Duration // the committed sequence is persisted by itself
	BootstrapRetryAfter time.Duration // without all consents the founder tries the first view of fewer members
	// QueueLimit bounds how many requests wait at a node.
	QueueLimit int
	// HistoryLength bounds how many earlier entries an entry names; all nodes have the same.
	HistoryLength int
}

// withDefaults fills in what is not set.
func (c Config) withDefaults() Config {
	setDefault := func(value *time.Duration, defaultValue time.Duration) {
		if *value == 0 {
			*value = defaultValue
		}
	}
	setDefault(&c.HeartbeatInterval, 100*time.Millisecond)
	setDefault(&c.SuspectAfter, 700*time.Millisecond)
	setDefault(&c.RejoinAfter, 300*time.Millisecond)
	setDefault(&c.ReplaceAfter, 1200*time.Millisecond)
	setDefault(&c.SealAfter, time.Second)
	setDefault(&c.StabilizationDelay, 5*c.HeartbeatInterval/2)
	setDefault(&c.ProposeStagger, 150*time.Millisecond)
	setDefault(&c.ProposeTimeout, 300*time.Millisecond)
	setDefault(&c.ReproposeAfter, 500*time.Millisecond)
	setDefault(&c.ResendAfter, 200*time.Millisecond)
	setDefault(&c.RequestTimeout, 2*time.Second)
	setDefault(&c.PersistCommitAfter, time.Second)
	setDefault(&c.BootstrapRetryAfter, 3*time.Second)
	if c.DigestOf == nil {
		c.DigestOf = digestOfBody
	}
	if c.QueueLimit == 0 {
		c.QueueLimit = 256
	}
	if c.HistoryLength == 0 {
		c.HistoryLength = defaultHistoryLength
	}
	if c.TargetMembers == 0 {
		c.TargetMembers = 3
	}
	if c.RequiredReplicas == 0 {
		c.RequiredReplicas = 1
	}
	return c
}
