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

// convergenceTimeout bounds how long the members may take to see each other at the start.
const convergenceTimeout = 60 * time.Second

// StepReport is what came of one step over all rounds. Times are in milliseconds.
type StepReport struct {
	Step        string  `json:"step"`
	Expect      string  `json:"expect,omitempty"`
	Times       int     `json:"times"`
	Failed      int     `json:"failed"`
	Median      float64 `json:"median_ms"`
	Worst       float64 `json:"worst_ms"`
	LastFailure string  `json:"last_failure,omitempty"`

	latencies *hdrhistogram.Histogram // us
}

// Report is what came of a scenario.
type Report struct {
	Scenario         string        `json:"scenario"`
	Members          int           `json:"members"`
	Settings         FleetSettings `json:"settings"`
	Seconds          float64       `json:"seconds"`
	JoinedMS         float64       `json:"joined_ms"` // one view everywhere after the start
	Steps            []StepReport  `json:"steps"`
	FalseDeaths      int           `json:"false_deaths"` // looks that held a member dead which no step names
	Views            int           `json:"looks"`        // views looked at for the record
	Suspicions       int           `json:"suspicions"`
	Refutations      int           `json:"refutations"`
	BytesPerSecond   float64       `json:"bytes_per_member_second"`   // sent
	PacketsPerSecond float64       `json:"packets_per_member_second"` // sent, and streams opened
	Failures         int           `json:"failures"`
	MeasuredMembers  int           `json:"members_measured"` // that lived through all of it, for the two above
	samples          []sample
	stepStarts       []stepStart
}

// sample is how many members a view holds alive at a time.
type sample struct {
	at    time.Duration
	by    string
	alive int
}

type stepStart struct {
	at   time.Duration
	step string
}

// event is one line of the record.
type event struct {
	MS    int64             `json:"ms"`
	By    string            `json:"by,omitempty"`
	Sees  map[string]string `json:"sees,omitempty"`
	Step  string            `json:"step,omitempty"`
	Took  *int64            `json:"took_ms,omitempty"`
	Error string            `json:"error,omitempty"`
}

// player plays one scenario.
type player struct {
	*Rig
	scenario *Scenario
	report   *Report
	touched  []string // members that a step names
	start    time.Time

	mu        sync.Mutex // of the record, the report's samples and the last views
	events    *json.Encoder
	lastViews map[string]map[string]string
}

// Play starts the members, plays the scenario and returns what came of it. The record goes to rec as JSON
// lines, if there is one. An error is one of the rig itself; what the scenario expects and does not find is
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
	p.report.JoinedMS = ms(joined)
	select {
	case <-time.After(sc.Warmup):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	p.start = time.Now()
	before := FetchViews(r.Members)
	sampling, stop := context.WithCancel(ctx)
	sampled := make(chan struct{})
	go func() { defer close(sampled); p.sampleAll(sampling) }()
	for range sc.Repeat {
		if err = p.playRound(ctx); err != nil {
			break
		}
	}
	stop()
	<-sampled
	p.report.Seconds = time.Since(p.start).Seconds()
	p.summarizeTraffic(before, FetchViews(r.Running()))
	p.summarizeSteps()
	return p.report, err
}

// String says what a step does.
func (s *Step) String() string {
	who := fmt.Sprint(s.Who)
	if len(s.Who) > 4 {
		who = fmt.Sprintf("%d members", len(s.Who))
	}
	switch {
	case len(s.Who) == 0:
		return s.Do
	case s.Do == "link":
		return fmt.Sprintf("link %s to %v", who, s.To)
	}
	return s.Do + " " + who
}

