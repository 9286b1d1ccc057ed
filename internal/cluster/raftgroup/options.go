package raftgroup

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"cresshub/internal/cluster/placement"
)

// Options configure a Host. Open checks and copies them: later changes have no effect. The defaults named
// here are those of the client proxy's configuration; Open itself replaces no zero field by a default.
type Options struct {
	// Name is this member's name, unique in the fleet.
	Name string
	// Bind is the host:port to listen on for other members. With port 0 the operating system chooses a port.
	Bind string
	// Advertise is the host:port at which other members reach this one, to be published in the fleet's
	// metadata. Empty, the default, means the address that the listener got from Bind.
	Advertise string
	// Dir is the directory of the store, used by this Host alone, on a disk that survives restarts. If it is
	// lost, so are the replicas in it, and their groups replace them.
	Dir string
	// Label identifies the fleet. Connections from members with another label, and a store with another
	// label, are rejected.
	Label string

	// Replicas is the number of voters that a group grows to: 3 (the default), which survive the loss of one,
	// or 5, which survive the loss of two.
	Replicas int
	// BootstrapExpect is the number of live members that must be in the view before a group is bootstrapped;
	// the default and the minimum are 3. It should be more than half of all members, so that the two halves
	// of a partitioned fleet don't each bootstrap a group.
	BootstrapExpect int
	// MaxLearnerLag is how many log entries a learner may lag behind the leader when it is promoted to a
	// voter; 100 by default.
	MaxLearnerLag int
	// HeartbeatInterval is the time between a leader's heartbeats, and the length of raft's tick; 100 ms by
	// default.
	HeartbeatInterval time.Duration
	// ElectionTimeout is how long a follower that receives nothing from a leader waits before it campaigns;
	// one second by default. Raft draws the actual wait at random between once and twice this value. It must
	// be at least twice HeartbeatInterval. The other timeouts of a group derive from it.
	ElectionTimeout time.Duration
	// GoneAfter is how long a member with a replica may be absent from the view before it counts as gone and
	// its replica is replaced; 30 s by default, the value that package membership uses for members in the
	// view.
	GoneAfter time.Duration
	// SnapshotEntries is the number of log entries applied since the last snapshot after which the next one
	// is taken; 10000 by default.
	SnapshotEntries int
	// SnapshotBytes is the size in bytes of the log since the last snapshot after which the next one is
	// taken, if that comes before SnapshotEntries; 16 MiB by default.
	SnapshotBytes int64
	// Relay is the host:port of a SOCKS5 server through which other members are dialed, only for tests and
	// the lab. Empty, the default, means that they are dialed directly.
	Relay string

	// Groups are the names of the fleet's groups, the same on all members; each has at most 255 bytes.
	Groups []string
	// NewStateMachine returns the empty state machine of a group. It is called whenever a replica is opened.
	NewStateMachine func(group string) StateMachine
	// Faults injects disk faults, only for tests and the lab. Nil, the default, injects none.
	Faults DiskFaults
	// Log receives the log messages of the Host and of raft. It must not be nil.
	Log *slog.Logger
}

// Check returns an error that names the first invalid setting, or nil.
func (o *Options) Check() error {
	settings := placement.Settings{Replicas: o.Replicas, MaxLearnerLag: uint64(max(o.MaxLearnerLag, 0))}
	if err := settings.Check(); err != nil {
		return fmt.Errorf("ledger.%w", err)
	}
	switch {
	case o.Dir == "":
		return errors.New("ledger.data is empty; it must name a directory")
	case o.BootstrapExpect < minVoters:
		return fmt.Errorf("ledger.expect is %d, below the minimum of %d", o.BootstrapExpect, minVoters)
	case o.ElectionTimeout < 2*o.HeartbeatInterval:
		return fmt.Errorf("ledger.election %v is below twice ledger.heartbeat %v", o.ElectionTimeout,
			o.HeartbeatInterval)
	case o.SnapshotEntries < 1 || o.SnapshotBytes < 1:
		return errors.New("ledger.snapshot_entries and ledger.snapshot_bytes must be above zero")
	}
	return nil
}
