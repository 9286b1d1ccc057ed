package dataplane

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestJudge(t *testing.T) {
	for _, test := range []struct {
		name string
		traits
		want verdict
	}{
		{"a success", traits{status: 200, stamped: true}, pass},
		{"a success without a stamp", traits{status: 200}, unusable},
		{"a success that is encoded", traits{status: 200, stamped: true, encoded: true}, unusable},
		{"an end of unknown kind", traits{status: 200, stamped: true, unsure: true}, unusable},
		{"full", traits{status: 503, notRun: true}, rejected},
		{"too many", traits{status: 429, notRun: true}, rejected},
		{"late", traits{status: 504, notRun: true}, rejected},
		{"another incarnation", traits{status: 421}, misdirected},
		{"another incarnation that says so", traits{status: 421, notRun: true}, misdirected},
		{"a bad request", traits{status: 400, notRun: true}, pass},
		{"503 without a promise", traits{status: 503}, unusable},
		{"429 without a promise", traits{status: 429}, unusable},
		{"408 without a promise", traits{status: 408}, unusable},
		{"its own failure", traits{status: 500}, failed},
		{"its own deadline", traits{status: 504}, failed},
		{"a failure that is encoded", traits{status: 500, encoded: true}, unusable},
		{"not found", traits{status: 404}, pass},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.New(t).Assert(judge(test.traits), qt.Equals, test.want)
		})
	}
}

func TestWhatMayFollow(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		idempotent bool
		worst      fate
		repeat     bool
		status     int // in time
		late       int
	}{
		{true, notSent, true, 503, 503},
		{true, notRun, true, 503, 503},
		{true, mayHaveRun, true, 502, 504},
		{false, notSent, true, 503, 503},
		{false, notRun, true, 503, 503},
		{false, mayHaveRun, false, 502, 504},
	} {
		c.Assert(mayRepeat(test.idempotent, test.worst), qt.Equals, test.repeat)
		c.Assert(finalStatus(test.worst, false), qt.Equals, test.status)
		c.Assert(finalStatus(test.worst, true), qt.Equals, test.late)
	}
}