// playRound plays the steps once.
func (p *player) playRound(ctx context.Context) error {
	began := time.Now()
	wait := func(d time.Duration) error {
		select {
		case <-time.After(d - time.Since(began)):
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	for i := range p.scenario.Steps {
		s := &p.scenario.Steps[i]
		if err := wait(s.At); err != nil {
			return err
		}
		if err := p.playStep(ctx, s, &p.report.Steps[i]); err != nil {
			return err
		}
	}
	return wait(p.scenario.MinRound)
}

// playStep does one step and waits for what it expects.
func (p *player) playStep(ctx context.Context, s *Step, rep *StepReport) error {
	p.record(event{MS: time.Since(p.start).Milliseconds(), Step: s.String()})
	var ms []*Member
	for _, name := range p.scenario.expand(s.Who) {
		ms = append(ms, p.Member(name))
	}
	var took time.Duration
	var missed error
	await := func() { took, missed = p.expect(ctx, s) }
	if err := p.act(ctx, s, ms, await); err != nil {
		return fmt.Errorf("%s: %w", s.String(), err)
	}
	if s.Do != "term" {
		await()
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	rep.Times++
	l := event{MS: time.Since(p.start).Milliseconds(), Step: s.String() + ": done"}
	if s.Expect != "none" {
		rep.latencies.RecordValue(took.Microseconds())
		t := took.Milliseconds()
		l.Took = &t
	}
	if missed != nil {
		rep.Failed++
		rep.LastFailure = missed.Error()
		l.Error = missed.Error()
	}
	p.record(l)
	return nil
}

// act does what a step says. A SIGTERM calls told while the process ends.
func (p *player) act(ctx context.Context, s *Step, ms []*Member, onSignalled func()) error {
	switch s.Do {
	case "kill":
		p.Kill(ms...)
	case "restart", "move":
		return p.forEach(ms, func(m *Member) error { return p.Restart(ctx, m, s.Do == "move", false) })
	case "wipe":
		return p.forEach(ms, func(m *Member) error { return p.Restart(ctx, m, false, true) })
	case "partition":
		side := p.scenario.expand(s.Who)
		others := slices.DeleteFunc(p.scenario.memberNames(),
			func(n string) bool { return slices.Contains(side, n) })
		p.Net.Partition(side, others)
	case "link":
		f := faultnet.Fault{Blocked: s.Blocked, Drop: s.Drop, Delay: s.Delay, Jitter: s.Jitter}
		for _, from := range p.scenario.expand(s.Who) {
			for _, to := range p.scenario.expand(s.To) {
				p.Net.Set(from, to, f)
				if s.Both {
					p.Net.Set(to, from, f)
				}
			}
		}
	case "heal":
		if p.Net != nil {
			p.Net.Heal()
		}
	case "term":
		return p.forEach(ms, func(m *Member) error { return p.Term(m, onSignalled) })
	case "pause":
		return p.forEach(ms, p.Pause)
	case "resume":
		return p.forEach(ms, p.Resume)
	case "drain", "serve":
		return p.forEach(ms, func(m *Member) error { return m.Drain(s.Do == "drain") })
	}
	return nil
}

func (p *player) forEach(ms []*Member, do func(*Member) error) error {
	for _, m := range ms {
		if err := do(m); err != nil {
			return err
		}
	}
	return nil
}

// expect waits for what a step expects.
func (p *player) expect(ctx context.Context, s *Step) (time.Duration, error) {
	up := p.Running()
	who := p.scenario.expand(s.Who)
	switch s.Expect {
	case "none":
		return 0, nil
	case "one":
		return WaitViews(ctx, up, s.Within, OnlyAlive(MemberNames(up)...))
	case "sides":
		var a, b []*Member
		for _, m := range up {
			if slices.Contains(who, m.Name) {
				a = append(a, m)
			} else {
				b = append(b, m)
			}
		}
		first, err := WaitViews(ctx, a, s.Within, OnlyAlive(MemberNames(a)...))
		if err != nil {
			return first, err
		}
		second, err := WaitViews(ctx, b, s.Within, OnlyAlive(MemberNames(b)...))
		return first + second, err
	}
	return WaitViews(ctx, up, s.Within, StatusIs(s.Expect, who...))
}

// sampleAll looks at all views again and again.
func (p *player) sampleAll(ctx context.Context) {
	tick := time.NewTicker(p.scenario.SampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			at := time.Since(p.start)
			for by, v := range FetchViews(p.Running()) {
				p.sample(at, by, v)
			}
		}
	}
}

func (p *player) sample(at time.Duration, by string, v gossip.Page) {
	sees := map[string]string{}
	alive := 0
	for _, m := range v.Members {
		sees[m.Name] = m.Status
		if m.Status == "alive" || m.Status == "suspect" {
			alive++
		}
		if m.Status == "dead" && !slices.Contains(p.touched, m.Name) {
			p.report.FalseDeaths++
		}
	}
	p.report.Views++
	p.report.samples = append(p.report.samples, sample{at, by, alive})
	if !maps.Equal(sees, p.lastViews[by]) {
		p.lastViews[by] = sees
		p.record(event{MS: at.Milliseconds(), By: by, Sees: sees})
	}
}

// record adds a line to the record.
func (p *player) record(l event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.Step != "" && l.Took == nil && l.Error == "" {
		p.report.stepStarts = append(p.report.stepStarts, stepStart{time.Duration(l.MS) * time.Millisecond, l.Step})
	}
	if p.events != nil {
		p.events.Encode(l)
	}
}

// summarizeTraffic sums what members that lived through all of it sent.
func (p *player) summarizeTraffic(before, after Views) {
	r := p.report
	for name, v := range after {
		r.Suspicions += v.Counters.Suspicions
		r.Refutations += v.Counters.Refutations
		b, ok := before[name]
		if !ok || slices.Contains(p.touched, name) {
			continue
		}
		r.MeasuredMembers++
		r.BytesPerSecond += float64(v.Counters.BytesOut - b.Counters.BytesOut)
		r.PacketsPerSecond += float64(v.Counters.PacketsOut - b.Counters.PacketsOut + v.Counters.StreamsOut -
			b.Counters.StreamsOut)
	}
	if r.MeasuredMembers > 0 {
		r.BytesPerSecond /= float64(r.MeasuredMembers) * r.Seconds
		r.PacketsPerSecond /= float64(r.MeasuredMembers) * r.Seconds
	}
}

// summarizeSteps fills in what the steps' times come to.
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

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
