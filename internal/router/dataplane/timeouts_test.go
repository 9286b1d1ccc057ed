package dataplane

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestPrefillTimeoutFollowsTheExpectedTime(t *testing.T) {
	c := qt.New(t)
	c.Assert(prefillTimeout(0, 10*time.Second), qt.Equals, minPrefillTimeout)
	c.Assert(prefillTimeout(time.Second, 10*time.Second), qt.Equals, prefillTimeoutFactor*time.Second)
	c.Assert(prefillTimeout(time.Second, 4*time.Second), qt.Equals, 2*time.Second)
}

func TestResponseTimeoutFollowsTargetAndExpectedTime(t *testing.T) {
	const short, long = 300 * time.Millisecond, time.Second
	for _, test := range []struct {
		name                         string
		target, expected, left, want time.Duration
	}{
		{"the minimum", short, 0, 5 * time.Second, minResponseTimeout},
		{"a multiple of the target", long, 0, 5 * time.Second, responseTimeoutTargetFactor * long},
		{"a multiple of the expected time", short, long, 5 * time.Second, responseTimeoutExpectedFactor * long},
		{"no time for another server", long, 0, 2 * time.Second, 2 * time.Second},
		{"no time for one after the expected time", short, long, 4 * time.Second, 4 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.New(t).Assert(responseTimeout(test.target, test.expected, test.left), qt.Equals, test.want)
		})
	}
}

func TestStreamTimeoutFollowsTheGapTarget(t *testing.T) {
	c := qt.New(t)
	c.Assert(streamTimeout(100*time.Millisecond), qt.Equals, time.Second)
	c.Assert(streamTimeout(400*time.Millisecond), qt.Equals, 1200*time.Millisecond)
}

func TestPrefillTimesFollowTheMean(t *testing.T) {
	c := qt.New(t)
	times := newPrefillTimes()
	c.Assert(times.expected("s"), qt.Equals, time.Duration(0))
	times.record("s", 800*time.Millisecond)
	c.Assert(times.expected("s"), qt.Equals, 800*time.Millisecond)
	times.record("s", 1600*time.Millisecond)
	c.Assert(times.expected("s"), qt.Equals, 900*time.Millisecond)
	c.Assert(times.expected("other"), qt.Equals, time.Duration(0))
}
