package clusterrig

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cresshub/internal/cluster/gossip"
	"cresshub/internal/testbed/faultnet"
)

// convergenceTimeout bounds how long the members may take to see each other after the start.
const convergenceTimeout = 60 * time.Second

// player plays one scenario on a rig: one goroutine plays the steps, another one samples the views and owns
// lastViews and the report's samples.
type player struct {
	*Rig
	scenario *Scenario
	report   *Report
	touched  []string // names of the members that a step acts on
	start    time.Time

	lastViews map[string]map[string]string // by observer, the status of each member

	mu     sync.Mutex // guards events and report.stepStarts
	events *json.Encoder
}

// Play starts the members, plays the scenario and returns its report. Steps and changed views are recorded to
// rec, which may be nil, as JSON lines. An error is one of the rig itself; expectations that failed are
// counted in the report.
func Play(ctx context.Context, sc *Scenario, o Options, rec io.Writer) (_ *Report, err error) {
	o.Members, o.Halls, o.Seeds = sc.Members, sc.Halls, sc.Seeds
	o.FleetTOML, o.Relay = sc.Fleet.toml(), sc.needsRelay()
	r, err := Start(ctx, o)
	if err != nil {
		return nil, err
	}
	defer func() {
		if cerr := r.Close(); err == nil {
			err = cerr
		}
	}()
	p := &player{Rig: r, scenario: sc, lastViews: map[string]map[string]string{},
		report: &Report{Scenario: sc.Name, Members: sc.Members, Settings: sc.Fleet}}
	if rec != nil {
		p.events = json.NewEncoder(rec)
	}
	for _, s := range sc.Steps {
		p.touched = append(p.touched, sc.expand(s.Who)...)
		p.report.Steps = append(p.report.Steps, StepReport{Step: s.String(), Expect: s.Expect,
			latencies: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)})
	}
	joined, err := r.WaitConverged(ctx, convergenceTimeout)
	if err != nil {
		return nil, fmt.Errorf("at the start: %w", err)
	}
	p.report.JoinedMS = milliseconds(joined)
	if err := sleep(ctx, sc.Warmup); err != nil {
		return nil, err
	}
	return p.report, p.playAll(ctx)
}

// playAll plays all repetitions while it samples the views, and completes the report.
func (p *player) playAll(ctx context.Context) (err error) {
	p.start = time.Now()
	before := FetchViews(p.Members)
	sampling, stop := context.WithCancel(ctx)
	var sampler sync.WaitGroup
	sampler.Go(func() { p.sampleAll(sampling) })
	for range p.scenario.Repeat {
		if err = p.playRepetition(ctx); err != nil {
			break
		}
	}
	stop()
	sampler.Wait()
	p.report.Seconds = time.Since(p.start).Seconds()
	p.summarizeTraffic(before, FetchViews(p.Running()))
	p.summarizeSteps()
	return err
}

// playRepetition plays all steps once.
func (p *player) playRepetition(ctx context.Context) error {
	started := time.Now()
	wait := func(d time.Duration) error { return sleep(ctx, d-time.Since(started)) }
	for i := range p.scenario.Steps {
		step := &p.scenario.Steps[i]
		if err := wait(step.At); err != nil {
			return err
		}
		if err := p.playStep(ctx, step, &p.report.Steps[i]); err != nil {
			return err
		}
	}
	return wait(p.scenario.MinRepetition)
}

