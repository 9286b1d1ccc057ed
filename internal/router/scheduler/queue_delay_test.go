package scheduler

import (
	"testing"
	"time"

	"cresshub/internal/router/catalog"

	qt "github.com/frankban/quicktest"
)

func TestQueueDelay(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(scheduler *Scheduler)
		waits   bool
		free    bool
	}{
		{"idle", func(*Scheduler) {}, false, true},
		{"decode servers full", func(scheduler *Scheduler) {
			reportAll(scheduler, 10*second, catalog.Decode, 60)
		}, true, false},
		{"prefill servers busy", func(scheduler *Scheduler) {
			reportAll(scheduler, 10*second, catalog.Prefill, 2)
		}, true, true},
		{"one decode server free", func(scheduler *Scheduler) {
			reportAll(scheduler, 10*second, catalog.Decode, 60)
			scheduler.ObserveLoad(10*second, "w3", Load{Running: 3, Slots: 32})
		}, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			scheduler := warmScheduler(1, 7, 11)
			test.prepare(scheduler)
			delay := scheduler.QueueDelay(10*second, promptRequest("a", 1))
			qt.Check(t, delay.Wait > time.Millisecond, qt.Equals, test.waits, qt.Commentf("%v", delay.Wait))
			qt.Check(t, delay.HasFreeSlot, qt.Equals, test.free)
		})
	}
}

func TestQueueDelayWithoutServers(t *testing.T) {
	delay := New("z0", 1).QueueDelay(0, &Request{Service: plainService()})
	qt.Check(t, delay.Wait, qt.Equals, time.Duration(0))
	qt.Check(t, delay.HasFreeSlot, qt.IsFalse)
}

func TestAlternative(t *testing.T) {
	for _, test := range []struct {
		name         string
		servers      int
		prepare      func(scheduler *Scheduler, r *Request)
		exists, free bool
	}{
		{"alone", 1, func(*Scheduler, *Request) {}, false, false},
		{"another one has a free slot", 2, func(*Scheduler, *Request) {}, true, true},
		{"the other one is full", 2, func(scheduler *Scheduler, _ *Request) {
			scheduler.pool(10*second, plainService()).plainServiceTime = movingMean{80, 1}
			scheduler.ObserveLoad(10*second, "a", Load{Running: 4, Waiting: 3, Slots: 4})
			scheduler.ObserveLoad(10*second, "b", Load{Running: 4, Waiting: 3, Slots: 4})
		}, true, false},
		{"the other one is excluded", 2, func(_ *Scheduler, r *Request) {
			r.Excluded = []string{"b"}
		}, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			scheduler, r := plainScheduler(test.servers), &Request{Service: plainService()}
			test.prepare(scheduler, r)
			excluded := len(r.Excluded)
			alternative := scheduler.Alternative(10*second, r, "a")
			qt.Check(t, alternative.Exists, qt.Equals, test.exists)
			qt.Check(t, alternative.HasFreeSlot, qt.Equals, test.free)
			qt.Check(t, r.Excluded, qt.HasLen, excluded)
		})
	}
}

func TestQueueDelayCountsServiceTimes(t *testing.T) {
	scheduler := plainScheduler(2)
	countRequestsTo(scheduler, 0, "a", true)
	scheduler.pools["plain"].plainServiceTime = movingMean{80, 1}
	for _, id := range []string{"a", "b"} {
		scheduler.ObserveLoad(10*second, id, Load{Running: 4, Waiting: 3, Slots: 4})
	}
	delay := scheduler.QueueDelay(10*second, &Request{Service: plainService()})
	qt.Check(t, delay.HasFreeSlot, qt.IsFalse)
	qt.Check(t, ms(delay.Wait), isNear, 80.0*4/4, 1e-3, qt.Commentf("the fourth to wait for one of four slots"))
}

func TestRequestStartsWithinADelay(t *testing.T) {
	for _, test := range []struct {
		delay SlotDelay
		left  time.Duration
		want  bool
	}{
		{SlotDelay{Wait: time.Second}, 2 * time.Second, true},
		{SlotDelay{Wait: time.Second}, time.Second, false},
		{SlotDelay{Wait: time.Minute, HasFreeSlot: true}, time.Second, true},
		{SlotDelay{}, -time.Second, false},
	} {
		qt.Check(t, test.delay.StartsWithin(test.left), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}
