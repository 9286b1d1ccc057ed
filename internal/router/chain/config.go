package chain

import (
	"math/rand"
	"time"
)

// Config configures a Node. Open copies it.
type Config struct {
	// Self is this node. Its ID is used only if the disk holds none.
	Self Member
	// HasDisk means that this node has a disk and can be a member. A node without a disk persists nothing.
	HasDisk bool
	// AllowBootstrap lets this node accept a first view of epoch 1. A node whose disk was first used with
	// AllowBootstrap set may do so also after a restart without it.
	AllowBootstrap bool
	// TargetMembers is the number of members up to which the planner adds machines; the default is 3.
	TargetMembers int
	// RequiredReplicas is the minimum number of replicas that have to accept a write before it is committed. It
	// is lowered to the number of members if there are fewer, and raised to a majority of them. The default is
	// 1.
	RequiredReplicas int
	// DigestOf identifies the change that produced a body. It has to depend on the body alone, and two bodies
	// with the same digest have to be equal if they follow equal entries. The default is SHA-256.
	DigestOf func(body []byte) Digest
	// Random is the source of backoffs, of the bootstrap takeover's jitter and of the first marker of each
	// epoch.
	Random *rand.Rand

	// HeartbeatInterval is the time between two heartbeats; the default is 100 ms.
	HeartbeatInterval time.Duration
	// SuspectAfter is the failure detector's timeout: a replica from which no message has arrived for longer is
	// removed from the chain. The default is 700 ms.
	SuspectAfter time.Duration
	// RejoinAfter is how long a member's messages have to arrive without a gap before it joins the chain; the
	// default is 300 ms.
	RejoinAfter time.Duration
	// ReplaceAfter is how long a member has to be unavailable before another machine replaces it; the default
	// is 1.2 s.
	ReplaceAfter time.Duration
	// SealAfter is how long every replica that could become head has to be unavailable before the members seal
	// the epoch; the default is 1 s.
	SealAfter time.Duration
	// StabilizationDelay postpones a proposal that is based on missing or contradictory reports, see
	// ReportsInconclusive. The default is 2.5 heartbeat intervals.
	StabilizationDelay time.Duration
	// ProposeStagger is the delay between one member's proposal of a view and the next member's, so that they
	// don't compete; the default is 150 ms.
	ProposeStagger time.Duration
	// ProposeTimeout bounds the duration of one phase of a proposal; the default is 300 ms.
	ProposeTimeout time.Duration
	// ReproposeAfter is how long an acceptor waits for the decision on a view that it accepted before it
	// proposes that view itself; the default is 500 ms.
	ReproposeAfter time.Duration
	// ResendAfter is how long an entry, a marker or a BootstrapAccept stays unacknowledged before it is sent
	// again. A failing disk is probed at the same interval. The default is 200 ms.
	ResendAfter time.Duration
	// RequestTimeout is how long a request waits before it is answered Unavailable; the default is 2 s.
	RequestTimeout time.Duration
	// PersistCommitAfter is how long a new committed sequence waits to be persisted together with another
	// record before it is persisted alone; the default is 1 s.
	PersistCommitAfter time.Duration
	// BootstrapRetryAfter is the time between attempts to get a first view decided; the default is 3 s.
	BootstrapRetryAfter time.Duration
	// QueueLimit bounds how many requests wait at a node: those made there, and those that wait there because
	// it is the head, each. The default is 256.
	QueueLimit int
	// HistoryLength bounds the number of entries in an entry's history. It has to be the same at all nodes; the
	// default is 4096.
	HistoryLength int
}

// withDefaults returns the configuration with unset fields replaced by their defaults.
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
