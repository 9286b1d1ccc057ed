// Package proxytrial tries the proxy end to end on loopback (`cresshub try`): the program itself as a child
// process between stand-ins for discovery and zone servers (package proxystandin), under an open-loop load,
// with a fault injected in the middle if wanted (`cresshub try --trouble crash`). Run is one trial; the same
// seed gives the same requests and draws the same faults.
//
// Client and servers count outcomes independently, and violations of the rules with them:
//
//   - OneAnswer: the client got no answer in time, another request's, or one more;
//   - NeverTwice: the servers together ran an unsafe request more than once;
//   - DrainObeyed: a server got a request too long after a proxy had learned of its drain;
//   - WarmUpObeyed: a server in warm-up got so much load that it stopped taking requests.
//
// Report.Rules has the number of violations of each, Report.Servers what each server counted; the log of the
// proxy, with Options.Log (--log), shows what it did. An error of Run says that the trial itself failed or
// that the proxy ended badly.
package proxytrial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"cresshub/internal/childprocess"
	"cresshub/internal/testbed/proxystandin"
)

// Options describe one trial.
type Options struct {
	Program    string        // path of the proxy's binary
	Duration   time.Duration // how long the load lasts
	Servers    int
	Rate       float64 // requests a second; 0 is LoadFactor times the servers' capacity
	LoadFactor float64 // fraction of the servers' capacity that the load takes
	Fault      string  // "", or one of Faults
	Seed       uint64
	Set        []string  // KEY=VALUE of the proxy's configuration, overriding the trial's
	Log        io.Writer // the proxy's log, if wanted
	// Progress is called a few times a second while the load lasts, if it is set.
	Progress func(done time.Duration, t proxystandin.Totals)
}

// stopTimeout bounds how long the proxy may take to stop: it drains clients up to the longest deadline.
const stopTimeout = 10 * time.Second

// readyTimeout bounds how long the proxy may take until it is ready.
const readyTimeout = 10 * time.Second

// Run tries the proxy until the time is over or ctx ends; then it returns the report of what was measured so
// far with ctx's error. It leaves no process, socket or file behind.
func Run(ctx context.Context, o Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "cresshub-try-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // what stays of a temporary folder is no result of the trial
	fleet, err := proxystandin.StartFleet(proxystandin.FleetOptions{
		Servers: o.Servers, Halls: halls, Work: meanClassWork, HalfSpeedFraction: 0.4, MaxQueued: 16,
		WarmUp: warmUp, Seed: o.Seed,
	})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	if o.Rate <= 0 {
		o.Rate = o.LoadFactor * fleet.Capacity(o.Servers) / meanRequestWork().Seconds()
	}
	t := &trial{Options: o, fleet: fleet, file: filepath.Join(dir, "cresshub.toml")}
	if err := os.WriteFile(t.file, []byte(configuration(fleet.Discovery.Address(), o)), 0o600); err != nil {
		return nil, err
	}
	defer func() { _ = t.stop() }() // stops a proxy after an earlier error, which is the one to report
	if err := t.start(ctx); err != nil {
		if ctx.Err() == nil {
			return nil, err
		}
		// Interrupted before anything was sent.
		return newReport(fleet, proxystandin.NewTally().Totals(), o, 0), ctx.Err()
	}
	return t.run(ctx)
}

// trial is one run of the proxy between the stand-ins.
type trial struct {
	Options
	fleet *proxystandin.Fleet
	file  string // the proxy's configuration
	proxy *childprocess.Process
}

// start starts the proxy and waits until it is ready.
func (t *trial) start(ctx context.Context) (err error) {
	if t.proxy, err = childprocess.Start(ctx, t.Program, t.file, t.Set, t.Log); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := proxystandin.AwaitReady(ctx, t.proxy.Field("listen")); err != nil {
		return fmt.Errorf("%w\n%s", err, t.proxy.Tail())
	}
	return nil
}

// stop stops the proxy, unless it has been stopped or never started.
func (t *trial) stop() error {
	p := t.proxy
	if p == nil {
		return nil
	}
	t.proxy = nil
	return p.Stop(stopTimeout)
}

// run sends the load, injects the fault meanwhile and stops the proxy.
func (t *trial) run(ctx context.Context) (*Report, error) {
	load := proxystandin.NewLoad(proxystandin.LoadOptions{
		Address: t.proxy.Field("listen"), Rate: t.Rate, Classes: classes, Tenants: tenants, Keys: 300,
		Seed: t.Seed, MaxConnections: 2000,
	})
	started := time.Now()
	loadCtx, cancel := context.WithTimeout(ctx, t.Duration)
	defer cancel()
	proxy, faultDone := t.proxy, make(chan error, 1)
	go func() {
		if t.Fault == faultMixed {
			faultDone <- injectMixed(loadCtx, t.fleet, proxy, t.file, t.Seed)
			return
		}
		faultDone <- injectFault(loadCtx, t.fleet, t.Options)
	}()
	go reportProgress(loadCtx, started, load.Tally(), t.Progress)
	load.Run(loadCtx)
	seconds := min(time.Since(started), t.Duration).Seconds()
	err := errors.Join(ctx.Err(), <-faultDone, t.stop())
	return newReport(t.fleet, load.Tally().Totals(), t.Options, seconds), err
}

// progressInterval is how often progress is reported.
const progressInterval = 200 * time.Millisecond

// reportProgress calls show until ctx ends; show may be nil.
func reportProgress(ctx context.Context, started time.Time, tally *proxystandin.Tally,
	show func(time.Duration, proxystandin.Totals)) {
	if show == nil {
		return
	}
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			show(time.Since(started), tally.Totals())
		}
	}
}
