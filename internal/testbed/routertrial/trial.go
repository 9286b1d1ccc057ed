// Package routertrial tries the router fleet on loopback: real processes of the program, each with a loopback
// IP of its own, between stand-ins for servers, operator, platform and clients, with a trouble in the middle
// if wanted. What becomes of the requests is counted, and so are breaks of the rules.
package routertrial

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"cresshub/internal/testbed/routerstandin"
)

const (
	// liveInterval is how often progress is told.
	liveInterval = 200 * time.Millisecond
	// changePart and troublePart of the time are when the configuration changes and when the trouble begins.
	changePart  = 6
	troublePart = 3
	// afterTrouble is how long clients send on after a trouble.
	afterTrouble = 2 * time.Second
	// settleTime is how long nothing is sent until the rules are judged, so that late runs are seen.
	settleTime = 300 * time.Millisecond
	// readBackTime bounds the reading back of the configuration.
	readBackTime = 10 * time.Second
)

// Progress is how far a trial is.
type Progress struct {
	Elapsed time.Duration
	Total   routerstandin.KindTally // of all kinds together
	Last    string                  // what was done last
}

// Report is what came of a trial.
type Report struct {
	Seconds float64                     `json:"seconds"`
	Rate    float64                     `json:"rate"`
	Trouble string                      `json:"trouble,omitempty"`
	Kinds   []routerstandin.KindTally   `json:"kinds"`
	Servers []routerstandin.ServerTally `json:"servers"`
	Rules   []routerstandin.Verdict     `json:"rules"`
	Events  []string                    `json:"events"`  // what was done, with seconds since the first request
	Reasons []routerstandin.Reason      `json:"reasons"` // why requests were not served
	Notes   []string                    `json:"notes"`
}

// Broken is how many breaks of rules there were.
func (r *Report) Broken() int {
	sum := 0
	for _, rule := range r.Rules {
		sum += rule.Breaks
	}
	return sum
}

// Run tries the fleet until the time is over or ctx ends; then what was measured so far is reported with
// ctx's error. Nothing is left behind: no process, no socket, no file.
func Run(ctx context.Context, options Options) (*Report, error) {
	fleet, err := StartFleet(ctx, options)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	return fleet.Play(ctx)
}

// Play has clients send for the time that the options name, while the configuration changes and the trouble
// is played.
func (f *Fleet) Play(ctx context.Context) (*Report, error) {
	f.begin()
	load := f.NewLoad()
	over, cancel := context.WithCancel(ctx)
	defer cancel()
	if f.options.Live != nil {
		f.beside.Go(func() { f.tellProgress(over, load) })
	}
	sending := make(chan struct{})
	played := make(chan error, 1)
	go func() {
		defer close(sending)
		played <- f.playScript(ctx)
	}()
	load.Run(ctx, sending)
	problem := <-played
	if problem == nil && sleepFor(ctx, settleTime) {
		bounded, cancel := context.WithTimeout(ctx, readBackTime)
		defer cancel()
		problem = f.Operator.ReadBack(bounded)
	}
	return f.report(load), errors.Join(ctx.Err(), problem)
}

// playScript changes the configuration, plays the trouble, and returns when the clients may stop.
func (f *Fleet) playScript(ctx context.Context) error {
	until := time.Now().Add(f.options.For)
	changed := make(chan error, 1)
	go func() {
		if !sleepFor(ctx, f.options.For/changePart) {
			changed <- nil
			return
		}
		changed <- f.Change(ctx)
	}()
	var troubled error
	if f.options.Trouble != "" && sleepFor(ctx, f.options.For/troublePart) {
		if troubled = f.Trouble(ctx, f.options.Trouble); troubled == nil {
			sleepFor(ctx, afterTrouble)
		}
	}
	problem := errors.Join(<-changed, troubled)
	if problem == nil {
		sleepFor(ctx, time.Until(until))
	}
	return problem
}

func (f *Fleet) tellProgress(ctx context.Context, load *routerstandin.Load) {
	for sleepFor(ctx, liveInterval) {
		f.options.Live(Progress{Elapsed: f.elapsed(), Total: load.Tally().Total(), Last: f.lastEvent()})
	}
}

func (f *Fleet) report(load *routerstandin.Load) *Report {
	return &Report{
		Seconds: f.elapsed().Seconds(), Rate: f.options.Rate, Trouble: f.options.Trouble,
		Kinds: load.Tally().Kinds(), Servers: f.ServerTallies(), Rules: f.Observations.Judge(),
		Events: f.Events(), Notes: f.Notes(), Reasons: load.Tally().Reasons(),
	}
}

// begin notes that clients begin to send.
func (f *Fleet) begin() {
	f.eventsMu.Lock()
	defer f.eventsMu.Unlock()
	f.began = time.Now()
}

// elapsed is the time since clients began to send, 0 before.
func (f *Fleet) elapsed() time.Duration {
	f.eventsMu.Lock()
	defer f.eventsMu.Unlock()
	if f.began.IsZero() {
		return 0
	}
	return time.Since(f.began)
}

// event notes something that the trial does.
func (f *Fleet) event(format string, args ...any) {
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

// hostOf returns the IP of an address.
func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}
