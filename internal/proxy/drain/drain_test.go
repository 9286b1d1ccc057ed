package drain

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var (
	start = time.Unix(1000, 0)
	times = Times{CloseIdle: 500 * time.Millisecond, AcceptFor: 800 * time.Millisecond,
		CloseAll: 1200 * time.Millisecond, ClosePartial: 3 * time.Second}
)

// at returns the time ms milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestPlanFollowsTheAgeOfTheDrain(t *testing.T) {
	lameDuck, shutdown := State{}.LameDuck(true, at(0)), State{}.Shutdown(at(0))
	for _, c := range []struct {
		name  string
		state State
		ms    int
		want  Plan
	}{
		{"serving", State{}, 5000, Plan{}},
		{"lame duck, at once", lameDuck, 0, Plan{}},
		{"lame duck, idle connections", lameDuck, 500, Plan{IdleBefore: at(0)}},
		{"lame duck, all idle ones", lameDuck, 1300, Plan{IdleBefore: at(1300), LastResponse: true}},
		{"lame duck, incomplete requests", lameDuck, 3000,
			Plan{IdleBefore: at(3000), PartialBefore: at(3000), LastResponse: true}},
		{"shutdown, idle connections", shutdown, 600, Plan{IdleBefore: at(0)}},
		{"shutdown, no new ones", shutdown, 900, Plan{IdleBefore: at(0), StopAccepting: true}},
		{"shutdown, may exit", shutdown, 1200,
			Plan{IdleBefore: at(1200), PartialBefore: at(1200), StopAccepting: true, LastResponse: true,
				MayExit: true}},
		{"both, begun later", lameDuck.Shutdown(at(300)), 900, Plan{IdleBefore: at(300)}},
		{"both, incomplete requests by the shutdown", lameDuck.Shutdown(at(100)), 1300,
			Plan{IdleBefore: at(1300), PartialBefore: at(1300),
				StopAccepting: true, LastResponse: true, MayExit: true}},
		{"both, the further one counts", lameDuck.Shutdown(at(1000)), 1300,
			Plan{IdleBefore: at(1300), LastResponse: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, c.state.Plan(at(c.ms), times)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// After any sequence of four calls, the lame duck drain is as its last call set it, and a shutdown that has
// begun is not undone.
func TestAnyOrderOfCallsKeepsLastLameDuckAndShutdown(t *testing.T) {
	type call struct{ on, off, shutdown bool }
	calls := []call{{on: true}, {off: true}, {shutdown: true}, {}} // the last is a SIGHUP: no effect here
	for n := range 256 {
		s, lameDuck, shutdown := State{}, false, false
		for i, left := 0, n; i < 4; i, left = i+1, left/4 {
			c := calls[left%4]
			if c.on || c.off {
				s, lameDuck = s.LameDuck(c.on, at(i)), c.on
			}
			if c.shutdown {
				s, shutdown = s.Shutdown(at(i)), true
			}
		}
		if s.Serving() != (!lameDuck && !shutdown) || s.ShuttingDown() != shutdown {
			t.Errorf("order %d: serving %v, shutting down %v", n, s.Serving(), s.ShuttingDown())
		}
		if p := s.Plan(at(10000), times); p.MayExit != shutdown || p.IdleBefore.IsZero() != s.Serving() {
			t.Errorf("order %d: %+v", n, p)
		}
	}
	// A repeated call does not restart a drain.
	again := State{}.LameDuck(true, at(0)).LameDuck(true, at(900)).Shutdown(at(1000)).Shutdown(at(2000))
	if diff := cmp.Diff(State{}.LameDuck(true, at(0)).Shutdown(at(1000)).Plan(at(2200), times),
		again.Plan(at(2200), times)); diff != "" {
		t.Error(diff)
	}
}
