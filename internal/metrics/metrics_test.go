package metrics

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPageFollowsTheTextFormat checks that a Page describes each name once, escapes label values, and writes
// cumulative buckets.
func TestPageFollowsTheTextFormat(t *testing.T) {
	c := qt.New(t)
	var family CounterFamily
	family.With(Label{"reason", `a "quoted" one`}).Add(2)
	family.With(Label{"reason", "b"}).Add(1)
	family.With(Label{"reason", "b"}).Add(1)
	var durations Histogram
	for _, d := range []time.Duration{0, time.Millisecond, 3 * time.Second, time.Minute} {
		durations.Observe(d)
	}
	page := &Page{}
	page.Counter("calls_total", "Calls.", 7)
	page.Flag("ready", "Whether it is.", true, Label{"zone", "north"}, Label{"kind", "x"})
	page.Family("lost_total", "Lost.", &family)
	page.Histogram("took_seconds", "Time.", &durations)
	text := string(page.Text())
	c.Check(text, qt.Contains, "# HELP calls_total Calls.\n# TYPE calls_total counter\ncalls_total 7\n")
	c.Check(text, qt.Contains, "ready{zone=\"north\",kind=\"x\"} 1\n")
	c.Check(text, qt.Contains, "lost_total{reason=\"a \\\"quoted\\\" one\"} 2\nlost_total{reason=\"b\"} 2\n")
	c.Check(text, qt.Contains, "took_seconds_bucket{le=\"0.001\"} 2\n")
	c.Check(text, qt.Contains, "took_seconds_bucket{le=\"5\"} 3\n")
	c.Check(text, qt.Contains, "took_seconds_bucket{le=\"+Inf\"} 4\n")
	c.Check(text, qt.Contains, "took_seconds_sum 63.001\ntook_seconds_count 4\n")
	c.Check(family.Total(), qt.Equals, int64(4))
}
