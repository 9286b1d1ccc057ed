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

// settleWithin bounds how long the members may take to see each other at the start.
const settleWithin = 60 * time.Second

// StepReport is what came of one step over all rounds. Times are in milliseconds.
type StepReport struct {
	Step     string  `json:"step"`
	Expect   string  `json:"expect,omitempty"`
	Times    int     `json:"times"`
	Failed   int     `json:"failed"`
	Median   float64 `json:"median_ms"`
	Worst    float64 `json:"worst_ms"`
	LastFail string  `json:"last_failure,omitempty"`

	took *hdrhistogram.Histogram // us
}

// Report is what came of a scenario.
type Report struct {
	Scenario    string       `json:"scenario"`
	Members     int          `json:"members"`
	Settings    Fleet        `json:"settings"`
	Seconds     float64      `json:"seconds"`
	JoinedMS    float64      `json:"joined_ms"` // one view everywhere after the start
	Steps       []StepReport `json:"steps"`
	FalseDeaths int          `json:"false_deaths"` // looks that held a member dead which no step names
	Looks       int          `json:"looks"`        // views looked at for the record
	Suspicions  int          `json:"suspicions"`
	Refutations int          `json:"refutations"`
	BytesPerS   float64      `json:"bytes_per_member_second"`   // sent
	PacketsPerS float64      `json:"packets_per_member_second"` // sent, and streams opened
	Failures    int          `json:"failures"`
	Measured    int          `json:"members_measured"` // that lived through all of it, for the two above
	sampled     []sample
	stepped     []mark
}

// sample is how many members a view holds alive at a time.
type sample struct {
	at    time.Duration
	by    string
	alive int
}

type mark struct {
	at   time.Duration
	what string
}

// line is one line of the record.
type line struct {
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
	sc      *Scenario
	rep     *Report
	touched []string // members that a step names
	start   time.Time

	mu   sync.Mutex // of the record, the report's samples and the last views
	rec  *json.Encoder
	last map[string]map[string]string
}

// Play starts the members, plays the scenario and returns what came of it. The record goes to rec as JSON
// lines, if there is one. An error is one of the rig itself; what the scenario expects and does not find is
// counted in the report.
func Play(ctx context.Context, sc *Scenario, o Options, rec io.Writer) (_ *Report, err error) {
	o.Members, o.Halls, o.Seeds, o.Fleet, o.Relay = sc.Members, sc.Halls, sc.Seeds, sc.Fleet.toml(), sc.relayed()
	r, err := Start(ctx, o)
	if err != nil {
		return nil, err
	}
	defer func() {
		if cerr := r.Close(); err == nil {
			err = cerr
		}
	}()
	p := &player{Rig: r, sc: sc, last: map[string]map[string]string{},
		rep: &Report{Scenario: sc.Name, Members: sc.Members, Settings: sc.Fleet}}
	if rec != nil {
		p.rec = json.NewEncoder(rec)
	}
	for _, s := range sc.Steps {
		p.touched = append(p.touched, sc.members(s.Who)...)
		p.rep.Steps = append(p.rep.Steps, StepReport{Step: s.what(), Expect: s.Expect,
			took: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)})
	}
	joined, err := r.Settle(ctx, settleWithin)
	if err != nil {
		return nil, fmt.Errorf("at the start: %w", err)
	}
	p.rep.JoinedMS = ms(joined)
	select {
	case <-time.After(sc.Settle):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	p.start = time.Now()
	before := Look(r.Members)
	sampling, stop := context.WithCancel(ctx)
	sampled := make(chan struct{})
	go func() { defer close(sampled); p.sampleAll(sampling) }()
	for range sc.Repeat {
		if err = p.round(ctx); err != nil {
			break
		}
	}
	stop()
	<-sampled
	p.rep.Seconds = time.Since(p.start).Seconds()
	p.traffic(before, Look(r.Running()))
	p.sum()
	return p.rep, err
}

