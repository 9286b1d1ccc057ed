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

const (
	// memoryWithoutLimit, in bytes, replaces limits.memory, where that is 0, in the limit on buffered bodies.
	memoryWithoutLimit = 64 << 20
	// defaultDescriptorLimit is the limit where neither the configuration nor the system sets one.
	defaultDescriptorLimit = 1024
	// runtimeMemoryFraction is the Go runtime's memory limit as a fraction of the process's. The runtime doesn't
	// count the program's code and the kernel's buffers.
	runtimeMemoryFraction = 0.75
	// gcPercent makes garbage collections rare to save CPU time; the memory limit takes precedence.
	gcPercent = 300
	// minReopenDelay is the shortest bound on the delay before an ended watch of discovery is opened again.
	minReopenDelay = 20 * time.Millisecond
)

// SetRuntimeLimits sets the Go runtime's limits on cores and memory to a fraction of the process's limits.
func SetRuntimeLimits(l config.Limits, fraction float64) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	if l.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(l.Memory) * fraction * runtimeMemoryFraction))
		debug.SetGCPercent(gcPercent)
	}
}

// descriptorLimit returns how many descriptors the process may hold besides those of the admin API.
func (p *Proxy) descriptorLimit() int {
	n := int(float64(processDescriptorLimit(p.startConfig.Limits.Descriptors)) * p.handover.limitFraction())
	if p.startConfig.Operator != "" {
		n -= adminapi.MaxConns + 1 // MaxConns connections and the listener
	}
	return n
}

// bodyBytes returns how many bytes of memory buffered bodies may take.
func (p *Proxy) bodyBytes() int64 {
	memory := float64(p.startConfig.Limits.Memory)
	if memory == 0 {
		memory = memoryWithoutLimit
	}
	return int64(memory * p.startConfig.Limits.BodyFraction * p.handover.limitFraction())
}

// applyLimits sets the limits again after a predecessor or successor has joined or exited.
func (p *Proxy) applyLimits() {
	SetRuntimeLimits(p.startConfig.Limits, p.handover.limitFraction())
	if p.budget != nil {
		p.budget.Resize(p.descriptorLimit())
		p.bodies.Resize(p.bodyBytes())
	}
}

// processDescriptorLimit returns the configured limit or the system's, whichever is lower. A configured limit
// of 0 means none.
func processDescriptorLimit(configured int) int {
	var rlimit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &rlimit); err == nil && rlimit.Cur < math.MaxInt32 {
		if configured <= 0 || int(rlimit.Cur) < configured {
			return int(rlimit.Cur)
		}
	}
	if configured <= 0 {
		return defaultDescriptorLimit
	}
	return configured
}

// listLimits returns the configured limits of discovery.
func listLimits(cfg *config.Config) discovery.Limits {
	l := discovery.Limits{WatchTimeout: cfg.Discovery.WatchTimeout, MaxListBytes: int(cfg.Discovery.MaxList)}
	if cfg.Discovery.Mode == config.ModeTold && cfg.Discovery.Address != "" {
		// drain.grace counts from the moment discovery has the drain, so it has to arrive well within that time.
		l.MaxReopenDelay = max(cfg.Drain.Grace/4, minReopenDelay)
	}
	return l
}

// poolLimits returns the configured limits of the connection pool.
func poolLimits(cfg *config.Config) upstream.Limits {
	dial := cfg.Upstream.DialLimit()
	return upstream.Limits{DialTimeout: dial, MaxIdle: cfg.Upstream.MaxIdle(),
		DuplicateGuard: cfg.Upstream.DuplicateGuard, ProbeTimeout: dial + cfg.Upstream.ProbeTimeout,
		BufferTime: cfg.Upstream.BufferTime, StallTimeout: cfg.Upstream.StallTimeout}
}
