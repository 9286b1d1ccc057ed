package routerstandin

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
)

// withField returns a header with another value of a field, without the field for "".
func withField(header http1.Header, name, value string) http1.Header {
	header = slices.DeleteFunc(slices.Clone(header), func(f http1.Field) bool { return f.Name == name })
	if value == "" {
		return header
	}
	return append(header, field(name, value))
}

func TestChangedHeaderFieldsAreDetected(t *testing.T) {
	for _, name := range []string{modelHeader, tokensHeader, prefixHeader} {
		world := newTestWorld(t)
		world.proxy.setMisbehaviour(func(_ *fakeProxy, exchange *proxiedRequest) bool {
			exchange.request.Header = withField(exchange.request.Header, name, "9,7")
			return false
		})
		world.do(onceOnlyStreamKind)
		world.Assert(world.brokenRules(), qt.DeepEquals, []Rule{RuleUnasked}, qt.Commentf("%s", name))
	}
}

func TestTooMuchTimeForServersIsDetected(t *testing.T) {
	const longer = "40000" // ms, twice the client's
	for _, test := range []struct {
		name     string
		requests int
		deadline string // that the proxy passes on, "" for none
		rules    []Rule
	}{
		{"none", maxWrongDeadlines + 1, "", []Rule{RuleBudget}},
		{"a longer one", maxWrongDeadlines + 1, longer, []Rule{RuleBudget}},
		{"seldom", maxWrongDeadlines, longer, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			world := newTestWorld(t)
			world.proxy.setMisbehaviour(func(_ *fakeProxy, exchange *proxiedRequest) bool {
				exchange.request.Header = withField(exchange.request.Header, deadlineHeader, test.deadline)
				return false
			})
			for range test.requests {
				world.do(safeKind)
			}
			world.Assert(world.brokenRules(), qt.DeepEquals, test.rules)
		})
	}
}

// recordedAttempt records an attempt of a kind that was sent a duration ago, and returns it.
func recordedAttempt(world *testWorld, kind *Kind, ago time.Duration) *attempt {
	a := &attempt{id: newAttemptID(), request: NewRequest(kind, 1), machine: "10.0.0.1"}
	world.observations.recordAttempt(a)
	a.sentAt = time.Now().Add(-ago)
	a.fullySentAt = a.sentAt
	a.deadline = a.sentAt.Add(time.Hour)
	return a
}

func TestAnswersAfterTheTimeoutOfTheRouteAreDetected(t *testing.T) {
	for _, test := range []struct {
		name   string
		late   time.Duration // after the timeout
		number int
		rules  []Rule
	}{
		{"far too late", 2 * deadlineMargin, minOverdue, []Rule{RuleConfig}},
		{"a little late", deadlineMargin / 2, minOverdue, nil},
		{"few", 2 * deadlineMargin, minOverdue - 1, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			world := newTestWorld(t)
			for range test.number {
				a := recordedAttempt(world, safeKind, patience+test.late)
				world.observations.recordNotServed(a, 504)
			}
			world.Assert(world.brokenRules(), qt.DeepEquals, test.rules)
		})
	}
}

func TestWorkForClientsThatDisconnectedIsDetected(t *testing.T) {
	for _, test := range []struct {
		name    string
		kind    *Kind
		arrives time.Duration // after the client disconnected
		works   time.Duration // until so long after the client disconnected
		number  int
		rules   []Rule
	}{
		{"it reaches a server late", safeKind, 2 * goneMargin, 2 * goneMargin, maxGoneArrivals + 1,
			[]Rule{RuleGone}},
		{"seldom", safeKind, 2 * goneMargin, 2 * goneMargin, maxGoneArrivals, nil},
		{"it reaches a server soon", safeKind, goneMargin / 2, goneMargin, maxGoneArrivals + 1, nil},
		{"a server works on", resumableStreamKind, -goneMargin, 2 * goneMargin, minGoneWork + 1, []Rule{RuleGone}},
		{"a server stops soon", safeKind, -goneMargin, goneMargin / 2, minGoneWork + 1, nil},
		{"it must not run twice", unsafeKind, -goneMargin, 2 * goneMargin, minGoneWork + 1, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			world := newTestWorld(t)
			for range test.number {
				a := recordedAttempt(world, test.kind, time.Minute)
				a.leftAt, a.endedAt = a.sentAt.Add(goneMargin), a.sentAt.Add(goneMargin)
				a.arrivals = []*arrival{{attempt: a, server: "i-1", service: "lookup",
					at: a.leftAt.Add(test.arrives), endedAt: a.leftAt.Add(test.works), deadline: a.deadline}}
			}
			world.Assert(world.brokenRules(), qt.DeepEquals, test.rules)
		})
	}
}

