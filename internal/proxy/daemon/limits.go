package daemon

import (
	"math"
	"runtime"
	"runtime/debug"
	"syscall"

	"cresshub/internal/proxy/config"
)

// Confine limits the process to its cores, and to a fraction of its memory.
func Confine(l config.Limits, fraction float64) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	if l.Memory > 0 {
		// A quarter is left to what the runtime does not count: the program's text and kernel buffers.
		debug.SetMemoryLimit(int64(float64(l.Memory) * fraction * 0.75))
		debug.SetGCPercent(300) // collecting rarely saves time on a shared core; the limit above binds first
	}
}

// descriptorLimit returns how many file descriptors the process may use: the configured number, or what the
// system allows if that is less.
func descriptorLimit(configured int) int {
	var rlimit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &rlimit); err == nil && rlimit.Cur < math.MaxInt32 {
		if configured <= 0 || int(rlimit.Cur) < configured {
			return int(rlimit.Cur)
		}
	}
	if configured <= 0 {
		return 1024
	}
	return configured
}