// playStep does one step and waits until its expectation holds, or fails.
func (p *player) playStep(ctx context.Context, step *Step, result *StepReport) error {
	p.record(event{MS: time.Since(p.start).Milliseconds(), Step: step.String()})
	var members []*Member
	for _, name := range p.scenario.expand(step.Who) {
		members = append(members, p.Member(name))
	}
	var took time.Duration
	var missed error
	await := func() { took, missed = p.expect(ctx, step) }
	if err := p.act(ctx, step, members, await); err != nil {
		return fmt.Errorf("%s: %w", step.String(), err)
	}
	if step.Do != actionTerm {
		await()
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	result.Times++
	done := event{MS: time.Since(p.start).Milliseconds(), Step: step.String() + ": done"}
	if step.Expect != expectNone {
		_ = result.latencies.RecordValue(took.Microseconds()) // an hour, the longest Within, is in its range
		tookMS := took.Milliseconds()
		done.Took = &tookMS
	}
	if missed != nil {
		result.Failed++
		result.LastFailure = missed.Error()
		done.Error = missed.Error()
	}
	p.record(done)
	return nil
}

// act does what a step says. A SIGTERM calls onSignalled while the process ends.
func (p *player) act(ctx context.Context, step *Step, members []*Member, onSignalled func()) error {
	switch step.Do {
	case actionKill:
		p.Kill(members...)
	case actionRestart:
		return p.forEach(members, func(m *Member) error { return p.Spawn(ctx, m, Unchanged) })
	case actionMove:
		return p.forEach(members, func(m *Member) error { return p.Spawn(ctx, m, NewAddress) })
	case actionWipe:
		return p.forEach(members, func(m *Member) error { return p.Spawn(ctx, m, EmptyDisk) })
	case actionPartition:
		side := p.scenario.expand(step.Who)
		others := slices.DeleteFunc(p.scenario.memberNames(),
			func(n string) bool { return slices.Contains(side, n) })
		p.Net.Partition(side, others)
	case actionLink:
		fault := faultnet.Fault{Blocked: step.Blocked, Drop: step.Drop, Delay: step.Delay, Jitter: step.Jitter}
		for _, from := range p.scenario.expand(step.Who) {
			for _, to := range p.scenario.expand(step.To) {
				p.Net.Set(from, to, fault)
				if step.Both {
					p.Net.Set(to, from, fault)
				}
			}
		}
	case actionHeal:
		if p.Net != nil {
			p.Net.Heal()
		}
	case actionTerm:
		return p.forEach(members, func(m *Member) error { return p.Term(m, onSignalled) })
	case actionPause:
		return p.forEach(members, p.Pause)
	case actionResume:
		return p.forEach(members, p.Resume)
	case actionDrain, actionServe:
		return p.forEach(members, func(m *Member) error { return m.Drain(step.Do == actionDrain) })
	}
	return nil
}

// forEach calls do for members in turn, up to the first error.
func (p *player) forEach(members []*Member, do func(*Member) error) error {
	for _, m := range members {
		if err := do(m); err != nil {
			return err
		}
	}
	return nil
}

// expect waits for what a step expects, and returns how long that took.
func (p *player) expect(ctx context.Context, step *Step) (time.Duration, error) {
	up := p.Running()
	who := p.scenario.expand(step.Who)
	switch step.Expect {
	case expectNone:
		return 0, nil
	case expectOne:
		return WaitViews(ctx, up, step.Within, OnlyAlive(MemberNames(up)...))
	case expectSides:
		var side, other []*Member
		for _, m := range up {
			if slices.Contains(who, m.Name) {
				side = append(side, m)
			} else {
				other = append(other, m)
			}
		}
		first, err := WaitViews(ctx, side, step.Within, OnlyAlive(MemberNames(side)...))
		if err != nil {
			return first, err
		}
		second, err := WaitViews(ctx, other, step.Within, OnlyAlive(MemberNames(other)...))
		return first + second, err
	}
	return WaitViews(ctx, up, step.Within, StatusIs(step.Expect, who...))
}

// sampleAll samples all views at intervals until ctx ends.
func (p *player) sampleAll(ctx context.Context) {
	tick := time.NewTicker(p.scenario.SampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			at := time.Since(p.start)
			for observer, view := range FetchViews(p.Running()) {
				p.sample(at, observer, view)
			}
		}
	}
}

// sample adds a view to the report, and to the record if it has changed.
func (p *player) sample(at time.Duration, observer string, view gossip.Page) {
	statuses := map[string]string{}
	alive := 0
	for _, m := range view.Members {
		statuses[m.Name] = m.Status
		if m.Status == "alive" || m.Status == "suspect" {
			alive++
		}
		if m.Status == "dead" && !slices.Contains(p.touched, m.Name) {
			p.report.FalseDeaths++
		}
	}
	p.report.Views++
	p.report.samples = append(p.report.samples, sample{at, observer, alive})
	if !maps.Equal(statuses, p.lastViews[observer]) {
		p.lastViews[observer] = statuses
		p.record(event{MS: at.Milliseconds(), Observer: observer, View: statuses})
	}
}

// record writes an event to the record.
func (p *player) record(e event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.Step != "" && e.Took == nil && e.Error == "" {
		p.report.stepStarts = append(p.report.stepStarts, stepStart{time.Duration(e.MS) * time.Millisecond, e.Step})
	}
	if p.events != nil {
		_ = p.events.Encode(e) // an incomplete record doesn't end the scenario
	}
}

// summarizeTraffic fills in the suspicions, and the traffic of members that no step acted on, between two
// moments.
func (p *player) summarizeTraffic(before, after Views) {
	r := p.report
	for name, later := range after {
		r.Suspicions += later.Counters.Suspicions
		r.Refutations += later.Counters.Refutations
		earlier, ok := before[name]
		if !ok || slices.Contains(p.touched, name) {
			continue
		}
		r.MeasuredMembers++
		r.BytesPerSecond += float64(later.Counters.BytesOut - earlier.Counters.BytesOut)
		packets := later.Counters.PacketsOut - earlier.Counters.PacketsOut
		streams := later.Counters.StreamsOut - earlier.Counters.StreamsOut
		r.PacketsPerSecond += float64(packets + streams)
	}
	if r.MeasuredMembers > 0 {
		r.BytesPerSecond /= float64(r.MeasuredMembers) * r.Seconds
		r.PacketsPerSecond /= float64(r.MeasuredMembers) * r.Seconds
	}
}

// summarizeSteps fills in the steps' latencies and the number of failures.
func (p *player) summarizeSteps() {
	for i := range p.report.Steps {
		s := &p.report.Steps[i]
		s.Median = float64(s.latencies.ValueAtQuantile(50)) / 1000
		s.Worst = float64(s.latencies.Max()) / 1000
		p.report.Failures += s.Failed
	}
	if p.scenario.HealthyNeverDead {
		p.report.Failures += p.report.FalseDeaths
	}
}

// milliseconds returns a duration in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
