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
	// memoryWithoutLimit, in bytes, is what buffered bodies are a fraction of where limits.memory is 0.
	memoryWithoutLimit = 64 << 20
	// defaultDescriptors is the limit where neither the configuration nor the system sets one.
	defaultDescriptors = 1024
	// runtimeMemoryFraction of the process's memory is the limit of the Go runtime, which doesn't count the
	// program's text and the kernel's buffers.
	runtimeMemoryFraction = 0.75
	// gcPercent makes collections rare, to save processor time; the limit of memory has precedence.
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

// descriptorLimit is how many descriptors the process may hold besides those of the admin API.
func (p *Proxy) descriptorLimit() int {
	n := int(float64(systemDescriptorLimit(p.startConfig.Limits.Descriptors)) * p.handover.limitFraction())
	if p.startConfig.Operator != "" {
		n -= adminapi.MaxConns + 1 // the one is for the listener
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

// applyLimits sets the limits again after a predecessor or successor has come or exited.
func (p *Proxy) applyLimits() {
	SetRuntimeLimits(p.startConfig.Limits, p.handover.limitFraction())
	if p.budget != nil {
		p.budget.Resize(p.descriptorLimit())
		p.bodies.Resize(p.bodyBytes())
	}
}

// systemDescriptorLimit is the configured limit or the system's, whichever is lower. 0 is no configured
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
		// A drain counts from the moment discovery has it, so it has to arrive well within drain.grace.
		l.MaxReopenDelay = max(cfg.Drain.Grace/4, minReopenDelay)
	}
	return l
}

// poolLimits are the connection pool's limits by the configuration.
func poolLimits(cfg *config.Config) upstream.Limits {
	dial := cfg.Upstream.DialLimit()
	return upstream.Limits{DialTimeout: dial, MaxIdle: cfg.Upstream.MaxIdle(),
		DuplicateGuard: cfg.Upstream.DuplicateGuard, ProbeTimeout: dial + cfg.Upstream.ProbeTimeout,
		BufferTime: cfg.Upstream.BufferTime, StallTimeout: cfg.Upstream.StallTimeout}
}
