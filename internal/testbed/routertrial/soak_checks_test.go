package routertrial

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/testbed/routerstandin"
)

// A broken invariant that the metrics count is a violation, and so are metrics that count none: a metric that
// was renamed in the router alone would blind every soak.
func TestBrokenInvariantInTheMetricsIsAViolation(t *testing.T) {
	const kept = violationsMetric + "check=\"fence_rises\"} 0\n"
	for _, c := range []struct {
		name       string
		page       []byte
		violations int
	}{
		{"no answer", nil, 0},
		{"all kept", []byte("cresshub_clients 3\n" + kept + kept), 0},
		{"one broken", []byte(kept + violationsMetric + "check=\"reads_not_older\"} 2\n" + kept), 1},
		{"a count that ends with 0", []byte(violationsMetric + "check=\"reads_not_older\"} 10\n"), 1},
		{"the metric is gone", []byte("cresshub_clients 3\ncresshub_violations_total{check=\"x\"} 0\n"), 1},
		{"an empty page", []byte{}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &Fleet{Observations: routerstandin.NewObservations(bounds)}
			f.checkInvariantMetrics(&Machine{Name: "front-north-1"}, c.page)
			qt.Assert(t, f.violationsOf(routerstandin.RuleInvariant), qt.Equals, c.violations)
		})
	}
}

// A process that has not released what requests took shows which metric tells so, and a metric that is gone
// counts as one.
func TestLeaksAreDetected(t *testing.T) {
	const (
		released = "cresshub_body_bytes 0\ncresshub_clients 0\n"
		few      = "cresshub_goroutines 40\n"
	)
	for _, c := range []struct{ name, page, want string }{
		{"released", released + few, ""},
		{"a client", "cresshub_body_bytes 0\ncresshub_clients 1\n" + few, "cresshub_clients is 1, 0 is the most"},
		{"goroutines", released + "cresshub_goroutines 201\n", "cresshub_goroutines is 201, 200 is the most"},
		{"a metric that is gone", released, "cresshub_goroutines is 0, 200 is the most"},
	} {
		t.Run(c.name, func(t *testing.T) { qt.Assert(t, leaked([]byte(c.page)), qt.Equals, c.want) })
	}
}
