package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// checker holds the actions of one Balancer against the rules that one balancer alone can keep.
type checker struct {
	set    Settings
	reqs   map[string]*watched
	told   map[ServerID]time.Duration // when a drain or removal was told
	listed map[ServerID]Server
	bad    []string
}

type watched struct {
	class    int
	deadline time.Duration
	final    bool
	sends    []watchedSend
}

type watchedSend struct {
	to     Server
	at     time.Duration
	ended  bool
	result Result
}

func newChecker(set Settings) *checker {
	return &checker{set: set, reqs: map[string]*watched{}, told: map[ServerID]time.Duration{},
		listed: map[ServerID]Server{}}
}

func (c *checker) fail(format string, args ...any) {
	c.bad = append(c.bad, fmt.Sprintf(format, args...))
}

func (c *checker) action(now time.Duration, a Action) {
	if a.Kind == Probe && (!c.set.MayProbe || c.listed[a.Server].ID == 0) {
		c.fail("probe of %d not allowed", a.Server)
	}
	if a.Kind != Send && a.Kind != Reject && a.Kind != Fail {
		return
	}
	w := c.reqs[a.ID]
	if w == nil {
		c.fail("%s names a request never taken", a.ID)
		return
	}
	if w.final {
		c.fail("%s: action %d after its final answer", a.ID, a.Kind)
		return
	}
	class := c.set.Classes[w.class]
	allowed := true // what may follow the earlier attempts: for Send a repeat, for Refuse a refusal
	for _, s := range w.sends {
		mayHaveRun := !s.ended || !s.result.neverRan()
		if !s.ended && a.Kind == Send && !c.set.MayHedge {
			c.fail("%s: two attempts out at once", a.ID)
		}
		if !s.ended && a.Kind == Reject {
			allowed = class.Effect == Idempotent
		}
		if !mayHaveRun {
			continue
		}
		switch class.Effect {
		case AtMostOnce:
			allowed = false
		case Deduplicated:
			to := c.listed[a.Server]
			same := class.DedupScope == DedupFleet || class.DedupScope == DedupZone && to.Zone == s.to.Zone ||
				class.DedupScope == DedupCell && to.Zone == s.to.Zone && to.Cell == s.to.Cell
			late := now+a.StartWithin > s.at+class.DedupWindow
			if a.Kind == Send && (!same || late) || a.Kind == Reject && class.DedupScope != DedupFleet {
				allowed = false
			}
		}
	}
	if !allowed && a.Kind != Fail {
		c.fail("%s: action %d may repeat an effect", a.ID, a.Kind)
	}
	if a.Kind != Send {
		w.final = true
		if now > w.deadline+c.set.ResponseGrace {
			c.fail("%s: answered too late", a.ID)
		}
		return
	}
	s, known := c.listed[a.Server]
	if !known {
		c.fail("%s sent to %d, never listed", a.ID, a.Server)
	}
	if at, drains := c.told[a.Server]; drains && now > at+c.set.DrainGrace {
		c.fail("%s sent to %d, told to drain %v ago", a.ID, a.Server, now-at)
	}
	if len(w.sends) >= c.set.MaxAttempts {
		c.fail("%s: too many attempts", a.ID)
	}
	w.sends = append(w.sends, watchedSend{to: s, at: now})
}

func (c *checker) overdue(now time.Duration) {
	for id, w := range c.reqs {
		if !w.final && now > w.deadline+c.set.ResponseGrace {
			w.final = true
			c.fail("%s got no answer in time", id)
		}
	}
}

func TestCheckerCatches(t *testing.T) {
	set := ruleSettings()
	a, b := Server{ID: 1, Zone: 0, Cell: 1}, Server{ID: 2, Zone: 0, Cell: 2}
	send := func(id string, to Server) Action { return Action{Kind: Send, ID: id, Server: to.ID} }
	for name, actions := range map[string][]Action{
		"two final answers":            {{Kind: Fail, ID: "c0"}, {Kind: Reject, ID: "c0"}},
		"an attempt after the answer":  {{Kind: Fail, ID: "c0"}, send("c0", a)},
		"an effect twice":              {send("c1", a), send("c1", b)},
		"a refusal that may have run":  {send("c1", a), {Kind: Reject, ID: "c1"}},
		"a repeat in another cell":     {send("c2", a), send("c2", b)},
		"a request never taken":        {send("c9", a)},
		"a server never listed":        {send("c0", Server{ID: 77})},
		"a server told to drain":       {send("c0", Server{ID: 3})},
		"a probe of nobody":            {{Kind: Probe, Server: 77}},
		"an attempt too many":          {send("c0", a), send("c0", a), send("c0", a), send("c0", a), send("c0", a)},
		"an answer too late, or never": nil,
	} {
		c := newChecker(set)
		for i := range set.Classes {
			c.reqs[fmt.Sprint("c", i)] = &watched{class: i, deadline: 5 * time.Second}
		}
		c.listed = map[ServerID]Server{1: a, 2: b, 3: {ID: 3}}
		c.told[3] = 0
		for _, act := range actions {
			c.action(2*time.Second, act)
		}
		if actions == nil {
			c.overdue(6 * time.Second)
		}
		if len(c.bad) == 0 {
			t.Errorf("%s: not caught", name)
		}
	}
}

