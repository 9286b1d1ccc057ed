package dispatch

import (
	"fmt"
	"testing"

	"cresshub/balance"
)

// permutations calls f with every permutation of the numbers below n.
func permutations(n int, f func([]int)) {
	var extend func(done []int)
	extend = func(done []int) {
		if len(done) == n {
			f(done)
			return
		}
		for i := range n {
			used := false
			for _, d := range done {
				used = used || d == i
			}
			if !used {
				extend(append(done[:len(done):len(done)], i))
			}
		}
	}
	extend(nil)
}

// In every order of the end of an attempt, the client's disconnect, a list change and NextStep: a call has
// exactly one last step, at most one response is chosen, a request that must not run twice is retried or
// rejected only if no earlier attempt may have run, and no call is retained.
func TestEveryOrderOfEvents(t *testing.T) {
	for class, effect := range []string{"idempotent", "at most once"} {
		for res := range Result(len(ResultNames)) {
			permutations(4, func(order []int) {
				d, p := newDecider(t, func(s *balance.Settings) { s.MayHedge = true })
				d.UpdateList(true, []Server{{ID: 7, Rating: 1}, {ID: 8, Rating: 1}})
				q := atMostOnceRequest()
				q.Class = class
				c := d.Open(q, p)
				name := fmt.Sprintf("%s, %s, order %v", effect, ResultNames[res], order)
				last, sends, answers := 0, 0, 0
				ran := false // whether an attempt that ended may have run
				take := func() {
					for len(c.steps) > 0 {
						s, _ := d.takeStep(c, true)
						switch {
						case last > 0:
							t.Errorf("%s: step %d after the last one", name, s.Kind)
						case s.Kind == Send:
							if sends++; sends > 1 && class == 1 && ran {
								t.Errorf("%s: retried after an attempt that may have run", name)
							}
						case s.Kind == Reject && class == 1 && ran:
							t.Errorf("%s: rejected after an attempt that may have run", name)
						}
						if s.Kind >= Answer {
							last++
						}
					}
				}
				end := func(attempt int, res Result) {
					ran = ran || res != Rejected && res != NoConnection && res != Skipped
					if d.Report(c, attempt, res, nil) {
						answers++
					}
				}
				take()
				for _, event := range order {
					switch event {
					case 0:
						end(0, res)
					case 1:
						if last == 0 { // a goroutine does not call Wait after its last step
							d.clientDisconnected(c)
						}
					case 2:
						d.UpdateList(false, []Server{{ID: 7, State: balance.Draining}})
					case 3:
						take()
					}
				}
				take()
				for i := 1; i < sends; i++ { // the other attempts are served later
					end(i, Served)
					take()
				}
				if last != 1 || answers > 1 || len(d.calls) != 0 {
					t.Errorf("%s: %d last steps, %d answers, %d calls open", name, last, answers, len(d.calls))
				}
			})
		}
	}
}
