package chain

import (
	"math/rand"
	"time"
)

// Config configures a Node. It is read once, by Open.
type Config struct {
	// Self is this node. Its ID is used only if the disk holds none.
	Self Member
	// HasDisk says that this node can be a member; without it nothing is persisted.
	HasDisk bool
	// AllowBootstrap lets this node accept a first view of epoch 1. A disk that was first used with it set may
	// do so also after a restart without it.
	AllowBootstrap bool
	// TargetMembers is the number of members up to which the planner adds machines; the default is 3.
	TargetMembers int
	// RequiredReplicas is the minimum number of replicas that commit a write, if there are as many members; it
	// is never below a majority of the members. The default is 1.
	RequiredReplicas int
	// DigestOf identifies the change that a body came from. It has to be a function of the body alone, and two
	// bodies with one digest have to be equal if the entries before them are. The default is SHA-256.
	DigestOf func(body []byte) Digest
	// Random draws backoffs and the first marker of each epoch.
	Random *rand.Rand

	// HeartbeatInterval is the time between two heartbeats; the default is 100 ms.
	HeartbeatInterval time.Duration
	// SuspectAfter is the failure detector's timeout: a replica not seen for longer is removed from the chain.
	// The default is 700 ms.
	SuspectAfter time.Duration
	// RejoinAfter is how long a member's heartbeats have to arrive without a gap before it joins the chain; the
	// default is 300 ms.
	RejoinAfter time.Duration
	// ReplaceAfter is how long a member has to be unavailable before another machine replaces it; the default
	// is 1.2 s.
	ReplaceAfter time.Duration
	// SealAfter is how long an epoch has to be without any possible head before its members seal it; the
	// default is 1 s.
	SealAfter time.Duration
	// StabilizationDelay postpones a proposal that rests on differing reports, see Disputed. The default is 2.5
	// heartbeat intervals.
	StabilizationDelay time.Duration
	// ProposeStagger is the delay between the members that would propose the same view; the default is 150 ms.
	ProposeStagger time.Duration
	// ProposeTimeout bounds one phase of a proposal; the default is 300 ms.
	ProposeTimeout time.Duration
	// ReproposeAfter is how long an acceptor waits for the decision on a view that it accepted before it
	// proposes that view itself; the default is 500 ms.
	ReproposeAfter time.Duration
	// ResendAfter is how long an entry, marker or BootstrapAccept goes unacknowledged before it is sent again;
	// the default is 200 ms.
	ResendAfter time.Duration
	// RequestTimeout is how long a request waits before it is answered Unavailable; the default is 2 s.
	RequestTimeout time.Duration
	// PersistCommitAfter is how long the committed sequence waits for another record to be persisted with; the
	// default is 1 s.
	PersistCommitAfter time.Duration
	// BootstrapRetryAfter is the time between attempts to agree on the first view; the default is 3 s.
	BootstrapRetryAfter time.Duration
	// QueueLimit bounds how many requests wait at a node; the default is 256.
	QueueLimit int
	// HistoryLength bounds how many earlier entries an entry names, the same at all nodes; the default is 4096.
	HistoryLength int
}

// withDefaults returns the configuration with defaults for what is not set.
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
