// Package config holds everything that an operator may set: one struct whose tags carry each key's
// default, bounds, meaning and how it is changed in a running program. The own file (TOML), the
// platform's file (JSON), variables and flags all end in it, and the command line's help, the reference
// page and the checks are made from the same tags.
package config

import (
	"encoding/json"
	"sync"
	"time"

	"cresshub/internal/settingsfile"
)

// Size is a number of bytes.
type Size = settingsfile.Size

// schema is the keys of Config.
var schema = sync.OnceValue(func() *settingsfile.Schema {
	return settingsfile.NewSchema[Config](variablePrefix, "`cresshub config docs` lists all")
})

// Fields returns all keys in the order of the reference page.
func Fields() []*settingsfile.Field { return schema().Fields }

const variablePrefix = "CRESSHUB_"

// about stands before a key, takes no room and carries what the key is for: a tag of its own keeps the
// lines short.
type about = struct{}

// Config is what a client proxy is told. Load makes one; its fields hold checked values.
type Config struct {
	_    about  `doc:"name of this instance in its log"`
	Name string `key:"name" default:"cresshub"`

	_    about  `doc:"16 hex digits for random choices; empty draws new ones at each start"`
	Seed string `key:"seed" default:"" form:"hex" reload:"start"`

	_     about    `doc:"halls that servers stand in, in the order that numbers them"`
	Halls []string `key:"halls" default:""`

	_     about    `doc:"kinds of server, in the order that numbers them"`
	Kinds []string `key:"kinds" default:""`

	_         about     `doc:"host and port for operators' calls alone; empty for no such door"`
	Operator  string    `key:"operator" default:"" form:"listen?"`
	Listen    Listen    `key:"listen"`
	Discovery Discovery `key:"discovery"`
	Handover  Handover  `key:"handover"`
	Fleet     Fleet     `key:"fleet"`
	Ledger    Ledger    `key:"ledger"`
	Owner     Owner     `key:"owner"`
	Limits    Limits    `key:"limits"`
	Clients   Clients   `key:"clients"`
	Shutdown  Shutdown  `key:"shutdown"`
	Upstream  Upstream  `key:"upstream"`
	Policy    Policy    `key:"policy"`
	Drain     Drain     `key:"drain"`
	SlowStart SlowStart `key:"cold"`
	Prices    Prices    `key:"prices"`
	Log       Log       `key:"log"`
	Classes   []Class   `key:"class"`
	Tenants   []Tenant  `key:"tenant"`
	Servers   []Server  `key:"server"`

	// KnownServers is the list of servers as last held, in discovery's form; nil where there is none. Only the
	// platform's file has one.
	KnownServers json.RawMessage

	drawnSeed  uint64 // stands for an empty Seed
	origins    map[string]settingsfile.Origin
	onPlatform bool // EDGE_CONFIG names the platform's file
}

// Listen is where clients connect.
type Listen struct {
	_       about  `doc:"host and port that clients connect to; port 0 lets the system choose"`
	Address string `key:"address" default:"127.0.0.1:8080" form:"listen"`
}

// Discovery is where the list of servers comes from.
type Discovery struct {
	_       about  `doc:"host and port of discovery; empty where the servers stand in this file"`
	Address string `key:"address" default:"" form:"address?" reload:"live"`

	_    about  `doc:"ask: changes come only while a watch is held; told: they come unasked"`
	Mode string `key:"mode" default:"ask" enum:"ask|told"`

	_         about         `doc:"longest time without a watch or a question to discovery"`
	AskWithin time.Duration `key:"ask_within" default:"10s" min:"0s" max:"1h"`

	_            about         `doc:"a watch that says nothing for so long is broken"`
	WatchTimeout time.Duration `key:"silence" default:"2500ms" min:"10ms" max:"10m" reload:"live"`

	_       about `doc:"largest object that discovery may send"`
	MaxList Size  `key:"max_list" default:"1MiB" min:"1KiB" max:"64MiB" reload:"live"`
}