func ruleSettings() Settings {
	class := func(e Effect, g DedupScope) Class {
		return Class{LatencyTarget: 200 * time.Millisecond, Deadline: time.Second, Effect: e, DedupScope: g,
			DedupWindow: 300 * time.Millisecond, Value: 2}
	}
	return Settings{
		Seed: 7, Peers: 3, Tick: 2 * time.Millisecond, MaxAttempts: 4, MayHedge: true, MayProbe: true,
		MayCancel: true, ResponseGrace: 20 * time.Millisecond, DrainGrace: time.Second,
		RegistryInterval: 10 * time.Second, SlowStartMin: 0.2, SlowStartWindow: 10 * time.Second,
		CollapseMultiple: 3, CollapseAfter: 2 * time.Second, MustFollow: true, KeyAffinity: true,
		ReportFields: []ReportField{FieldQueued, FieldUnknown, FieldInFlight},
		Classes: []Class{class(Idempotent, DedupFleet), class(AtMostOnce, DedupFleet),
			class(Deduplicated, DedupCell)},
	}
}

// play feeds one Balancer a legal stream of events that the bytes of next choose.
func play(set Settings, steps int, next func() int) []string {
	c := newChecker(set)
	b, err := New(set, 0)
	if err != nil {
		return []string{err.Error()}
	}
	type out struct {
		id   string
		n    int
		to   ServerID
		due  time.Duration
		sent time.Duration
	}
	type timer struct {
		token uint64
		due   time.Duration
	}
	now := 100 * time.Second
	var outs []out
	var timers []timer
	var probes []ServerID
	apply := func(actions []Action) {
		for _, a := range actions {
			c.action(now, a)
			switch a.Kind {
			case Send:
				if w := c.reqs[a.ID]; w != nil {
					due := w.deadline
					if a.Wait > 0 {
						due = min(due, now+a.Wait)
					}
					outs = append(outs, out{a.ID, len(w.sends) - 1, a.Server, due, now})
				}
			case Probe:
				probes = append(probes, a.Server)
			case SetTimer:
				timers = append(timers, timer{a.Token, now + a.Wait})
			}
		}
	}
	finish := func(i int, result Result) {
		o := outs[i]
		outs = slices.Delete(outs, i, i+1)
		w := c.reqs[o.id]
		w.sends[o.n].ended, w.sends[o.n].result = true, result
		if result == Done {
			w.final = true
		}
		var row []float64
		if next()%2 == 0 {
			row = []float64{float64(next() % 5), 1, float64(next() % 9)}
		}
		apply(b.Outcome(now, Outcome{ID: o.id, Attempt: o.n, Server: o.to, Result: result, Final: w.final,
			Latency: now - o.sent, Report: row}, nil))
	}
	list := func(kind ListKind, lines []Server) {
		for _, s := range lines {
			if c.listed[s.ID] = s; s.State == Up {
				delete(c.told, s.ID)
			} else if _, before := c.told[s.ID]; !before {
				c.told[s.ID] = now
			}
		}
		apply(b.List(now, kind, lines, nil))
	}
	line := func() Server {
		id := 1 + next()%12
		s := Server{ID: ServerID(id), Zone: id % 2, Cell: id % 4, Rating: 1, State: ServerState(max(0, next()%6-3))}
		if next()%4 == 0 {
			s.Started = now - time.Duration(next()%8)*time.Second
		}
		return s
	}
	for i, id := 0, 0; i < steps && len(c.bad) == 0; i++ {
		switch op := next() % 16; op {
		case 0, 1, 2, 3, 4:
			id++
			class := next() % len(set.Classes)
			name := fmt.Sprint("r", id)
			deadline := now + time.Duration(1+next()*4)*time.Millisecond
			c.reqs[name] = &watched{class: class, deadline: deadline}
			apply(b.Request(now, Request{ID: name, Class: class, Deadline: deadline, Key: uint64(next() % 3),
				HasKey: next()%2 == 0}, nil))
		case 5, 6, 7, 8:
			if len(outs) > 0 {
				result := []Result{Done, Done, Done, Error, Rejected, ConnRefused, Reset, Done}[next()%8]
				finish(next()%len(outs), result)
			}
		case 9, 10:
			if len(probes) > 0 {
				p := ProbeResult{Server: probes[0], Result: []Result{Done, Done, TimedOut, ConnRefused}[next()%4]}
				if probes = probes[1:]; p.Result == Done {
					p.Report = []float64{float64(next() % 4), 0, float64(next() % 9)}
				}
				apply(b.Probed(now, p, nil))
			}
		case 11:
			list(ListDelta, []Server{line()})
		case 12:
			list([]ListKind{ListFailed, ListDelta}[next()%2], nil)
		case 14: // things unknown, repeated or over
			apply(b.Outcome(now, Outcome{ID: "r1", Attempt: next() - 2, Result: Error}, nil))
			apply(b.Timer(now, uint64(next()), nil))
			apply(b.Probed(now, ProbeResult{Server: 99, Report: []float64{-1}}, nil))
		case 15:
			if w := c.reqs[fmt.Sprint("r", id)]; w != nil && !w.final {
				w.final = true
				apply(b.ClientGone(now, fmt.Sprint("r", id), nil))
			}
		}
		now += time.Duration(next()%8) * set.Tick
		for k := 0; k < len(timers); k++ {
			if tm := timers[k]; tm.due <= now {
				timers = slices.Delete(timers, k, k+1)
				k--
				apply(b.Timer(now, tm.token, nil))
			}
		}
		for k := 0; k < len(outs); k++ {
			if outs[k].due <= now {
				finish(k, TimedOut)
				k--
			}
		}
		c.overdue(now)
	}
	return c.bad
}

