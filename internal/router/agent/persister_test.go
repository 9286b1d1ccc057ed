package agent

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/scheduler"
)

// prefixWorkload is a Workload whose prefix index a test sets.
type prefixWorkload struct {
	noWorkload
	known []scheduler.CachedPrefixes
}

func (w *prefixWorkload) KnownPrefixes() []scheduler.CachedPrefixes { return w.known }

// TestChangesOfThePrefixIndexAreSaved checks that the prefix index is saved at once if the number of prefixes
// has changed, and after prefixOrderSaveInterval if only the prefixes or their order of use have, as in a
// full index.
func TestChangesOfThePrefixIndexAreSaved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		agent := newTestAgent(t)
		agent.settings.DataDir = t.TempDir()
		workload := &prefixWorkload{}
		agent.persister.workload = workload
		saved := func() []scheduler.CachedPrefixes {
			agent.persister.savePrefixIndex()
			body, err := agent.persister.saved().read(prefixIndexFile)
			c.Assert(err, qt.IsNil)
			var index peerproto.LoadReport
			c.Assert(peerproto.Decode(body, &index), qt.IsNil)
			return decodePrefixes(index.Prefixes)
		}
		first, more, reordered := prefixesAtServer2(1, 2), prefixesAtServer2(1, 2, 3), prefixesAtServer2(2, 3, 1)
		workload.known = first
		c.Check(saved(), qt.DeepEquals, first)
		workload.known = more
		c.Check(saved(), qt.DeepEquals, more)
		workload.known = reordered
		time.Sleep(prefixOrderSaveInterval - time.Millisecond)
		c.Check(saved(), qt.DeepEquals, more)
		time.Sleep(time.Millisecond)
		c.Check(saved(), qt.DeepEquals, reordered)
	})
}
