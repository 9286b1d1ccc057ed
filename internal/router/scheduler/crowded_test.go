package scheduler

import (
	"testing"
	"time"

	"cresshub/internal/router/catalog"

	qt "github.com/frankban/quicktest"
)

func TestCrowded(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(c *Chooser)
		waits   bool
		free    bool
	}{
		{"idle", func(*Chooser) {}, false, true},
		{"writers full", func(c *Chooser) { tellAll(c, 10*second, catalog.Writing, 60) }, true, false},
		{"readers busy", func(c *Chooser) { tellAll(c, 10*second, catalog.Reading, 2) }, true, true},
		{"one writer free", func(c *Chooser) {
			tellAll(c, 10*second, catalog.Writing, 60)
			c.Told(10*second, "w3", Load{Running: 3, Slots: 32})
		}, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := settled(1, 7, 11)
			test.prepare(c)
			wait, free := c.Crowded(10*second, prompted("a", 1))
			qt.Check(t, wait > time.Millisecond, qt.Equals, test.waits, qt.Commentf("%v", wait))
			qt.Check(t, free, qt.Equals, test.free)
		})
	}
}

func TestCrowdedWithoutServers(t *testing.T) {
	wait, free := New("z0", 1).Crowded(0, &Request{Service: plainService()})
	qt.Check(t, wait, qt.Equals, time.Duration(0))
	qt.Check(t, free, qt.IsFalse)
}

func TestAlternative(t *testing.T) {
	for _, test := range []struct {
		name         string
		servers      int
		prepare      func(c *Chooser, r *Request)
		exists, free bool
	}{
		{"alone", 1, func(*Chooser, *Request) {}, false, false},
		{"another one has a place", 2, func(*Chooser, *Request) {}, true, true},
		{"the other one is full", 2, func(c *Chooser, _ *Request) {
			c.pool(10*second, plainService()).serve = mean{80, 1}
			c.Told(10*second, "a", Load{Running: 4, Waiting: 3, Slots: 4})
			c.Told(10*second, "b", Load{Running: 4, Waiting: 3, Slots: 4})
		}, true, false},
		{"the other one was tried", 2, func(_ *Chooser, r *Request) { r.Tried = []string{"b"} }, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, r := plainChooser(test.servers), &Request{Service: plainService()}
			test.prepare(c, r)
			tried := len(r.Tried)
			exists, free := c.Alternative(10*second, r, "a")
			qt.Check(t, exists, qt.Equals, test.exists)
			qt.Check(t, free, qt.Equals, test.free)
			qt.Check(t, r.Tried, qt.HasLen, tried)
		})
	}
}

func TestCrowdedServiceTimes(t *testing.T) {
	c := plainChooser(2)
	reaches(c, 0, "a", true)
	c.pools["plain"].serve = mean{80, 1}
	for _, id := range []string{"a", "b"} {
		c.Told(10*second, id, Load{Running: 4, Waiting: 3, Slots: 4})
	}
	wait, free := c.Crowded(10*second, &Request{Service: plainService()})
	qt.Check(t, free, qt.IsFalse)
	qt.Check(t, ms(wait), near, 80.0*4/4, 1e-3, qt.Commentf("three before it and its own turn"))
}
