// Package agentsettings reads the settings file of a process of the router fleet. The file is a JSON document
// whose keys use the vocabulary of the operators' documentation (an office is a machine's name, a district is
// a zone). The environment variable CRESSHUB_NODE_FILE holds its path. Settings are read at the start; while
// a process runs, package agent applies only changed seeds. docs/fleet-settings.md lists every key; a test
// compares it with the parser.
package agentsettings

import (
	"fmt"
	"os"
	"time"

	"cresshub/internal/jsondoc"
)

// PathVariable names the environment variable that holds the path of the settings file.
const PathVariable = "CRESSHUB_NODE_FILE"

// Settings holds the settings of a process. Parentheses give each field's key in the file and its default; a
// key without a default is required. Some fields are accepted and have no effect: files may contain their
// keys, but no code uses the values. Parse validates these values nevertheless, except those of Regions.
type Settings struct {
	// Name is the machine's name (office). Rendezvous hashing over it chooses the hub that the process follows.
	Name string
	// Role is the name of the process's role (role, ""). It is accepted and has no effect: the listeners decide
	// what is served.
	Role string
	// IP is the machine's address (ip). Other processes call it there, at the first of InnerPorts.
	IP string
	// Zone is the failure domain of the machine (district, ""). Servers of the same zone are preferred.
	Zone string
	// Region is the region of the machine (region, ""), and Regions the region of each zone (districts, none).
	// They are accepted and have no effect.
	Region  string
	Regions map[string]string
	// Front is the address for clients (counters.front, ""). Without it, the process has no data plane.
	Front string
	// Ready is the address for the platform's readiness checks (counters.ready, "" for none).
	Ready string
	// Control is the address for servers and operators (counters.control, "" for none).
	Control string
	// InnerPorts are the first and the last port that processes may use between each other (inner_ports). Only
	// the first one is used.
	InnerPorts [2]int
	// Seeds are the control addresses of some processes (seeds, none). A process calls them until it knows the
	// view. At the first start, the first seed bootstraps the fleet.
	Seeds []string
	// FirstStart is set when the whole fleet starts for the first time (first_start, false), so that there is no
	// configuration or view to be learned from others.
	FirstStart bool
	// Counted says that the loss of this machine counts towards TolerateMachines (counted, false). It is
	// accepted and has no effect.
	Counted bool
	// DataDir is the folder for durable state (data_dir, "" for a machine without a disk). Only machines with a
	// disk replicate the configuration.
	DataDir string
	// HeartbeatInterval is the time between heartbeats of a server (beat_ms, 1000 ms). A server that misses 1.9
	// of them counts as lost.
	HeartbeatInterval time.Duration

	// CPUShare is the fraction of a CPU core that the process may use (size_limits.cpu_share, 1). It is accepted
	// and has no effect.
	CPUShare float64
	// MemoryBytes is the memory that the process may use (size_limits.memory_mb, 256 MiB). It bounds the heap
	// and the buffered bodies of requests.
	MemoryBytes int64
	// Descriptors is how many file descriptors the process may open (size_limits.fds, 1024). It bounds the
	// connections of clients and servers.
	Descriptors int
	// DiskBytes is the capacity of the disk (size_limits.disk_mb, 0). The log of the chain is compacted when it
	// takes a quarter of it.
	DiskBytes int64

	// TolerateMachines is the number of machines that may be lost at the same time without loss of acknowledged
	// state (tolerate.machines, 0). It sets the size of a view and of the chain.
	TolerateMachines int
	// TolerateZones and TolerateRegions are the same for zones and regions (tolerate.districts and
	// tolerate.regions, 0). They are accepted and have no effect.
	TolerateZones   int
	TolerateRegions int
	// Bounds holds the limits that the operators' rules set for the fleet (bounds).
	Bounds Bounds
}

// Bounds holds the limits that the operators' rules set for the fleet, under the names that the operators'
// documentation uses. The process itself uses only Grace, Lease and the retry budget (RetryRatio, RetryWindow
// and RetrySlack). Touch, Ack, CatchUp, Drain, Lost, Config and Fenced are used only by trials and
// simulations, to judge the process. The others are accepted and have no effect.
type Bounds struct {
	// SeedLag is how far the operators' list of seeds lags behind the machines (seed_lag_s, 3 s). It is accepted
	// and has no effect.
	SeedLag time.Duration
	// ReuseAfter is how long after its end a server's address may be given to another one (reuse_after_s, 2 s).
	// It is accepted and has no effect.
	ReuseAfter time.Duration
	// Touch is the time after a fault in which the time bounds do not yet apply to a machine
	// (touch_ms, 3000 ms).
	Touch time.Duration
	// Ack bounds the time until a change of the configuration is acknowledged (ack_ms, 4000 ms).
	Ack time.Duration
	// CatchUp bounds the time in which a started process learns the configuration (catch_up_s, 4 s).
	CatchUp time.Duration
	// Drain is the time from the acknowledgement of a drain to the last request that may be sent to the server
	// (drain_ms, 2000 ms).
	Drain time.Duration
	// Grace is the grace period: the time from SIGTERM to SIGKILL (grace_s, 8 s). The shutdown is planned by it.
	Grace time.Duration
	// Lost is the age up to which an unanswered request may be lost with its machine (lost_ms, 200 ms).
	Lost time.Duration
	// Config is the time from the acknowledgement of a version until all processes use it (config_ms, 2000 ms).
	Config time.Duration
	// Outer is outer_ms, 5000 ms by default. It is accepted and has no effect.
	Outer time.Duration
	// RetryRatio is the number of retries allowed per request (retry_ratio, 0.2), RetryWindow the window over
	// which retries and requests are counted (retry_window_s, 10 s), and RetrySlack the number of additional
	// retries allowed to all proxies together (retry_slack, 10).
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// Transit is the longest time that an event takes from a server to its client (transit_ms, 120 ms). It is
	// accepted and has no effect.
	Transit time.Duration
	// Fenced says that servers check the fencing tokens of orders (fenced, false).
	Fenced bool
	// Lease is the least time between orders of two successive heads of the chain (lease_ms, 3000 ms). A new
	// head waits for it.
	Lease time.Duration
	// Thaw is thaw_ms, 300 ms by default. It is accepted and has no effect.
	Thaw time.Duration
}

