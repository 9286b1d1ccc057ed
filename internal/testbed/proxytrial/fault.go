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
	faultDrain  = "drain" // a server drains and ends
	faultPause  = "pause" // a third of the servers stalls again and again
	faultCrash  = "crash" // a server crashes and comes back in warm-up
	faultWarmUp = "cold"  // servers in warm-up join
	faultMixed  = "mixed" // several others, drawn from the seed, overlap until the time is over
)

// Faults are the names of the faults that a trial can inject.
var Faults = []string{faultDrain, faultPause, faultCrash, faultWarmUp, faultMixed}

const (
	// A fault begins after 1/startDivisor of the time and lasts for 1/lengthDivisor, a pause for a third.
	startDivisor  = 3
	lengthDivisor = 6
	// pauseLength is how long servers stall, and pauseInterval how long after the begin of a stall the next.
	pauseLength   = 300 * time.Millisecond
	pauseInterval = time.Second
	// announceDelay is how long after a crash discovery lists the server as terminated.
	announceDelay = 500 * time.Millisecond
)

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
	if o.Fault == "" || !sleep(ctx, o.Duration/startDivisor) {
		return nil
	}
	switch o.Fault {
	case faultDrain:
		drainServer(ctx, f, o.Duration/lengthDivisor)
	case faultPause:
		pauseServers(ctx, f, o.Duration/3)
	case faultCrash:
		return crashServer(ctx, f, o.Duration/lengthDivisor)
	case faultWarmUp:
		return addWarmingUp(f)
	}
	return nil
}

// drainServer drains the first server and terminates it after the grace and a further delay.
func drainServer(ctx context.Context, f *proxystandin.Fleet, delay time.Duration) {
	victim := f.Names()[0]
	f.Drain(victim)
	if sleep(ctx, delay+proxystandin.DrainGrace) {
		f.Terminate(victim)
	}
}

// pauseServers stalls a third of the servers again and again for a while.
func pauseServers(ctx context.Context, f *proxystandin.Fleet, duration time.Duration) {
	names := f.Names()
	victims := names[:(len(names)+2)/3]
	for end := time.Now().Add(duration); time.Now().Before(end); {
		for _, name := range victims {
			f.Pause(name, pauseLength)
		}
		if !sleep(ctx, pauseInterval) {
			return
		}
	}
}

// crashServer crashes the first server, and restarts it so long after discovery has announced its end.
func crashServer(ctx context.Context, f *proxystandin.Fleet, downTime time.Duration) error {
	announce, restart := f.Crash(f.Names()[0])
	sleep(ctx, announceDelay)
	announce()
	if !sleep(ctx, downTime) {
		return nil
	}
	return restart()
}

// addWarmingUp adds a third as many servers as there are, whose processes have just started.
func addWarmingUp(f *proxystandin.Fleet) error {
	for range max(1, len(f.Names())/3) {
		if _, err := f.Add(time.Now()); err != nil {
			return err
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
