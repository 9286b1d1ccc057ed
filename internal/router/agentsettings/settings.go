// Package agentsettings reads the settings file of a process of the fleet.
package agentsettings

import (
	"fmt"
	"os"
	"time"

	"cresshub/internal/jsondoc"
)

// PathVariable names the environment variable that holds the path of the settings file.
const PathVariable = "CRESSHUB_NODE_FILE"

// Bounds are the figures of the rules that are in force.
type Bounds struct {
	SeedLag     time.Duration // how far the operator's list of proxies lags
	ReuseAfter  time.Duration // after it a server's address may be given to another one
	Touch       time.Duration
	Ack         time.Duration
	CatchUp     time.Duration
	Drain       time.Duration // from the acknowledgement of a drain to the last request sent there
	Grace       time.Duration // from SIGTERM to SIGKILL
	Lost        time.Duration
	Config      time.Duration // from the acknowledgement of a version until all use it
	Outer       time.Duration
	RetryRatio  float64       // repeats allowed for each request
	RetryWindow time.Duration // of the two retry figures
	RetrySlack  float64       // repeats allowed besides, for all proxies together
	Transit     time.Duration // the longest an event may take from server to client
	Fenced      bool          // servers check fencing tokens
	Lease       time.Duration // between orders of two holders
	Thaw        time.Duration
}

// Settings are what a process is told at its start. Durations are Go durations, rates per second.
type Settings struct {
	Name              string
	Role              string
	IP                string
	Zone              string
	Region            string
	Regions           map[string]string // the region of each zone
	Front             string            // address for clients, "" where the role does not serve them
	Ready             string            // address for the platform's readiness calls
	Control           string            // address for servers and the operator
	InnerPorts        [2]int            // the first and last port that proxies may use among themselves
	Seeds             []string          // control addresses of some proxies
	FirstStart        bool              // the whole system starts for the first time
	Counted           bool              // the machine's loss is counted by Tolerate
	DataDir           string            // "" where the machine has no disk
	HeartbeatInterval time.Duration     // between heartbeats of a server

	CPUShare    float64
	MemoryBytes int64
	Descriptors int
	DiskBytes   int64

	TolerateMachines int
	TolerateZones    int
	TolerateRegions  int
	Bounds           Bounds
}

// Load reads the file that the environment names.
func Load() (*Settings, error) {
	path := os.Getenv(PathVariable)
	if path == "" {
		return nil, fmt.Errorf("%s is not set; set it to the path of the settings file", PathVariable)
	}
	return LoadFile(path)
}

// LoadFile reads a settings file.
func LoadFile(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the settings: %w; check the path in %s", err, PathVariable)
	}
	return Parse(raw)
}

// Parse reads settings. The error is *pathreader.Invalid and names every mistake. Unknown fields are ignored.
func Parse(raw []byte) (*Settings, error) {
	document, err := jsondoc.Parse(raw)
	if err != nil {
		return nil, err
	}
	root := document.Root()
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
	return s, document.Err()
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