// Load reads the settings file whose path is in the environment variable PathVariable. It fails if the
// variable is not set, or with the errors of LoadFile.
func Load() (*Settings, error) {
	path := os.Getenv(PathVariable)
	if path == "" {
		return nil, fmt.Errorf("%s is not set; set it to the path of the settings file", PathVariable)
	}
	return LoadFile(path)
}

// LoadFile reads a settings file. The error wraps that of the file system, or is that of Parse.
func LoadFile(path string) (*Settings, error) {
	document, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the settings: %w; check the path in %s", err, PathVariable)
	}
	return Parse(document)
}

// Parse parses and validates settings. Its error is a *jsondoc.ValidationError that lists every problem.
// Unknown keys are ignored.
func Parse(document []byte) (*Settings, error) {
	parsed, err := jsondoc.Parse(document)
	if err != nil {
		return nil, err
	}
	root := parsed.Root()
	limits, tolerate, listen := root.Get("size_limits"), root.Get("tolerate"), root.Get("counters")
	s := &Settings{
		Name: root.Get("office").Text(), Role: root.Get("role").TextOr(""), IP: root.Get("ip").Text(),
		Zone: root.Get("district").TextOr(""), Region: root.Get("region").TextOr(""),
		Regions: root.Get("districts").TextFields(),
		Front:   listen.Get("front").TextOr(""), Ready: listen.Get("ready").TextOr(""),
		Control: listen.Get("control").TextOr(""), InnerPorts: readPorts(root.Get("inner_ports")),
		FirstStart: root.Get("first_start").Bool(), Counted: root.Get("counted").Bool(),
		DataDir:           root.Get("data_dir").TextOr(""),
		HeartbeatInterval: milliseconds(root.Get("beat_ms").NumberOr(1000, 1)),
		CPUShare:          limits.Get("cpu_share").NumberOr(1, 0),
		MemoryBytes:       int64(limits.Get("memory_mb").NumberOr(256, 1)) << 20,
		Descriptors:       int(limits.Get("fds").NumberOr(1024, 1)),
		DiskBytes:         int64(limits.Get("disk_mb").NumberOr(0, 0)) << 20,
		TolerateMachines:  int(tolerate.Get("machines").NumberOr(0, 0)),
		TolerateZones:     int(tolerate.Get("districts").NumberOr(0, 0)),
		TolerateRegions:   int(tolerate.Get("regions").NumberOr(0, 0)),
		Bounds:            readBounds(root.Get("bounds")),
	}
	for _, seed := range root.Get("seeds").Items() {
		s.Seeds = append(s.Seeds, seed.Text())
	}
	return s, parsed.Err()
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

func readPorts(node jsondoc.Node) [2]int {
	items := node.Items()
	if len(items) != 2 {
		node.Reject("does not hold two ports", "give the first and the last port")
		return [2]int{}
	}
	return [2]int{int(items[0].Number(1)), int(items[1].Number(1))}
}

func readBounds(node jsondoc.Node) Bounds {
	millis := func(name string, fallback float64) time.Duration {
		return milliseconds(node.Get(name).NumberOr(fallback, 0))
	}
	secs := func(name string, fallback float64) time.Duration {
		return milliseconds(1000 * node.Get(name).NumberOr(fallback, 0))
	}
	return Bounds{
		SeedLag: secs("seed_lag_s", 3), ReuseAfter: secs("reuse_after_s", 2), Touch: millis("touch_ms", 3000),
		Ack: millis("ack_ms", 4000), CatchUp: secs("catch_up_s", 4), Drain: millis("drain_ms", 2000),
		Grace: secs("grace_s", 8), Lost: millis("lost_ms", 200), Config: millis("config_ms", 2000),
		Outer: millis("outer_ms", 5000), RetryRatio: node.Get("retry_ratio").NumberOr(0.2, 0),
		RetryWindow: secs("retry_window_s", 10), RetrySlack: node.Get("retry_slack").NumberOr(10, 0),
		Transit: millis("transit_ms", 120), Fenced: node.Get("fenced").Bool(), Lease: millis("lease_ms", 3000),
		Thaw: millis("thaw_ms", 300),
	}
}