func TestRulesUnderRandomStreams(t *testing.T) {
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 1))
		set := ruleSettings()
		set.Seed = seed
		set.MayHedge, set.MayProbe, set.KeyAffinity = seed%2 == 0, seed%3 != 0, seed%5 == 0
		set.ReportsInResponses = !set.MayProbe
		if bad := play(set, 600, func() int { return rng.IntN(256) }); len(bad) > 0 {
			t.Fatalf("seed %d: %v", seed, bad)
		}
	}
}

func FuzzRules(f *testing.F) {
	f.Add([]byte{11, 3, 0, 1, 11, 5, 0, 1, 0, 2, 200, 1, 0, 5, 3, 0, 9, 0, 14, 2, 1})
	f.Add([]byte{11, 1, 0, 1, 0, 0, 255, 1, 1, 7, 7, 7, 7, 7, 11, 1, 5, 1, 0, 0, 255})
	f.Fuzz(func(t *testing.T, data []byte) {
		at := 0
		next := func() int {
			if at++; at <= len(data) {
				return int(data[at-1])
			}
			return at % 7
		}
		if bad := play(ruleSettings(), min(len(data), 400), next); len(bad) > 0 {
			t.Fatal(bad)
		}
	})
}

// A refusal says when to come back, as far as clients are told and no later than they would heed; a
// failure promises nothing.
func TestRefusalTellsWhenToComeBack(t *testing.T) {
	for _, c := range []struct {
		name   string
		tells  bool
		delay  float64
		mayRun bool
		kind   ActionKind
		least  time.Duration
		most   time.Duration
	}{
		{"calm", true, 0, false, Reject, 0, 0},
		{"delayed", true, 0.1, false, Reject, 200 * time.Millisecond, 600 * time.Millisecond},
		{"jammed", true, 30, false, Reject, time.Second, time.Second},
		{"not told", false, 30, false, Reject, 0, 0},
		{"failed", true, 30, true, Fail, 0, 0},
	} {
		set := Settings{SendsRetryAfter: c.tells, MaxRetryAfter: time.Second,
			Classes: []Class{{LatencyTarget: time.Second, Deadline: time.Second, Effect: AtMostOnce}}}
		b, err := New(set, 0)
		if err != nil {
			t.Fatal(err)
		}
		b.queueDelay = c.delay
		r := &request{Request: Request{ID: "x"}, attempts: []attempt{{mayHaveRun: c.mayRun}}}
		a := b.giveUp(0, r, nil)[0]
		if a.Kind != c.kind || a.Wait < c.least || a.Wait > c.most {
			t.Errorf("%s: %v after %v", c.name, a.Kind, a.Wait)
		}
	}
}
