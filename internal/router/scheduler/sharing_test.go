package scheduler

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/catalog"
)

func TestBacklog(t *testing.T) {
	c := qt.New(t)
	var b backlog
	b.set(0, 1000)
	c.Check(b.leftAt(0), near, 1000.0, 1e-6)
	c.Check(b.leftAt(600*time.Millisecond), near, 400.0, 1e-6)
	c.Check(b.leftAt(5*second), near, 250.0, 1e-6, qt.Commentf("a quarter counts until the end is told"))
	b.set(600*time.Millisecond, 1100)
	c.Check(b.leftAt(600*time.Millisecond), near, 500.0, 1e-6, qt.Commentf("new work comes on top"))
	b.set(600*time.Millisecond, 100)
	c.Check(b.leftAt(600*time.Millisecond), near, 100.0, 1e-6, qt.Commentf("no more is left than is under way"))
	b.set(second, 0)
	c.Check(b.leftAt(second), qt.Equals, 0.0)
}

// TestReadersThatOthersFillAreLeft sends prompts that share nothing where other proxies have nothing under
// way.
func TestReadersThatOthersFillAreLeft(t *testing.T) {
	r := prompted("a", 1)
	r.Parts = r.Parts[:1]
	seen := where(10*second, r, Read, func(c *Chooser) {
		var others []Contribution
		for _, s := range c.table.Service(r.Service.Name) {
			if s.Stage == catalog.Reading && s.ID != "r3" {
				others = append(others, Contribution{Server: s.ID, Reading: 2 * second, Calls: 2})
			}
		}
		c.Share(10*second, others, true)
	})
	qt.Check(t, seen, qt.DeepEquals, map[string]int{"r3": 200})
}

// TestWhatOthersToldIsForgotten falls back to figures of servers when other proxies fall silent.
func TestWhatOthersToldIsForgotten(t *testing.T) {
	c := settled(1, 7, 11)
	c.Share(10*second, nil, true)
	_, ok := c.sharedAge(10*second + sharedLife)
	qt.Check(t, ok, qt.IsTrue)
	_, ok = c.sharedAge(10*second + sharedLife + 1)
	qt.Check(t, ok, qt.IsFalse)
}

// TestChangesAreToldOnce tells each server at which something began or ended since the last time.
func TestChangesAreToldOnce(t *testing.T) {
	c := qt.New(t)
	chooser := settled(1, 7, 11)
	chooser.Changes(false)
	call := chooser.Choose(10*second, prompted("a", 1), Read, nil)
	changes := chooser.Changes(false)
	c.Assert(changes, qt.HasLen, 1)
	c.Check(changes[0].Server, qt.Equals, call.Server.ID)
	c.Check(changes[0].Calls, qt.Equals, 1)
	c.Check(changes[0].Reading > 0, qt.IsTrue)
	c.Check(chooser.Changes(false), qt.HasLen, 0)
	c.Check(chooser.Changes(true), qt.HasLen, 1)
	chooser.Done(11*second, call, Served)
	c.Check(chooser.Changes(false), qt.DeepEquals, []Contribution{{call.Server.ID, 0, 0}})
}

// TestColdPromptsGoToTheShorterQueue: where no server holds what a prompt shares, the first rank has no
// advantage; once another proxy has told that a server was sent it, that one has.
func TestColdPromptsGoToTheShorterQueue(t *testing.T) {
	c := qt.New(t)
	r := prompted("a", 1)
	order := ranks(settled(1, 7, 11), r)
	busy := []Contribution{{Server: order[0], Reading: second, Calls: 1}}
	know := func(chooser *Chooser) {
		chooser.KnowHolders(10 * second)
		chooser.Share(10*second, busy, true)
	}
	seen := where(10*second, r, Read, know)
	c.Check(seen, qt.DeepEquals, map[string]int{order[1]: 200})
	name, _, _ := func() (uint64, int, bool) { p := newPrompt(r); return p.shared() }()
	seen = where(10*second, r, Read, func(chooser *Chooser) {
		know(chooser)
		chooser.NoteNewPrompts([]NewPrompts{{order[0], []uint64{name}}})
	})
	c.Check(seen, qt.DeepEquals, map[string]int{order[0]: 200})
}

// TestNewPromptsAreToldOnce tells of a prompt that was sent to a server for the first time, and not again.
func TestNewPromptsAreToldOnce(t *testing.T) {
	c := qt.New(t)
	chooser := settled(1, 7, 11)
	call := chooser.Choose(10*second, prompted("a", 1), Read, nil)
	told := chooser.TakeNewPrompts()
	c.Assert(told, qt.HasLen, 1)
	c.Check(told[0].Server, qt.Equals, call.Server.ID)
	c.Check(told[0].Names, qt.HasLen, 1)
	chooser.Choose(10*second, prompted("a", 2), Read, nil)
	c.Check(chooser.TakeNewPrompts(), qt.HasLen, 0)
}

// TestMissedNewsAreAssumed takes the first rank to hold a prompt after a time in which others were not heard.
func TestMissedNewsAreAssumed(t *testing.T) {
	c := qt.New(t)
	chooser := settled(1, 7, 11)
	c.Check(chooser.knowsHolders(10*second), qt.IsFalse, qt.Commentf("started after others"))
	chooser.KnowHolders(10 * second)
	chooser.Share(11*second, nil, true)
	c.Check(chooser.knowsHolders(11*second), qt.IsTrue)
	chooser.Share(11*second+2*sharedLife, nil, true)
	c.Check(chooser.knowsHolders(11*second+2*sharedLife), qt.IsFalse)
	late := 11*second + 2*sharedLife + missedLife
	for now := 11*second + 2*sharedLife; now <= late; now += sharedLife {
		chooser.Share(now, nil, false)
	}
	c.Check(chooser.knowsHolders(late), qt.IsTrue)
}

// TestWhatIsKnownOfHoldersIsHandedOn brings a proxy that starts late up to date.
func TestWhatIsKnownOfHoldersIsHandedOn(t *testing.T) {
	c := qt.New(t)
	first, second2 := settled(1, 7, 11), settled(2, 7, 11)
	r := prompted("a", 1)
	call := first.Choose(10*second, r, Read, nil)
	second2.NoteNewPrompts(first.KnownPrompts(100))
	second2.CaughtUp(10 * second)
	c.Check(second2.knowsHolders(10*second), qt.IsTrue)
	chain := newPrompt(prompted("a", 2))
	c.Check(second2.holdings.tokens(call.state.hash, &chain), qt.Equals, 12000)
	c.Check(first.KnownPrompts(0), qt.HasLen, 0)
}

// TestWhatWasToldIsHandedOnBeforeTheFirstDecision hands on what a proxy was told, as after a loss of all
// processes, where it knows the servers and has not had a request yet.
func TestWhatWasToldIsHandedOnBeforeTheFirstDecision(t *testing.T) {
	c := qt.New(t)
	known := settled(1, 7, 11)
	known.Choose(10*second, prompted("a", 1), Read, nil)
	told := known.KnownPrompts(100)
	c.Assert(told, qt.HasLen, 1)

	restarted := New("z1", 2)
	restarted.NoteNewPrompts(told)
	c.Check(restarted.KnownPrompts(100), qt.HasLen, 0, qt.Commentf("no server is known"))
	restarted.Update(10*second, known.table)
	again := restarted.KnownPrompts(100)
	slices.Sort(again[0].Names)
	slices.Sort(told[0].Names)
	c.Check(again, qt.DeepEquals, told)
}
