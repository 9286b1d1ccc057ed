package proxytrial

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"cresshub/internal/testbed/proxystandin"
)

// The names of the faults, as users write them.
const (
	drain = "drain"
	pause = "pause"
	crash = "crash"
	cold  = "cold"  // servers in warm-up join
	mixed = "mixed" // several others, drawn from the seed, overlap until the time is over
)

// Faults are the names of the faults that a trial can inject.
var Faults = []string{drain, pause, crash, cold, mixed}

// CheckFault returns an error unless word is empty or names a fault.
func CheckFault(word string) error {
	if word != "" && !slices.Contains(Faults, word) {
		return fmt.Errorf("--trouble %q is none of %s", word, strings.Join(Faults, ", "))
	}
	return nil
}

// injectFault injects o.Fault in the middle third of the time. It returns when the fault is over or ctx ends;
// an error is one of the stand-ins.
func injectFault(ctx context.Context, f *proxystandin.Fleet, o Options) error {
	if o.Fault == "" || !sleep(ctx, o.Duration/3) {
		return nil
	}
	names := f.Names()
	victim := names[0]
	switch o.Fault {
	case drain:
		f.Drain(victim)
		if sleep(ctx, o.Duration/6+proxystandin.DrainGrace) {
			f.Terminate(victim)
		}
	case pause:
		for end := time.Now().Add(o.Duration / 3); time.Now().Before(end); {
			for _, n := range names[:(len(names)+2)/3] {
				f.Pause(n, 300*time.Millisecond)
			}
			if !sleep(ctx, time.Second) {
				return nil
			}
		}
	case crash:
		announce, restart := f.Crash(victim)
		sleep(ctx, 500*time.Millisecond)
		announce()
		if sleep(ctx, o.Duration/6) {
			return restart()
		}
	case cold:
		for range max(1, len(names)/3) {
			if _, err := f.Add(time.Now()); err != nil {
				return err
			}
		}
	}
	return nil
}

// sleep returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