// Handover is how a new process takes over from an old one while both run.
type Handover struct {
	_   about  `doc:"folder both see; empty is TMPDIR, and no handover where that is unset"`
	Dir string `key:"dir" default:""`

	_           about         `doc:"longest wait for the old process to hand over"`
	JoinTimeout time.Duration `key:"wait" default:"4s" min:"10ms" max:"1m"`

	_           about         `doc:"a new process takes clients once it heard from discovery, or after so long"`
	ListTimeout time.Duration `key:"settle" default:"1500ms" min:"0s" max:"1m"`
}

// Fleet is this proxy's membership of the fleet of proxies (SWIM gossip). Off where Bind is empty, and
// refused on the platform, which bars talk among proxies.
type Fleet struct {
	_    about  `doc:"host and port for gossip, UDP and TCP; empty for none; port 0: any"`
	Bind string `key:"bind" default:"" form:"listen?"`

	_         about  `doc:"host and port that other members reach this one at; empty is bind"`
	Advertise string `key:"advertise" default:"" form:"address?"`

	_     about    `doc:"gossip addresses of members to join by"`
	Seeds []string `key:"seeds" default:""`

	_     about  `doc:"members that carry another label are refused"`
	Label string `key:"label" default:"cresshub"`

	_             about         `doc:"between probes of one member"`
	ProbeInterval time.Duration `key:"probe" default:"1s" min:"10ms" max:"1m"`

	_            about         `doc:"longest wait for the answer to a probe"`
	ProbeTimeout time.Duration `key:"probe_timeout" default:"500ms" min:"5ms" max:"30s"`

	_              about         `doc:"between rounds of gossip"`
	GossipInterval time.Duration `key:"gossip" default:"200ms" min:"5ms" max:"1m"`

	_             about `doc:"a suspicion lasts this many probes times log(members + 1)"`
	SuspicionMult int   `key:"suspicion_mult" default:"4" min:"1" max:"100"`

	_              about         `doc:"between tries to join seeds and lately dead members again"`
	RejoinInterval time.Duration `key:"rejoin" default:"5s" min:"100ms" max:"1h"`

	_                     about         `doc:"between full exchanges of state with one member,"`
	_                     about         `doc:"times the members known"`
	SyncIntervalPerMember time.Duration `key:"sync_each" default:"1s" min:"10ms" max:"1h"`

	_     about  `doc:"SOCKS5 relay for all gossip; for tests and the laboratory alone"`
	Relay string `key:"relay" default:"" form:"address?"`

	_         about         `doc:"dead without a break so long: others may take its place"`
	GoneAfter time.Duration `key:"gone_after" default:"30s" min:"100ms" max:"24h"`

	_          about         `doc:"changes of state within so long count as flaps, each delaying going"`
	FlapWindow time.Duration `key:"flap_window" default:"1m" min:"1s" max:"24h"`

	_           about         `doc:"left or gone so long: dropped from the view"`
	ForgetAfter time.Duration `key:"forget" default:"10m" min:"1s" max:"24h"`

	_          about `doc:"members held at most"`
	MaxMembers int   `key:"max_members" default:"4096" min:"1" max:"100000"`
}

