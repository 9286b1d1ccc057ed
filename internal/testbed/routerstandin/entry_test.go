package routerstandin

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The platform leaves a proxy out after two misses, and uses all of a zone where fewer than half are ready.
func TestEntryChoosesAmongReadyProxies(t *testing.T) {
	c := qt.New(t)
	proxies := []Proxy{{"a", "a1", "a1"}, {"a", "a2", "a2"}, {"a", "a3", "a3"}, {"b", "b1", "b1"}}
	for _, test := range []struct {
		name   string
		ready  []string
		zone   string
		expect []string
	}{
		{"half of the zone is ready", []string{"a1", "a2", "b1"}, "a", []string{"a1", "a2"}},
		{"fewer than half are ready", []string{"a1", "b1"}, "a", []string{"a1", "a2", "a3"}},
		{"only another zone is ready", []string{"b1"}, "a", []string{"b1"}},
		{"nobody is ready", nil, "b", []string{"b1"}},
	} {
		entry := NewEntry(proxies)
		for _, ready := range test.ready {
			entry.misses[ready] = maxMisses - 1
		}
		var got []string
		for attempt := range 4 {
			if front := entry.Choose(test.zone, 7, attempt).Front; !slices.Contains(got, front) {
				got = append(got, front)
			}
		}
		slices.Sort(got)
		c.Check(got, qt.DeepEquals, test.expect, qt.Commentf("%s", test.name))
	}
}
