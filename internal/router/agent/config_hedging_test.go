package agent

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/peerproto"
)

// TestHangingMembersDelayCallsByTheHedgeDelay checks the outcome and the duration of calls in which some
// members hang or are unavailable.
func TestHangingMembersDelayCallsByTheHedgeDelay(t *testing.T) {
	for _, test := range []struct {
		name    string
		members []peerproto.Outcome // 0 for one that hangs
		outcome peerproto.Outcome
		took    time.Duration
	}{
		{"the first answers", []peerproto.Outcome{peerproto.OutcomeAccepted, 0}, peerproto.OutcomeAccepted, 0},
		{"the first hangs", []peerproto.Outcome{0, peerproto.OutcomeConflict},
			peerproto.OutcomeConflict, hedgeDelay},
		{"two hang", []peerproto.Outcome{0, 0, peerproto.OutcomeAccepted}, peerproto.OutcomeAccepted,
			2 * hedgeDelay},
		{"the first is unavailable", []peerproto.Outcome{peerproto.OutcomeUnavailable, peerproto.OutcomeAccepted},
			peerproto.OutcomeAccepted, 0},
		{"all are unavailable", []peerproto.Outcome{peerproto.OutcomeUnavailable, peerproto.OutcomeUnavailable},
			peerproto.OutcomeUnavailable, 0},
		{"all hang", []peerproto.Outcome{0, 0}, peerproto.OutcomeUnavailable, configCallTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				end := make(chan struct{})
				defer close(end)
				var attempts []configAttempt
				for _, outcome := range test.members {
					attempts = append(attempts, func() *peerproto.Result {
						if outcome == 0 {
							<-end
						}
						return &peerproto.Result{Outcome: outcome}
					})
				}
				start := time.Now()
				result := firstDefiniteResult(attempts)
				qt.Check(t, result.Outcome, qt.Equals, test.outcome)
				qt.Check(t, time.Since(start), qt.Equals, test.took)
			})
		})
	}
}