// Ledger is the ledger of use by tenant, replicated among members of the fleet. Off where Bind is empty, and
// refused on the platform, which bars talk among proxies and has no disk that lasts.
type Ledger struct {
	_    about  `doc:"host and port for other members; empty for none; needs fleet.bind"`
	Bind string `key:"bind" default:"" form:"listen?"`

	_         about  `doc:"host and port that other members reach this one at; empty is bind"`
	Advertise string `key:"advertise" default:"" form:"address?"`

	_       about  `doc:"folder of this member's own on a disk that lasts"`
	DataDir string `key:"data" default:""`

	_        about `doc:"members that hold the ledger; 3 outlive the loss of one, 5 of two"`
	Replicas int   `key:"replicas" default:"3" min:"3" max:"5"`

	_               about `doc:"members that must be seen before the ledger is founded; more than half of all"`
	BootstrapExpect int   `key:"expect" default:"3" min:"3" max:"100000"`

	_             about         `doc:"between batches of counts"`
	FlushInterval time.Duration `key:"flush" default:"100ms" min:"10ms" max:"10s"`

	_      about         `doc:"how long a period stays open"`
	Period time.Duration `key:"period" default:"1m" min:"100ms" max:"24h"`

	_                 about         `doc:"between heartbeats of the ledger's leader"`
	HeartbeatInterval time.Duration `key:"heartbeat" default:"100ms" min:"10ms" max:"10s"`

	_               about         `doc:"without a leader so long, up to twice: another is elected"`
	ElectionTimeout time.Duration `key:"election" default:"1s" min:"50ms" max:"1m"`

	_             about `doc:"log entries that a new replica may lack when it begins to count as one"`
	MaxLearnerLag int   `key:"catch_up" default:"100" min:"1" max:"1000000"`

	_               about `doc:"log entries between snapshots"`
	SnapshotEntries int   `key:"snapshot_entries" default:"10000" min:"10" max:"10000000"`

	_             about `doc:"bytes of log between snapshots"`
	SnapshotBytes Size  `key:"snapshot_bytes" default:"16MiB" min:"64KiB" max:"1GiB"`

	_          about `doc:"closed periods kept"`
	MaxPeriods int   `key:"keep" default:"1440" min:"1" max:"1000000"`

	_            about `doc:"periods in which a request tried again counts where it was answered first"`
	DedupPeriods int   `key:"remember" default:"2" min:"1" max:"1000"`

	_      about `doc:"ids of requests kept for that at most"`
	MaxIDs int   `key:"ids" default:"1000000" min:"0" max:"100000000"`

	_          about `doc:"tenants of one period; further ones count together"`
	MaxTenants int   `key:"tenants" default:"10000" min:"1" max:"1000000"`

	_              about `doc:"bytes of batches that wait on disk; beyond, counts wait summed up"`
	MaxQueuedBytes Size  `key:"outbox" default:"64MiB" min:"64KiB" max:"16GiB"`

	_         about  `doc:"file that says how the disk fails; for tests and the laboratory alone"`
	FaultFile string `key:"faults" default:""`
}

// Owner is the fleet's chores, done by one member at a time under a lease. Off where Chores is empty, and
// refused on the platform, which bars talk among proxies.
type Owner struct {
	_     about    `doc:"export: the ledger to a billing sink; list: ask discovery for all; empty: none"`
	Roles []string `key:"chores" default:""`

	_    about  `doc:"host and port of the billing sink"`
	Sink string `key:"sink" default:"" form:"address?"`

	_        about         `doc:"an owner that does not renew so long owns nothing any more"`
	LeaseTTL time.Duration `key:"lease" default:"2s" min:"50ms" max:"1h"`

	_          about   `doc:"part by which a member's clock may run fast or slow"`
	ClockDrift float64 `key:"drift" default:"0.05" min:"0" max:"0.45"`

	_           about         `doc:"longest wait for the sink's answer to one call"`
	CallTimeout time.Duration `key:"call" default:"1s" min:"10ms" max:"1m"`

	_         about `doc:"entries in one call on the sink at most"`
	BatchSize int   `key:"entries" default:"100" min:"1" max:"1000"`

	_          about         `doc:"an owner's list that is older is not gone by: members ask by themselves"`
	ListMaxAge time.Duration `key:"list_max_age" default:"4s" min:"200ms" max:"1h"`

	_                about         `doc:"between a member's looks at the owner's list"`
	ListPollInterval time.Duration `key:"list_poll" default:"250ms" min:"10ms" max:"1m"`

	_         about  `doc:"file that says how calls go wrong; for tests and the laboratory alone"`
	FaultFile string `key:"faults" default:""`
}
