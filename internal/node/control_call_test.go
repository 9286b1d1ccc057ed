package node

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/peerwire"
)

// TestAHangingMemberDelaysACallOnlyALittle asks members of which some hang or can't agree.
func TestAHangingMemberDelaysACallOnlyALittle(t *testing.T) {
	for _, test := range []struct {
		name    string
		members []peerwire.Outcome // 0 for one that hangs
		outcome peerwire.Outcome
		took    time.Duration
	}{
		{"the first answers", []peerwire.Outcome{peerwire.OutcomeTaken, 0}, peerwire.OutcomeTaken, 0},
		{"the first hangs", []peerwire.Outcome{0, peerwire.OutcomeConflict},
			peerwire.OutcomeConflict, controlHedge},
		{"two hang", []peerwire.Outcome{0, 0, peerwire.OutcomeTaken}, peerwire.OutcomeTaken, 2 * controlHedge},
		{"the first can't agree", []peerwire.Outcome{peerwire.OutcomeUnavailable, peerwire.OutcomeTaken},
			peerwire.OutcomeTaken, 0},
		{"none can agree", []peerwire.Outcome{peerwire.OutcomeUnavailable, peerwire.OutcomeUnavailable},
			peerwire.OutcomeUnavailable, 0},
		{"all hang", []peerwire.Outcome{0, 0}, peerwire.OutcomeUnavailable, controlTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				end := make(chan struct{})
				defer close(end)
				var tries []controlTry
				for _, outcome := range test.members {
					tries = append(tries, func() *peerwire.Result {
						if outcome == 0 {
							<-end
						}
						return &peerwire.Result{Outcome: outcome}
					})
				}
				began := time.Now()
				answer := firstClearAnswer(tries)
				qt.Check(t, answer.Outcome, qt.Equals, test.outcome)
				qt.Check(t, time.Since(began), qt.Equals, test.took)
			})
		})
	}
}
