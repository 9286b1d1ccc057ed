package routertrial

import (
	"encoding/json"
	"time"

	"cresshub/internal/router/agentsettings"
	"cresshub/internal/testbed/routerstandin"
)

// heartbeatInterval is the time between heartbeats of servers.
const heartbeatInterval = 600 * time.Millisecond

// bounds are the limits of the rules in a trial. They are those of the deployments, except for the time after
// a fault until the rules apply again (Touch), which is shorter so that more of a short trial is judged.
var bounds = routerstandin.Bounds{
	Bounds: agentsettings.Bounds{
		Touch: 1500 * time.Millisecond, Ack: 4 * time.Second, Drain: 2 * time.Second, Grace: 8 * time.Second,
		Lost: 200 * time.Millisecond, Config: 2 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second,
		RetrySlack: 60, Fenced: true, Lease: 3 * time.Second,
	},
	Rollback: 250 * time.Millisecond, Recovery: 6 * time.Second,
}

// settingsFile returns the settings file of a machine as the platform writes it. It repeats the names of the
// operators' pages on purpose instead of encoding the types of agentsettings.
func (m *Machine) settingsFile(firstStart bool) ([]byte, error) {
	f := m.fleet
	districts := map[string]string{}
	for _, zone := range zones {
		districts[zone] = region
	}
	settings := map[string]any{
		"office": m.Name, "role": "router", "vehicle": "front", "serves": []string{"front", "control"},
		"ip": m.IP, "district": m.Zone, "region": region, "districts": districts,
		"counters":    map[string]string{"front": m.Front, "ready": m.Ready, "control": m.Control},
		"inner_ports": []int{f.network.port + innerOffset, f.network.port + innerOffset + innerPorts - 1},
		"seeds":       f.seeds(), "first_start": firstStart, "counted": m.HasDisk, "discovery": "register",
		"entry": "vip", "beat_ms": heartbeatInterval.Milliseconds(),
		"size_limits": map[string]any{"cpu_share": 0.72, "cores": 1, "memory_mb": 244, "fds": 4100,
			"link_mbps": 1000, "disk_mb": 64},
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine"},
		"tolerate":  map[string]int{"machines": f.options.shape().tolerated, "districts": 0, "regions": 0},
		"bounds":    boundsSection(),
	}
	if m.HasDisk {
		settings["data_dir"] = m.dataDir()
	}
	return json.Marshal(settings)
}

func boundsSection() map[string]any {
	return map[string]any{
		"seed_lag_s": 3, "reuse_after_s": 2, "touch_ms": bounds.Touch.Milliseconds(),
		"ack_ms": bounds.Ack.Milliseconds(), "catch_up_s": catchUp.Seconds(),
		"drain_ms": bounds.Drain.Milliseconds(), "grace_s": bounds.Grace.Seconds(),
		"lost_ms": bounds.Lost.Milliseconds(), "config_ms": bounds.Config.Milliseconds(),
		"back_ms": bounds.Rollback.Milliseconds(), "outer_ms": 5000, "retry_ratio": bounds.RetryRatio,
		"retry_window_s": bounds.RetryWindow.Seconds(), "retry_slack": bounds.RetrySlack,
		"recover_s": bounds.Recovery.Seconds(), "transit_ms": 120, "again_s": 0, "fenced": bounds.Fenced,
		"lease_ms": bounds.Lease.Milliseconds(), "thaw_ms": 300,
	}
}
