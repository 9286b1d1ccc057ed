package dispatch

import (
	"fmt"
	"testing"

	"cresshub/balance"
)

// permutations calls f with every order of the numbers below n.
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

// Whatever the order of an attempt's end, the client's going away, a change of the list and a Pick: a call
// has one last step, one response counts, what must not run twice is sent again or refused only where the
// attempt before it never ran, and nothing is retained afterwards.
func TestEveryOrderOfEvents(t *testing.T) {
	for class, effect := range []string{"may run again", "must not"} {
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
						s, _ := d.next(c, true)
						switch {
						case last > 0:
							t.Errorf("%s: step %d after the last one", name, s.Kind)
						case s.Kind == Send:
							if sends++; sends > 1 && class == 1 && ran {
								t.Errorf("%s: sent again", name)
							}
						case s.Kind == Reject && class == 1 && ran:
							t.Errorf("%s: refused", name)
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
						if last == 0 { // a goroutine does not Wait after its last step
							d.clientGone(c)
						}
					case 2:
						d.UpdateList(false, []Server{{ID: 7, State: balance.Draining}})
					case 3:
						take()
					}
				}
				take()
				for i := 1; i < sends; i++ { // the other attempts are served, and late
					end(i, Served)
					take()
				}
				if last != 1 || answers > 1 || len(d.calls) != 0 {
					t.Errorf("%s: %d last steps, %d answers, %d calls held", name, last, answers, len(d.calls))
				}
			})
		}
	}
}
