package agent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRequestsAreAbortedInTheLastSixthOfTheGracePeriod checks the plans for many grace periods: requests that
// a server is still processing are aborted only in the last sixth, as the operators require, and the process
// ends before it is killed.
func TestRequestsAreAbortedInTheLastSixthOfTheGracePeriod(t *testing.T) {
	c := qt.New(t)
	for grace := time.Second; grace <= time.Minute; grace += 500 * time.Millisecond {
		plan := planShutdown(grace)
		comment := qt.Commentf("grace %v: %+v", grace, plan)
		c.Check(plan.abortRequestsAt > grace*5/6, qt.IsTrue, comment)
		c.Check(plan.closeListenerAt < plan.abortRequestsAt, qt.IsTrue, comment)
		c.Check(plan.finalResponsesBy > plan.abortRequestsAt, qt.IsTrue, comment)
		c.Check(plan.announceTimeout > 0, qt.IsTrue, comment)
		c.Check(plan.finalResponsesBy+plan.announceTimeout < grace, qt.IsTrue, comment)
	}
}
