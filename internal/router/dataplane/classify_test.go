package dataplane

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestClassifyResponse(t *testing.T) {
	for _, test := range []struct {
		name string
		responseTraits
		want responseClass
	}{
		{"a success with a stamp", responseTraits{status: 200, stamped: true}, classForward},
		{"a success without a stamp", responseTraits{status: 200}, classUnusable},
		{"a success with a content coding", responseTraits{status: 200, stamped: true, encoded: true},
			classUnusable},
		{"a success with an uncertain end", responseTraits{status: 200, stamped: true, endUncertain: true},
			classUnusable},
		{"full", responseTraits{status: 503, notRun: true}, classRejected},
		{"too many requests", responseTraits{status: 429, notRun: true}, classRejected},
		{"late", responseTraits{status: 504, notRun: true}, classRejected},
		{"another incarnation", responseTraits{status: 421}, classMisdirected},
		{"another incarnation, with Cresshub-Not-Run", responseTraits{status: 421, notRun: true},
			classMisdirected},
		{"a bad request", responseTraits{status: 400, notRun: true}, classForward},
		{"503 without Cresshub-Not-Run", responseTraits{status: 503}, classUnusable},
		{"429 without Cresshub-Not-Run", responseTraits{status: 429}, classUnusable},
		{"408 without Cresshub-Not-Run", responseTraits{status: 408}, classUnusable},
		{"the server's own failure", responseTraits{status: 500}, classServerError},
		{"the server's own timeout", responseTraits{status: 504}, classServerError},
		{"a failure with a content coding", responseTraits{status: 500, encoded: true}, classUnusable},
		{"not found", responseTraits{status: 404}, classForward},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.New(t).Assert(classify(test.responseTraits), qt.Equals, test.want)
		})
	}
}

func TestRetrySafetyAndFinalStatus(t *testing.T) {
	for _, test := range []struct {
		name                string
		idempotent          bool
		worst               execution
		retryIsSafe         bool
		status              int
		statusAfterDeadline int
	}{
		{"idempotent, not sent", true, notSent, true, 503, 503},
		{"idempotent, not run", true, notRun, true, 503, 503},
		{"idempotent, may have run", true, mayHaveRun, true, 502, 504},
		{"not idempotent, not sent", false, notSent, true, 503, 503},
		{"not idempotent, not run", false, notRun, true, 503, 503},
		{"not idempotent, may have run", false, mayHaveRun, false, 502, 504},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(retryIsSafe(test.idempotent, test.worst), qt.Equals, test.retryIsSafe)
			c.Assert(finalStatus(test.worst, false), qt.Equals, test.status)
			c.Assert(finalStatus(test.worst, true), qt.Equals, test.statusAfterDeadline)
		})
	}
}
