package routertrial

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cresshub/internal/testbed/routerstandin"
)

const (
	// progressInterval is how often progress is reported.
	progressInterval = 200 * time.Millisecond
	// The configuration changes after 1/changeDivisor of the time, the fault begins after 1/faultDivisor.
	changeDivisor = 6
	faultDivisor  = 3
	// afterFault is how long clients send on after a fault.
	afterFault = 2 * time.Second
	// quietTime is how long nothing is sent before the rules are judged, so that late runs are observed.
	quietTime = 300 * time.Millisecond
	// readBackTimeout bounds the read-back of the configuration.
	readBackTimeout = 10 * time.Second
)

// Progress is a snapshot of a running trial.
type Progress struct {
	Elapsed   time.Duration
	Total     routerstandin.KindTally // of all kinds together
	LastEvent string                  // what was done last
}

// Report is what came of a trial.
type Report struct {
	Seconds float64                     `json:"seconds"`
	Rate    float64                     `json:"rate"`
	Fault   string                      `json:"fault,omitempty"`
	Kinds   []routerstandin.KindTally   `json:"kinds"`
	Servers []routerstandin.ServerTally `json:"servers"`
	Rules   []routerstandin.Verdict     `json:"rules"`
	Events  []string                    `json:"events"`  // what was done, with seconds since the first request
	Reasons []routerstandin.Reason      `json:"reasons"` // why requests were not served
	Notes   []string                    `json:"notes"`
}

// Violations is how many violations of rules there were.
func (r *Report) Violations() int { return routerstandin.CountViolations(r.Rules) }

// Run runs a trial until its time is over or ctx ends; then it returns what was measured so far with ctx's
// error. Nothing is left behind: no process, no socket, no file.
func Run(ctx context.Context, options Options) (*Report, error) {
	fleet, err := StartFleet(ctx, options)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	return fleet.Run(ctx)
}

// Run has clients send for the duration of the options, while the configuration changes and the fault is
// injected.
func (f *Fleet) Run(ctx context.Context) (*Report, error) {
	f.startClock()
	load := f.NewLoad()
	progressCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if f.options.OnProgress != nil {
		f.background.Go(func() { f.reportProgress(progressCtx, load) })
	}
	stopLoad := make(chan struct{})
	scriptDone := make(chan error, 1)
	go func() {
		defer close(stopLoad)
		scriptDone <- f.runScript(ctx)
	}()
	load.Run(ctx, stopLoad)
	err := <-scriptDone
	if err == nil && routerstandin.Sleep(ctx, quietTime) {
		bounded, cancel := context.WithTimeout(ctx, readBackTimeout)
		defer cancel()
		err = f.Operator.ReadBack(bounded)
	}
	return f.report(load), errors.Join(ctx.Err(), err)
}

// runScript changes the configuration, injects the fault, and returns when the clients may stop.
func (f *Fleet) runScript(ctx context.Context) error {
	until := time.Now().Add(f.options.Duration)
	changed := make(chan error, 1)
	go func() {
		if !routerstandin.Sleep(ctx, f.options.Duration/changeDivisor) {
			changed <- nil
			return
		}
		changed <- f.ChangeConfig(ctx)
	}()
	var faultErr error
	if f.options.Fault != "" && routerstandin.Sleep(ctx, f.options.Duration/faultDivisor) {
		if faultErr = f.InjectFault(ctx, f.options.Fault); faultErr == nil {
			routerstandin.Sleep(ctx, afterFault)
		}
	}
	err := errors.Join(<-changed, faultErr)
	if err == nil {
		routerstandin.Sleep(ctx, time.Until(until))
	}
	return err
}

func (f *Fleet) reportProgress(ctx context.Context, load *routerstandin.Load) {
	for routerstandin.Sleep(ctx, progressInterval) {
		f.options.OnProgress(Progress{Elapsed: f.elapsed(), Total: load.Tally().Total(), LastEvent: f.lastEvent()})
	}
}

func (f *Fleet) report(load *routerstandin.Load) *Report {
	return &Report{
		Seconds: f.elapsed().Seconds(), Rate: f.options.Rate, Fault: f.options.Fault,
		Kinds: load.Tally().Kinds(), Servers: f.ServerTallies(), Rules: f.Observations.Judge(),
		Events: f.Events(), Notes: f.Notes(), Reasons: load.Tally().Reasons(),
	}
}

// startClock records that clients begin to send.
func (f *Fleet) startClock() {
	f.eventsMu.Lock()
	defer f.eventsMu.Unlock()
	f.startedAt = time.Now()
}

// elapsed is the time since clients began to send, 0 before.
func (f *Fleet) elapsed() time.Duration {
	f.eventsMu.Lock()
	defer f.eventsMu.Unlock()
	if f.startedAt.IsZero() {
		return 0
	}
	return time.Since(f.startedAt)
}

// logEvent records an event of the trial, with the time since clients began to send.
func (f *Fleet) logEvent(format string, args ...any) {
	line := fmt.Sprintf("%6.2f s  ", f.elapsed().Seconds()) + fmt.Sprintf(format, args...)
	f.eventsMu.Lock()
	defer f.eventsMu.Unlock()
	f.events = append(f.events, line)
}

// Events returns what was done so far.
func (f *Fleet) Events() []string {
	f.eventsMu.Lock()
	defer f.eventsMu.Unlock()
	return append([]string{}, f.events...)
}

func (f *Fleet) lastEvent() string {
	f.eventsMu.Lock()
	defer f.eventsMu.Unlock()
	if len(f.events) == 0 {
		return ""
	}
	return f.events[len(f.events)-1]
}
