package proxystandin

import (
	"fmt"
	"io"
	"testing"
	"time"

	"cresshub/internal/http1"
)

// One request runs, one is queued, the third is rejected unprocessed.
func TestZoneRejectsRequestsWhenQueueIsFull(t *testing.T) {
	z := zone(t, ZoneOptions{MaxQueued: 1, Work: map[string]time.Duration{"rider": time.Hour}})
	for i := range 2 {
		c := dial(t, z.Address())
		go io.Copy(io.Discard, c)
		q := http1.Request{Method: "GET", Target: "/", Header: http1.Header{{Name: "Host", Value: "h"},
			{Name: "X-Request-ID", Value: fmt.Sprint(i)}, {Name: "X-Priority-Class", Value: "rider"}}}
		q.Write(c.Out)
		c.Flush()
		until(t, "the request was counted", func() bool { return z.Counts().Requests == i+1 })
	}
	a := ask(t, dial(t, z.Address()), "/", "third", "rider")
	report := string(ask(t, dial(t, z.Address()), "/stats", "", "").Body)
	if a.Status != 503 || a.Header.Get("X-Not-Processed") != "1" || report != "inflight=2,queue=1,util=1.00" {
		t.Errorf("%d, %s", a.Status, report)
	}
	if ran := z.Runs(); len(ran) > 1 || ran["third"] != 0 {
		t.Errorf("ran: %v", ran)
	}
}

// A violation of each rule that the stand-ins watch is counted.
func TestRuleViolationsAreCounted(t *testing.T) {
	z := zone(t, ZoneOptions{Work: map[string]time.Duration{"rider": time.Millisecond}})
	c := dial(t, z.Address())
	for range 2 {
		ask(t, c, "/", "same", "rider")
	}
	z.RecordDrainNotified(time.Now().Add(-DrainGrace - time.Second))
	ask(t, c, "/", "late", "rider")
	f := &Fleet{started: []*Zone{z, z}} // an id that ran on two servers ran twice
	if n := z.Counts(); n.RanTwice != 1 || n.AfterDrain != 1 || f.RanTwice() != 2 {
		t.Errorf("%+v, over the fleet %d", n, f.RanTwice())
	}
	cold := zone(t, ZoneOptions{Cores: 1, Work: map[string]time.Duration{"a": 50 * time.Millisecond},
		WarmUp: WarmUp{StartFraction: 0.1, Duration: time.Hour, OverloadMultiple: 1, OverloadAfter: time.Hour}})
	cold.started = time.Now()
	now := time.Now()
	cold.overloadWindowStart = now
	for range 3 { // a quarter, a half, and then more than an hour's capacity
		cold.recordArrival(time.Hour, now)
	}
	if n := cold.Counts(); n.Overloaded != 1 {
		t.Errorf("%+v", n)
	}
	if a := ask(t, dial(t, cold.Address()), "/", "x", "a"); a.Status != 503 {
		t.Errorf("an overloaded server answers %d", a.Status)
	}
}
