package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// checker checks the actions of one Balancer against the rules that a single balancer can keep.
type checker struct {
	settings   Settings
	requests   map[string]*checkedRequest
	drainedAt  map[ServerID]time.Duration // when a drain or removal was reported
	listed     map[ServerID]Server
	violations []string
}

type checkedRequest struct {
	class    int
	deadline time.Duration
	final    bool
	sends    []checkedSend
}

type checkedSend struct {
	to     Server
	at     time.Duration
	ended  bool
	result Result
}

func newChecker(settings Settings) *checker {
	return &checker{settings: settings, requests: map[string]*checkedRequest{},
		drainedAt: map[ServerID]time.Duration{}, listed: map[ServerID]Server{}}
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// checkAction checks one action against the rules.
func (c *checker) checkAction(now time.Duration, a Action) {
	if a.Kind == Probe && (!c.settings.MayProbe || c.listed[a.Server].ID == 0) {
		c.addViolation("probe of server %d is not allowed", a.Server)
	}
	if a.Kind != Send && a.Kind != Reject && a.Kind != Fail {
		return
	}
	r := c.requests[a.ID]
	if r == nil {
		c.addViolation("%s: action for a request that was never started", a.ID)
		return
	}
	if r.final {
		c.addViolation("%s: action %d after its final response", a.ID, a.Kind)
		return
	}
	class := c.settings.Classes[r.class]
	allowed := true // whether the earlier attempts allow a: for Send a retry, for Reject a rejection
	for _, s := range r.sends {
		mayHaveRun := !s.ended || !s.result.neverRan()
		if !s.ended && a.Kind == Send && !c.settings.MayHedge {
			c.addViolation("%s: two attempts outstanding at once", a.ID)
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
		c.addViolation("%s: action %d may run the request twice", a.ID, a.Kind)
	}
	if a.Kind != Send {
		r.final = true
		if now > r.deadline+c.settings.ResponseGrace {
			c.addViolation("%s: final response too late", a.ID)
		}
		return
	}
	s, known := c.listed[a.Server]
	if !known {
		c.addViolation("%s sent to server %d, which was never listed", a.ID, a.Server)
	}
	if at, drains := c.drainedAt[a.Server]; drains && now > at+c.settings.DrainGrace {
		c.addViolation("%s sent to server %d, which was drained %v ago", a.ID, a.Server, now-at)
	}
	if len(r.sends) >= c.settings.MaxAttempts {
		c.addViolation("%s: too many attempts", a.ID)
	}
	r.sends = append(r.sends, checkedSend{to: s, at: now})
}

// checkDeadlines adds a violation for each request without a final response after its deadline.
func (c *checker) checkDeadlines(now time.Duration) {
	for id, r := range c.requests {
		if !r.final && now > r.deadline+c.settings.ResponseGrace {
			r.final = true
			c.addViolation("%s: no final response in time", id)
		}
	}
}

func TestCheckerDetectsViolations(t *testing.T) {
	settings := ruleSettings()
	a, b := Server{ID: 1, Zone: 0, Cell: 1}, Server{ID: 2, Zone: 0, Cell: 2}
	send := func(id string, to Server) Action { return Action{Kind: Send, ID: id, Server: to.ID} }
	for name, actions := range map[string][]Action{
		"two final responses":                            {{Kind: Fail, ID: "c0"}, {Kind: Reject, ID: "c0"}},
		"an attempt after the response":                  {{Kind: Fail, ID: "c0"}, send("c0", a)},
		"a request that runs twice":                      {send("c1", a), send("c1", b)},
		"a rejection after an attempt that may have run": {send("c1", a), {Kind: Reject, ID: "c1"}},
		"a repeat in another cell":                       {send("c2", a), send("c2", b)},
		"a request never started":                        {send("c9", a)},
		"a server never listed":                          {send("c0", Server{ID: 77})},
		"a draining server":                              {send("c0", Server{ID: 3})},
		"a probe of an unlisted server":                  {{Kind: Probe, Server: 77}},
		"too many attempts": {send("c0", a), send("c0", a), send("c0", a), send("c0", a),
			send("c0", a)},
		"a late or missing response": nil,
	} {
		c := newChecker(settings)
		for i := range settings.Classes {
			c.requests[fmt.Sprint("c", i)] = &checkedRequest{class: i, deadline: 5 * time.Second}
		}
		c.listed = map[ServerID]Server{1: a, 2: b, 3: {ID: 3}}
		c.drainedAt[3] = 0
		for _, act := range actions {
			c.checkAction(2*time.Second, act)
		}
		if actions == nil {
			c.checkDeadlines(6 * time.Second)
		}
		if len(c.violations) == 0 {
			t.Errorf("%s: not detected", name)
		}
	}
}

// ruleSettings returns settings with one class of each effect in which a balancer may use every feature.
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

// runRandomEvents feeds one Balancer valid events, which the numbers from next choose, and returns the
// violations of the rules.
func runRandomEvents(settings Settings, steps int, next func() int) []string {
	c := newChecker(settings)
	b, err := New(settings, 0)
	if err != nil {
		return []string{err.Error()}
	}
	type sentAttempt struct {
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
	var outstanding []sentAttempt
	var timers []timer
	var probes []ServerID
	apply := func(actions []Action) {
		for _, a := range actions {
			c.checkAction(now, a)
			switch a.Kind {
			case Send:
				if r := c.requests[a.ID]; r != nil {
					due := r.deadline
					if a.Wait > 0 {
						due = min(due, now+a.Wait)
					}
					outstanding = append(outstanding, sentAttempt{a.ID, len(r.sends) - 1, a.Server, due, now})
				}
			case Probe:
				probes = append(probes, a.Server)
			case SetTimer:
				timers = append(timers, timer{a.Token, now + a.Wait})
			}
		}
	}
	end := func(i int, result Result) {
		o := outstanding[i]
		outstanding = slices.Delete(outstanding, i, i+1)
		r := c.requests[o.id]
		r.sends[o.n].ended, r.sends[o.n].result = true, result
		if result == Done {
			r.final = true
		}
		var report []float64
		if next()%2 == 0 {
			report = []float64{float64(next() % 5), 1, float64(next() % 9)}
		}
		apply(b.Outcome(now, Outcome{ID: o.id, Attempt: o.n, Server: o.to, Result: result, Final: r.final,
			Latency: now - o.sent, Report: report}, nil))
	}
	list := func(kind ListKind, entries []Server) {
		for _, s := range entries {
			if c.listed[s.ID] = s; s.State == Up {
				delete(c.drainedAt, s.ID)
			} else if _, before := c.drainedAt[s.ID]; !before {
				c.drainedAt[s.ID] = now
			}
		}
		apply(b.List(now, kind, entries, nil))
	}
	entry := func() Server {
		id := 1 + next()%12
		s := Server{ID: ServerID(id), Zone: id % 2, Cell: id % 4, Rating: 1, State: ServerState(max(0, next()%6-3))}
		if next()%4 == 0 {
			s.Started = now - time.Duration(next()%8)*time.Second
		}
		return s
	}
	for i, id := 0, 0; i < steps && len(c.violations) == 0; i++ {
		switch op := next() % 16; op {
		case 0, 1, 2, 3, 4:
			id++
			class := next() % len(settings.Classes)
			name := fmt.Sprint("r", id)
			deadline := now + time.Duration(1+next()*4)*time.Millisecond
			c.requests[name] = &checkedRequest{class: class, deadline: deadline}
			apply(b.Request(now, Request{ID: name, Class: class, Deadline: deadline, Key: uint64(next() % 3),
				HasKey: next()%2 == 0}, nil))
		case 5, 6, 7, 8:
			if len(outstanding) > 0 {
				result := []Result{Done, Done, Done, Error, Rejected, ConnRefused, Reset, Done}[next()%8]
				end(next()%len(outstanding), result)
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
			list(ListDelta, []Server{entry()})
		case 12:
			list([]ListKind{ListFailed, ListDelta}[next()%2], nil)
		case 14: // unknown, repeated or late events
			apply(b.Outcome(now, Outcome{ID: "r1", Attempt: next() - 2, Result: Error}, nil))
			apply(b.Timer(now, uint64(next()), nil))
			apply(b.Probed(now, ProbeResult{Server: 99, Report: []float64{-1}}, nil))
		case 15:
			if r := c.requests[fmt.Sprint("r", id)]; r != nil && !r.final {
				r.final = true
				apply(b.ClientDisconnected(now, fmt.Sprint("r", id), nil))
			}
		}
		now += time.Duration(next()%8) * settings.Tick
		for k := 0; k < len(timers); k++ {
			if tm := timers[k]; tm.due <= now {
				timers = slices.Delete(timers, k, k+1)
				k--
				apply(b.Timer(now, tm.token, nil))
			}
		}
		for k := 0; k < len(outstanding); k++ {
			if outstanding[k].due <= now {
				end(k, TimedOut)
				k--
			}
		}
		c.checkDeadlines(now)
	}
	return c.violations
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 1))
		settings := ruleSettings()
		settings.Seed = seed
		settings.MayHedge, settings.MayProbe, settings.KeyAffinity = seed%2 == 0, seed%3 != 0, seed%5 == 0
		settings.ReportsInResponses = !settings.MayProbe
		if violations := runRandomEvents(settings, 600, func() int { return rng.IntN(256) }); len(violations) > 0 {
			t.Fatalf("seed %d: %v", seed, violations)
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
		if violations := runRandomEvents(ruleSettings(), min(len(data), 400), next); len(violations) > 0 {
			t.Fatal(violations)
		}
	})
}
