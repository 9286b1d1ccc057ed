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
	for _, each := range []struct {
		ready  []string
		zone   string
		expect []string
	}{
		{[]string{"a1", "a2", "b1"}, "a", []string{"a1", "a2"}},
		{[]string{"a1", "b1"}, "a", []string{"a1", "a2", "a3"}},
		{[]string{"b1"}, "a", []string{"b1"}},
		{nil, "b", []string{"b1"}},
	} {
		entry := NewEntry(proxies)
		for _, ready := range each.ready {
			entry.misses[ready] = maxMisses - 1
		}
		var got []string
		for attempt := range 4 {
			if front := entry.Choose(each.zone, 7, attempt).Front; !slices.Contains(got, front) {
				got = append(got, front)
			}
		}
		slices.Sort(got)
		c.Check(got, qt.DeepEquals, each.expect, qt.Commentf("%+v", each))
	}
}