// what says what a step does.
func (s *Step) what() string {
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

// round plays the steps once.
func (p *player) round(ctx context.Context) error {
	began := time.Now()
	wait := func(d time.Duration) error {
		select {
		case <-time.After(d - time.Since(began)):
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	for i := range p.sc.Steps {
		s := &p.sc.Steps[i]
		if err := wait(s.At); err != nil {
			return err
		}
		if err := p.step(ctx, s, &p.rep.Steps[i]); err != nil {
			return err
		}
	}
	return wait(p.sc.Lasts)
}

// step does one step and waits for what it expects.
func (p *player) step(ctx context.Context, s *Step, rep *StepReport) error {
	p.note(line{MS: time.Since(p.start).Milliseconds(), Step: s.what()})
	var ms []*Member
	for _, name := range p.sc.members(s.Who) {
		ms = append(ms, p.Member(name))
	}
	var took time.Duration
	var missed error
	look := func() { took, missed = p.expect(ctx, s) }
	if err := p.act(ctx, s, ms, look); err != nil {
		return fmt.Errorf("%s: %w", s.what(), err)
	}
	if s.Do != "term" {
		look()
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	rep.Times++
	l := line{MS: time.Since(p.start).Milliseconds(), Step: s.what() + ": done"}
	if s.Expect != "none" {
		rep.took.RecordValue(took.Microseconds())
		t := took.Milliseconds()
		l.Took = &t
	}
	if missed != nil {
		rep.Failed++
		rep.LastFail = missed.Error()
		l.Error = missed.Error()
	}
	p.note(l)
	return nil
}

// act does what a step says. A SIGTERM calls told while the process ends.
func (p *player) act(ctx context.Context, s *Step, ms []*Member, told func()) error {
	switch s.Do {
	case "kill":
		p.Kill(ms...)
	case "restart", "move":
		return p.each(ms, func(m *Member) error { return p.Restart(ctx, m, s.Do == "move", false) })
	case "wipe":
		return p.each(ms, func(m *Member) error { return p.Restart(ctx, m, false, true) })
	case "partition":
		side := p.sc.members(s.Who)
		rest := slices.DeleteFunc(p.sc.names(), func(n string) bool { return slices.Contains(side, n) })
		p.Net.Partition(side, rest)
	case "link":
		f := faultnet.Fault{Cut: s.Cut, Drop: s.Drop, Delay: s.Delay, Jitter: s.Jitter}
		for _, from := range p.sc.members(s.Who) {
			for _, to := range p.sc.members(s.To) {
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
		return p.each(ms, func(m *Member) error { return p.Term(m, told) })
	case "pause":
		return p.each(ms, p.Pause)
	case "resume":
		return p.each(ms, p.Resume)
	case "drain", "serve":
		return p.each(ms, func(m *Member) error { return m.Drain(s.Do == "drain") })
	}
	return nil
}

func (p *player) each(ms []*Member, do func(*Member) error) error {
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
	who := p.sc.members(s.Who)
	switch s.Expect {
	case "none":
		return 0, nil
	case "one":
		return Until(ctx, up, s.Within, One(Names(up)...))
	case "sides":
		var a, b []*Member
		for _, m := range up {
			if slices.Contains(who, m.Name) {
				a = append(a, m)
			} else {
				b = append(b, m)
			}
		}
		first, err := Until(ctx, a, s.Within, One(Names(a)...))
		if err != nil {
			return first, err
		}
		second, err := Until(ctx, b, s.Within, One(Names(b)...))
		return first + second, err
	}
	return Until(ctx, up, s.Within, Sees(s.Expect, who...))
}

// sampleAll looks at all views again and again.
func (p *player) sampleAll(ctx context.Context) {
	tick := time.NewTicker(p.sc.Sample)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			at := time.Since(p.start)
			for by, v := range Look(p.Running()) {
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
			p.rep.FalseDeaths++
		}
	}
	p.rep.Looks++
	p.rep.sampled = append(p.rep.sampled, sample{at, by, alive})
	if !maps.Equal(sees, p.last[by]) {
		p.last[by] = sees
		p.note(line{MS: at.Milliseconds(), By: by, Sees: sees})
	}
}

// note adds a line to the record.
func (p *player) note(l line) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.Step != "" && l.Took == nil && l.Error == "" {
		p.rep.stepped = append(p.rep.stepped, mark{time.Duration(l.MS) * time.Millisecond, l.Step})
	}
	if p.rec != nil {
		p.rec.Encode(l)
	}
}

// traffic sums what members that lived through all of it sent.
func (p *player) traffic(before, after Views) {
	r := p.rep
	for name, v := range after {
		r.Suspicions += v.Counters.Suspicions
		r.Refutations += v.Counters.Refutations
		b, ok := before[name]
		if !ok || slices.Contains(p.touched, name) {
			continue
		}
		r.Measured++
		r.BytesPerS += float64(v.Counters.BytesOut - b.Counters.BytesOut)
		r.PacketsPerS += float64(v.Counters.PacketsOut - b.Counters.PacketsOut + v.Counters.StreamsOut -
			b.Counters.StreamsOut)
	}
	if r.Measured > 0 {
		r.BytesPerS /= float64(r.Measured) * r.Seconds
		r.PacketsPerS /= float64(r.Measured) * r.Seconds
	}
}

// sum fills in what the steps' times come to.
func (p *player) sum() {
	for i := range p.rep.Steps {
		s := &p.rep.Steps[i]
		s.Median = float64(s.took.ValueAtQuantile(50)) / 1000
		s.Worst = float64(s.took.Max()) / 1000
		p.rep.Failures += s.Failed
	}
	if p.sc.Calm {
		p.rep.Failures += p.rep.FalseDeaths
	}
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
