package raftgroup

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"cresshub/internal/cluster/placement"
)

// Options configure a Host. Open checks them and copies them: a later change has no effect. The defaults
// named here are those of the settings in the client proxy's configuration; a zero field stands for itself.
type Options struct {
	// Name is this member's name, unique in the fleet.
	Name string
	// Bind is the host:port to listen at for other members. With port 0 the system chooses a port.
	Bind string
	// Advertise is the host:port at which other members reach this one, for the fleet's metadata. Empty, the
	// default, is the address that Bind led to.
	Advertise string
	// Dir is the directory of the store, of this Host alone, on a disk that survives restarts. Where it is lost,
	// the replicas on it are, and the groups replace them.
	Dir string
	// Label is the fleet's. Connections from members, and a store, with another label are rejected.
	Label string

	// Replicas is how many voters a group is brought to: 3 (the default), which survive the loss of one, or 5,
	// which survive the loss of two.
	Replicas int
	// BootstrapExpect is how many live members there have to be before a group is bootstrapped; 3 by default and
	// at least. It should be more than half of all members, so that two halves of a partitioned fleet don't each
	// bootstrap one.
	BootstrapExpect int
	// MaxLearnerLag is how many log entries a learner may lack when it is promoted to a voter; 100 by default.
	MaxLearnerLag int
	// HeartbeatInterval is the time between a leader's heartbeats, and raft's tick; 100 ms by default.
	HeartbeatInterval time.Duration
	// ElectionTimeout is how long a follower that receives nothing of a leader waits before it stands for
	// election: from once to twice as long, drawn by raft; 1 s by default. At least twice HeartbeatInterval. The
	// other timeouts of a group derive from it.
	ElectionTimeout time.Duration
	// GoneAfter is how long the member of a replica may be absent from the view before it counts as gone and the
	// replica is replaced; 30 s by default, as package membership has it for the members in the view.
	GoneAfter time.Duration
	// SnapshotEntries is how many applied log entries lead to the next snapshot; 10000 by default.
	SnapshotEntries int
	// SnapshotBytes is how many bytes of log do, where they come first; 16 MiB by default.
	SnapshotBytes int64
	// Relay is the host:port of a SOCKS5 server through which other members are dialed, for tests and the
	// laboratory alone. Empty, the default, dials them directly.
	Relay string

	// Groups are the names of the fleet's groups, the same on all members; each at most 255 bytes.
	Groups []string
	// NewStateMachine returns the empty state machine of a group. It is called whenever a replica is opened.
	NewStateMachine func(group string) StateMachine
	// Faults injects faults of the disk, for tests and the laboratory alone. Nil, the default, injects none.
	Faults DiskFaults
	// Log takes the messages of the Host and of raft. It must not be nil.
	Log *slog.Logger
}

// Check returns an error that names the setting where an option is wrong.
func (o *Options) Check() error {
	settings := placement.Settings{Replicas: o.Replicas, MaxLearnerLag: uint64(max(o.MaxLearnerLag, 0))}
	if err := settings.Check(); err != nil {
		return fmt.Errorf("ledger.%w", err)
	}
	switch {
	case o.Dir == "":
		return errors.New("ledger.data names no folder")
	case o.BootstrapExpect < minVoters:
		return fmt.Errorf("ledger.expect %d is below %d", o.BootstrapExpect, minVoters)
	case o.ElectionTimeout < 2*o.HeartbeatInterval:
		return fmt.Errorf("ledger.election %v is below twice ledger.heartbeat %v", o.ElectionTimeout,
			o.HeartbeatInterval)
	case o.SnapshotEntries < 1 || o.SnapshotBytes < 1:
		return errors.New("ledger.snapshot_entries and ledger.snapshot_bytes must be above zero")
	}
	return nil
}
