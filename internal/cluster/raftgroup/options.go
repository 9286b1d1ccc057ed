package raftgroup

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"cresshub/internal/cluster/placement"
)

// Options configure a Host; Check returns what is wrong with them.
type Options struct {
	Name      string // of this member
	Bind      string // host:port to listen at for other members; port 0 lets the system choose
	Advertise string // host:port others reach it at; "" is the address listened at
	Dir       string // folder of its own for the store, on a disk that lasts
	Label     string // the fleet's; members and stores of another are rejected
	Hall      string // failure domain

	Replicas          int           // voters wanted of a group: 3 or 5
	BootstrapExpect   int           // live members needed to bootstrap a group
	MaxLearnerLag     int           // log entries a learner may be behind when it is promoted
	HeartbeatInterval time.Duration // between a leader's heartbeats; raft's tick
	ElectionTimeout   time.Duration // without a leader for one to two of it, a follower stands for election
	GoneAfter         time.Duration // a replica's member that is not in the view for so long counts as gone
	SnapshotEntries   int           // log entries between snapshots
	SnapshotBytes     int64         // bytes of log between snapshots
	Relay             string        // address of a SOCKS5 relay to other members; tests and laboratory only

	Groups          []string // names of the fleet's groups
	NewStateMachine func(group string) StateMachine
	Faults          DiskFaults // nil but in tests and the laboratory
	Log             *slog.Logger
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
