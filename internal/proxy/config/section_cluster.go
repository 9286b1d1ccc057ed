package config

import (
	"slices"
	"time"

	"cresshub/internal/cluster/lease"
)

// The singleton roles that owner.chores may name.
const (
	RoleExport = "export" // sends the ledger to the billing sink
	RoleList   = "list"   // queries discovery on behalf of all members
)

// Fleet is this proxy's membership of the fleet of proxies, by SWIM gossip; see package gossip. It is off
// where Bind is empty, and rejected on the platform, which forbids traffic between proxies.
type Fleet struct {
	// bind: host and port to listen on for gossip, by UDP and TCP; empty for no membership; with port 0 the
	// system chooses one.
	Bind string `key:"bind" default:"" form:"listen?"`

	// advertise: host and port at which other members reach this one; empty is bind.
	Advertise string `key:"advertise" default:"" form:"address?"`

	// seeds: gossip addresses of members through which this one joins; one that can be reached is enough.
	Seeds []string `key:"seeds" default:""`

	// label: name of the fleet; members with another label are rejected.
	Label string `key:"label" default:"cresshub"`

	// probe: interval between probes, each of one member.
	ProbeInterval time.Duration `key:"probe" default:"1s" min:"10ms" max:"1m"`

	// probe_timeout: longest wait for the response to a probe, after which other members are asked to probe the
	// member; must be below probe.
	ProbeTimeout time.Duration `key:"probe_timeout" default:"500ms" min:"5ms" max:"30s"`

	// gossip: interval between rounds of gossip.
	GossipInterval time.Duration `key:"gossip" default:"200ms" min:"5ms" max:"1m"`

	// suspicion_mult: a suspected member counts as dead after at least this many probe intervals times log10
	// of the number of members (1 at least); without confirmations by other members, after up to six times as
	// long.
	SuspicionMult int `key:"suspicion_mult" default:"4" min:"1" max:"100"`

	// rejoin: interval between attempts to join seeds and recently dead members.
	RejoinInterval time.Duration `key:"rejoin" default:"5s" min:"100ms" max:"1h"`

	// sync_each: this time, multiplied by the number of known members, is the interval between full exchanges
	// of state with another member: a larger fleet exchanges less often.
	SyncIntervalPerMember time.Duration `key:"sync_each" default:"1s" min:"10ms" max:"1h"`

	// relay: SOCKS5 relay for all gossip; only for tests and the laboratory.
	Relay string `key:"relay" default:"" form:"address?"`

	// gone_after: a member that has been dead for this long without interruption is gone: others may replace
	// it.
	GoneAfter time.Duration `key:"gone_after" default:"30s" min:"100ms" max:"24h"`

	// flap_window: a member's deaths, leaves and returns within this time count as flaps; each beyond the first
	// delays the time at which the member is gone.
	FlapWindow time.Duration `key:"flap_window" default:"1m" min:"1s" max:"24h"`

	// forget: a member that left or is gone is removed from the view after this time; at least gone_after.
	ForgetAfter time.Duration `key:"forget" default:"10m" min:"1s" max:"24h"`

	// max_members: largest number of members in the view.
	MaxMembers int `key:"max_members" default:"4096" min:"1" max:"100000"`
}

