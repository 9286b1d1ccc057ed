package balance

import (
	"fmt"
	"testing"
	"time"
)

func TestRestartedServerLosesObservations(t *testing.T) {
	now := 50 * time.Second
	b := newBalancer(t, plainSettings(), now, serverList(2, nil))
	s := b.byID[1]
	s.hasReport, s.inFlight, s.failures, s.ejectedUntil = true, 9, 5, now+time.Hour
	b.List(now, ListDelta, []Server{{ID: 1, Rating: 1, Started: now}}, nil)
	if s = b.byID[1]; s.hasReport || s.failures != 0 || s.ejectedUntil != 0 || b.slowStartFactor(now, s) >= 1 {
		t.Errorf("a restarted server has observations of the previous process: %+v", s)
	}
}

func TestDrainTakesEffectImmediately(t *testing.T) {
	b := newBalancer(t, plainSettings(), 0, serverList(2, nil))
	b.List(time.Second, ListDelta, []Server{{ID: 1, Rating: 1, State: Draining}}, nil)
	for i := range 50 {
		if to := sendRequest(b, time.Second, fmt.Sprint(i), 0); to == 1 {
			t.Fatal("sent to a draining server")
		}
	}
}
