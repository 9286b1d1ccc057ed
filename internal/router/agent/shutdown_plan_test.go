package agent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRequestsAreAbortedInTheLastSixthOfTheGrace: until then the operators require every answer to be
// finished that its server still works on, whatever the grace period; and the process ends before it is
// killed.
func TestRequestsAreAbortedInTheLastSixthOfTheGrace(t *testing.T) {
	c := qt.New(t)
	for grace := time.Second; grace <= time.Minute; grace += 500 * time.Millisecond {
		plan := planShutdown(grace)
		comment := qt.Commentf("grace %v: %+v", grace, plan)
		c.Check(plan.abortRequests > grace*5/6, qt.IsTrue, comment)
		c.Check(plan.closeListener < plan.abortRequests, qt.IsTrue, comment)
		c.Check(plan.finishAnswers > plan.abortRequests, qt.IsTrue, comment)
		c.Check(plan.notice > 0, qt.IsTrue, comment)
		c.Check(plan.finishAnswers+plan.notice < grace, qt.IsTrue, comment)
	}
}