// A server that goes on where its caller closes the connection ends its work late; one that watches the
// connection does not.
func TestEndOfWorkIsObserved(t *testing.T) {
	world := newTestWorld(t)
	world.do(safeKind)
	world.eventually("its work has ended", func() bool {
		world.observations.mu.Lock()
		defer world.observations.mu.Unlock()
		a := world.observations.attemptsInOrder[0].arrivals[0]
		return !a.endedAt.Before(a.at)
	})
}

func TestLossesAroundPlannedWorkAreDetected(t *testing.T) {
	const grace = 8 * time.Second
	for _, test := range []struct {
		name    string
		planned plannedWork
		sent    time.Duration // after the planned work
		lost    time.Duration // after the planned work
		worked  time.Duration // a server worked until so long after the planned work
		rules   []Rule
	}{
		{"at a stop", plannedTermination, 0, time.Second, time.Second, []Rule{RuleLost}},
		{"late in a stop, at work", plannedTermination, time.Second, grace, grace, nil},
		{"late in a stop, at work, sent late", plannedTermination, acceptTime + time.Second, grace, grace,
			[]Rule{RuleLost}},
		{"at a reload", plannedReload, testBounds.Config / 2, time.Second, time.Second, []Rule{RuleLost}},
		{"before a reload", plannedReload, -time.Second, -time.Second / 2, -time.Second / 2, nil},
		{"long after a reload", plannedReload, 2 * testBounds.Config, time.Second, time.Second, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			world := newTestWorld(t)
			world.observations.bounds.Grace = grace
			a := recordedAttempt(world, unsafeKind, time.Minute)
			at := a.sentAt.Add(-test.sent)
			world.observations.faults = []machineFault{{machine: a.machine, planned: test.planned, at: at}}
			a.connLost, a.endedAt = true, at.Add(test.lost)
			a.arrivals = []*arrival{{attempt: a, server: "i-1", service: "lookup", at: a.sentAt,
				endedAt: at.Add(test.worked), deadline: a.deadline}}
			world.Assert(world.brokenRules(), qt.DeepEquals, test.rules)
		})
	}
}

// Beside a change of the configuration a machine may not lose more requests than at other times.
func TestLossesBesideChangesAreDetected(t *testing.T) {
	for _, test := range []struct {
		name           string
		beside, others int // requests that are lost
		used           time.Duration
		rules          []Rule
	}{
		{"one beside the change", 1, 0, time.Second, []Rule{RuleLost}},
		{"more at other times", 1, 5, time.Second, nil},
		{"at the end of its time", 1, 0, 50 * time.Minute, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			world := newTestWorld(t)
			change := world.observations.configs[0]
			lose := func(count int, sentAt time.Time) {
				for range count {
					a := recordedAttempt(world, unsafeKind, 0)
					a.sentAt, a.fullySentAt = sentAt, sentAt
					a.deadline = sentAt.Add(time.Hour)
					a.connLost, a.endedAt = true, sentAt.Add(test.used)
					a.arrivals = []*arrival{{attempt: a, server: "i-1", service: "lookup", at: sentAt,
						endedAt: a.endedAt, deadline: a.deadline}}
				}
			}
			lose(test.beside, change.sentAt)
			lose(test.others, change.sentAt.Add(2*time.Hour))
			served := recordedAttempt(world, unsafeKind, 0)
			served.sentAt, served.endedAt = change.sentAt.Add(2*time.Hour), change.sentAt.Add(2*time.Hour)
			served.fullySentAt = served.sentAt
			world.observations.configs = []*configVersion{change}
			world.Assert(world.brokenRules(), qt.DeepEquals, test.rules)
		})
	}
}
