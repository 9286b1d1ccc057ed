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
		prepare func(c *Scheduler)
		waits   bool
		free    bool
	}{
		{"idle", func(*Scheduler) {}, false, true},
		{"writers full", func(c *Scheduler) { reportAll(c, 10*second, catalog.Decode, 60) }, true, false},
		{"readers busy", func(c *Scheduler) { reportAll(c, 10*second, catalog.Prefill, 2) }, true, true},
		{"one writer free", func(c *Scheduler) {
			reportAll(c, 10*second, catalog.Decode, 60)
			c.ObserveLoad(10*second, "w3", Load{Running: 3, Slots: 32})
		}, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := warmScheduler(1, 7, 11)
			test.prepare(c)
			wait, free := c.QueueDelay(10*second, prompted("a", 1))
			qt.Check(t, wait > time.Millisecond, qt.Equals, test.waits, qt.Commentf("%v", wait))
			qt.Check(t, free, qt.Equals, test.free)
		})
	}
}

func TestCrowdedWithoutServers(t *testing.T) {
	wait, free := New("z0", 1).QueueDelay(0, &Request{Service: plainService()})
	qt.Check(t, wait, qt.Equals, time.Duration(0))
	qt.Check(t, free, qt.IsFalse)
}

func TestAlternative(t *testing.T) {
	for _, test := range []struct {
		name         string
		servers      int
		prepare      func(c *Scheduler, r *Request)
		exists, free bool
	}{
		{"alone", 1, func(*Scheduler, *Request) {}, false, false},
		{"another one has a place", 2, func(*Scheduler, *Request) {}, true, true},
		{"the other one is full", 2, func(c *Scheduler, _ *Request) {
			c.pool(10*second, plainService()).plainTime = movingMean{80, 1}
			c.ObserveLoad(10*second, "a", Load{Running: 4, Waiting: 3, Slots: 4})
			c.ObserveLoad(10*second, "b", Load{Running: 4, Waiting: 3, Slots: 4})
		}, true, false},
		{"the other one was tried", 2, func(_ *Scheduler, r *Request) { r.Excluded = []string{"b"} }, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, r := plainScheduler(test.servers), &Request{Service: plainService()}
			test.prepare(c, r)
			tried := len(r.Excluded)
			exists, free := c.Alternative(10*second, r, "a")
			qt.Check(t, exists, qt.Equals, test.exists)
			qt.Check(t, free, qt.Equals, test.free)
			qt.Check(t, r.Excluded, qt.HasLen, tried)
		})
	}
}

func TestCrowdedServiceTimes(t *testing.T) {
	c := plainScheduler(2)
	countRequestsTo(c, 0, "a", true)
	c.pools["plain"].plainTime = movingMean{80, 1}
	for _, id := range []string{"a", "b"} {
		c.ObserveLoad(10*second, id, Load{Running: 4, Waiting: 3, Slots: 4})
	}
	wait, free := c.QueueDelay(10*second, &Request{Service: plainService()})
	qt.Check(t, free, qt.IsFalse)
	qt.Check(t, ms(wait), isNear, 80.0*4/4, 1e-3, qt.Commentf("three before it and its own turn"))
}
