package scheduler

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestPopularPrefixesMayGoToMoreServers(t *testing.T) {
	for _, test := range []struct {
		every   int // one prompt in so many has the name
		servers int
		want    int
	}{
		{1, 12, 12}, {2, 12, 12}, {4, 12, 6}, {16, 12, 2}, {64, 12, 2}, {4, 100, 50}, {1, 1, 1}, {64, 1, 1},
	} {
		var p prefixPopularity
		for i := range 10 * popularityWindow {
			name := uint64(1000 + i)
			if i%test.every == 0 {
				name = 7
			}
			p.record(name)
		}
		qt.Check(t, p.affinityServerCount(7, test.servers), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

func TestPopularityIsUnknownAtFirst(t *testing.T) {
	var p prefixPopularity
	p.record(7)
	qt.Assert(t, p.affinityServerCount(7, 12), qt.Equals, minAffinityServers)
}