// Ledger is the ledger of usage by tenant, which members of the fleet replicate by Raft; see packages
// raftgroup and ledger. It is off where Bind is empty, and rejected on the platform, which forbids traffic
// between proxies and has no disk that survives a restart.
type Ledger struct {
	// bind: host and port to listen on for the other members; empty for no ledger. It needs fleet.bind.
	Bind string `key:"bind" default:"" form:"listen?"`

	// advertise: host and port at which other members reach this one; empty is bind.
	Advertise string `key:"advertise" default:"" form:"address?"`

	// data: directory that only this member uses, on a disk that survives restarts.
	DataDir string `key:"data" default:""`

	// replicas: number of members that have a replica: 3 survive the loss of one, 5 the loss of two.
	Replicas int `key:"replicas" default:"3" min:"3" max:"5"`

	// expect: number of members that must be known before the ledger is bootstrapped; it must be more than half
	// of all members.
	BootstrapExpect int `key:"expect" default:"3" min:"3" max:"100000"`

	// flush: interval between batches of counts.
	FlushInterval time.Duration `key:"flush" default:"100ms" min:"10ms" max:"10s"`

	// period: how long a period of the ledger stays open.
	Period time.Duration `key:"period" default:"1m" min:"100ms" max:"24h"`

	// heartbeat: interval between heartbeats of the ledger's leader.
	HeartbeatInterval time.Duration `key:"heartbeat" default:"100ms" min:"10ms" max:"10s"`

	// election: a replica that receives nothing from a leader for a random time, from this to twice as long,
	// starts an election; at least twice heartbeat.
	ElectionTimeout time.Duration `key:"election" default:"1s" min:"50ms" max:"1m"`

	// catch_up: largest number of log entries by which a new replica may lag when it becomes a voter.
	MaxLearnerLag int `key:"catch_up" default:"100" min:"1" max:"1000000"`

	// snapshot_entries: number of log entries after which a snapshot is taken.
	SnapshotEntries int `key:"snapshot_entries" default:"10000" min:"10" max:"10000000"`

	// snapshot_bytes: size of log entries after which a snapshot is taken.
	SnapshotBytes Size `key:"snapshot_bytes" default:"16MiB" min:"64KiB" max:"1GiB"`

	// keep: number of closed periods that are retained.
	MaxPeriods int `key:"keep" default:"1440" min:"1" max:"1000000"`

	// remember: number of periods, including the open one, for which ids of requests are remembered, so that a
	// retry counts once, in the period of its first answer.
	DedupPeriods int `key:"remember" default:"2" min:"1" max:"1000"`

	// ids: largest number of request ids that are remembered.
	MaxIDs int `key:"ids" default:"1000000" min:"0" max:"100000000"`

	// tenants: largest number of tenants in one period; further ones are counted together.
	MaxTenants int `key:"tenants" default:"10000" min:"1" max:"1000000"`

	// outbox: size of the batches that may wait on disk while the ledger has no leader; beyond it, new counts
	// are added up in memory.
	MaxQueuedBytes Size `key:"outbox" default:"64MiB" min:"64KiB" max:"16GiB"`

	// faults: file that defines disk faults to inject; only for tests and the laboratory.
	FaultFile string `key:"faults" default:""`
}

// Owner is the singleton roles, which one member at a time has under a lease; see package leaseholder. It is
// off where Roles is empty, and rejected on the platform, which forbids traffic between proxies.
type Owner struct {
	// chores: singleton roles that this member competes for: export sends the ledger to a billing sink, list
	// queries discovery on behalf of all members; empty for none. They need ledger.bind.
	Roles []string `key:"chores" default:""`

	// sink: host and port of the billing sink.
	Sink string `key:"sink" default:"" form:"address?"`

	// lease: an owner that has not renewed its lease for this long loses the roles.
	LeaseTTL time.Duration `key:"lease" default:"2s" min:"50ms" max:"1h"`

	// drift: largest fraction by which a member's clock may run fast or slow; leases are shortened by it.
	ClockDrift float64 `key:"drift" default:"0.05" min:"0" max:"0.45"`

	// call: longest wait for the sink's response to one call.
	CallTimeout time.Duration `key:"call" default:"1s" min:"10ms" max:"1m"`

	// entries: largest number of ledger entries in one call.
	BatchSize int `key:"entries" default:"100" min:"1" max:"1000"`

	// list_max_age: an owner's list older than this is not used, and members query discovery themselves; at
	// most discovery.ask_within.
	ListMaxAge time.Duration `key:"list_max_age" default:"4s" min:"200ms" max:"1h"`

	// list_poll: interval at which a member polls the store for a new list of the owner; at most a quarter of
	// list_max_age.
	ListPollInterval time.Duration `key:"list_poll" default:"250ms" min:"10ms" max:"1m"`

	// faults: file that defines faults of calls to inject; only for tests and the laboratory.
	FaultFile string `key:"faults" default:""`
}

// HasRole reports whether a role is among those that this member competes for.
func (o *Owner) HasRole(role string) bool { return slices.Contains(o.Roles, role) }

// LeaseSettings returns the settings of the owner's lease.
func (c *Config) LeaseSettings() lease.Settings {
	return lease.Settings{TTL: c.Owner.LeaseTTL, Drift: c.Owner.ClockDrift,
		ElectionTimeout: c.Ledger.ElectionTimeout}
}
