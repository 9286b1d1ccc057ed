package daemon

import (
	"math"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"cresshub/internal/proxy/adminapi"
	"cresshub/internal/proxy/config"
	"cresshub/internal/proxy/discovery"
	"cresshub/internal/proxy/upstream"
)

// memoryWithoutLimit is what bodies are a fraction of where limits.memory is 0.
const memoryWithoutLimit = 64 << 20

// defaultDescriptors is the limit where neither the configuration nor the system sets one.
const defaultDescriptors = 1024

// SetRuntimeLimits sets the Go runtime's limits on cores and memory to a fraction of the process's limits.
func SetRuntimeLimits(l config.Limits, fraction float64) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	if l.Memory > 0 {
		// The runtime doesn't count the program's text and the kernel's buffers, which get the other quarter.
		debug.SetMemoryLimit(int64(float64(l.Memory) * fraction * 0.75))
		debug.SetGCPercent(300) // rare collections save processor time; the limit above binds first
	}
}

// descriptorLimit is how many descriptors the process may hold besides those of the admin API.
func (p *Proxy) descriptorLimit() int {
	n := int(float64(systemDescriptorLimit(p.startConfig.Limits.Descriptors)) * p.handover.limitFraction())
	if p.startConfig.Operator != "" {
		n -= adminapi.MaxConns + 1 // and its listener
	}
	return n
}

// bodyBytes is how many bytes of memory buffered bodies may take.
func (p *Proxy) bodyBytes() int64 {
	memory := float64(p.startConfig.Limits.Memory)
	if memory == 0 {
		memory = memoryWithoutLimit
	}
	return int64(memory * p.startConfig.Limits.BodyFraction * p.handover.limitFraction())
}

// applyLimits sets the limits anew after a predecessor or successor came or went.
func (p *Proxy) applyLimits() {
	SetRuntimeLimits(p.startConfig.Limits, p.handover.limitFraction())
	if p.budget != nil {
		p.budget.Resize(p.descriptorLimit())
		p.bodies.Resize(p.bodyBytes())
	}
}

// systemDescriptorLimit is the configured limit or the system's, whichever is lower. A configured 0 is no
// limit.
func systemDescriptorLimit(configured int) int {
	var rlimit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &rlimit); err == nil && rlimit.Cur < math.MaxInt32 {
		if configured <= 0 || int(rlimit.Cur) < configured {
			return int(rlimit.Cur)
		}
	}
	if configured <= 0 {
		return defaultDescriptors
	}
	return configured
}

// listLimits are discovery's limits by the configuration.
func listLimits(cfg *config.Config) discovery.Limits {
	l := discovery.Limits{WatchTimeout: cfg.Discovery.WatchTimeout, MaxListBytes: int(cfg.Discovery.MaxList)}
	if cfg.Discovery.Mode == config.ModeTold && cfg.Discovery.Address != "" {
		// A drain binds from the moment discovery has it, so it has to arrive well within its grace.
		l.MaxReopenDelay = max(cfg.Drain.Grace/4, 20*time.Millisecond)
	}
	return l
}

// poolLimits are the connection pool's limits by the configuration.
func poolLimits(cfg *config.Config) upstream.Limits {
	dial := cfg.Upstream.DialLimit()
	return upstream.Limits{Dial: dial, MaxIdle: cfg.Upstream.MaxIdle(),
		DuplicateGuard: cfg.Upstream.DuplicateGuard, Probe: dial + cfg.Upstream.ProbeTimeout,
		BufferTime: cfg.Upstream.BufferTime, Stall: cfg.Upstream.StallTimeout}
}
