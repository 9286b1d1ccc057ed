package scheduler

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestPopularPrefixesMayGoToMoreServers(t *testing.T) {
	for _, test := range []struct {
		every   int // one in this many prompts has the prefix
		servers int
		want    int
	}{
		{1, 12, 12}, {2, 12, 12}, {4, 12, 6}, {16, 12, 2}, {64, 12, 2}, {4, 100, 50}, {1, 1, 1}, {64, 1, 1},
	} {
		var p prefixPopularity
		for i := range 10 * popularityWindow {
			prefix := uint64(1000 + i)
			if i%test.every == 0 {
				prefix = 7
			}
			p.record(prefix)
		}
		qt.Check(t, p.affinityServerCount(7, test.servers), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

func TestPopularityIsUnknownAtFirst(t *testing.T) {
	var p prefixPopularity
	p.record(7)
	qt.Assert(t, p.affinityServerCount(7, 12), qt.Equals, minAffinityServers)
}
