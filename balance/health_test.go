package balance

import (
	"fmt"
	"testing"
	"time"
)

func TestEjectionAndPanicThreshold(t *testing.T) {
	now := time.Second
	b := newBalancer(t, plainSettings(), now, serverList(4, nil))
	refuseConnections(b, now, 1)
	if servers := b.eligible(now, &request{}); len(servers) != 3 {
		t.Errorf("%d eligible after one refused connection of 4 servers, want 3", len(servers))
	}
	for _, id := range []ServerID{2, 3, 4} {
		for range 3 {
			b.recordHealth(now, b.byID[id], TimedOut)
		}
	}
	// If all reachable servers look unhealthy, the servers are not the cause.
	if servers := b.eligible(now, &request{}); len(servers) != 3 {
		t.Errorf("%d eligible when all others timed out, want 3", len(servers))
	}
}

// A balancer in a partitioned zone can reach only a few of the listed servers. It must use these alone: the
// panic threshold must not make it send attempts to unreachable ones.
func TestUnreachableServersAreNotUsedInPanic(t *testing.T) {
	now := time.Second
	b := newBalancer(t, plainSettings(), now, serverList(5, nil))
	refuseConnections(b, now, 2, 3, 4, 5)
	if servers := b.eligible(now, &request{}); len(servers) != 1 || servers[0].ID != 1 {
		t.Errorf("%d eligible, want only the reachable one", len(servers))
	}
}

func TestHalfOpenServerGetsNoAtMostOnceRequest(t *testing.T) {
	b := newBalancer(t, plainSettings(), 0, serverList(2, nil))
	refuseConnections(b, 0, 1)
	now := time.Minute // the ejection is over, without a success since
	for i := range 30 {
		if to := sendRequest(b, now, fmt.Sprint(i), 1); to != 2 {
			t.Fatalf("an at-most-once request went to half open server %d", to)
		}
	}
}

func TestHalfOpenServerGetsReducedTraffic(t *testing.T) {
	b := newBalancer(t, plainSettings(), 0, serverList(4, nil))
	refuseConnections(b, 0, 1)
	now, got := time.Minute, 0
	for i := range 400 {
		b.byID[1].halfOpen = true // no success yet
		if sendRequest(b, now, fmt.Sprint(i), 0) == 1 {
			got++
		}
	}
	if got == 0 || got > 30 { // 0.1/3.1 of 400 is 13; an equal part would be 100
		t.Errorf("%d of 400 requests went to a half open server", got)
	}
}

// A server that fails to answer one class gets no more requests of it, even before the first timeout, and
// after some timeouts only one at a time. Successes of another class don't change that.
func TestServerUnresponsiveForOneClass(t *testing.T) {
	b := newBalancer(t, plainSettings(), 0, serverList(4, nil))
	now := time.Second
	for i := 0; b.byID[1].classes[1].outstanding == 0; i++ {
		sendRequest(b, now, fmt.Sprint("first", i), 1)
	}
	attempts := func(at time.Duration) (got [2]int) {
		for i := range 200 {
			for class := range got {
				id := fmt.Sprint(at, i, class)
				to := sendRequest(b, at, id, class)
				if to == 1 {
					got[class]++
				}
				if to != 1 || class == 0 {
					b.Outcome(at, Outcome{ID: id, Server: to, Final: true}, nil)
				}
			}
		}
		return got
	}
	// The service time is 40 ms.
	if got := attempts(now + 190*time.Millisecond); got[1] != 0 || got[0] < 10 {
		t.Errorf("sent %v by class while the first attempt is outstanding", got)
	}
	for _, r := range b.requests {
		for i := range r.attempts {
			b.Outcome(now, Outcome{ID: r.ID, Attempt: i, Result: TimedOut, Final: true}, nil)
		}
	}
	class := &b.byID[1].classes[1]
	class.failures, class.ejections, class.ejectedUntil = 3, 1, now+time.Second
	if got := attempts(now + 900*time.Millisecond); got[1] != 0 || got[0] < 10 {
		t.Errorf("sent %v by class after failures", got)
	}
	if got := attempts(now + 2*time.Second); got[1] != 1 {
		t.Errorf("%d attempts at once at a server that failed", got[1])
	}
}

// A server that rejects some requests accepts others. Ejecting it would overload the rest of the fleet.
func TestRejectingServerIsNotEjected(t *testing.T) {
	b := newBalancer(t, plainSettings(), 0, serverList(3, nil))
	to := sendRequest(b, 0, "a", 1)
	again := 0
	for i := range 100 {
		b.Outcome(0, Outcome{ID: "a", Server: to, Result: Rejected, Final: true}, nil)
		id := fmt.Sprint(i)
		next := sendRequest(b, time.Millisecond, id, 1)
		if next == to {
			again++
		}
		b.Outcome(time.Millisecond, Outcome{ID: id, Server: next, Result: Rejected, Final: true}, nil)
	}
	if again < 15 {
		t.Errorf("%d of 100 requests went to a server that rejected one", again)
	}
}

// Eighty proxies that each use an unhealthy server occasionally must not each need three consecutive errors
// to eject it.
func TestOneErrorEjectsWhereProbesAreCostly(t *testing.T) {
	for _, c := range []struct {
		name     string
		settings Settings
		ejected  bool
	}{{"costly probes", costlyProbeSettings(), true}, {"cheap probes", plainSettings(), false}} {
		b := newBalancer(t, c.settings, 0, serverList(10, nil))
		b.recordHealth(0, b.servers[0], Error)
		if ejected := b.servers[0].ejectedUntil > 4*time.Second; ejected != c.ejected {
			t.Errorf("%s: ejected for more than 4 s: %v, want %v", c.name, ejected, c.ejected)
		}
		b.recordHealth(20*time.Second, b.servers[0], Done)
		if b.servers[0].ejectedUntil > 20*time.Second || b.servers[0].halfOpen {
			t.Errorf("%s: still ejected or half open after a success", c.name)
		}
	}
}
