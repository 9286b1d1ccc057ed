package clusterrig

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// A limit counts the time in which this process ran, and an error says for how long it did not.
func TestLimitsCountTheTimeInWhichTheProcessRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errMissing := errors.New("not there")
		never := func() error { return errMissing }
		for _, stalled := range []time.Duration{0, 3 * time.Second} {
			watch := startStopwatch()
			watch.stalled = stalled
			err := watch.poll(context.Background(), time.Second, 10*time.Millisecond, never)
			if took := watch.elapsed(); took < time.Second+stalled || took > 2*time.Second+stalled {
				t.Errorf("it waited for %v", took)
			}
			if !errors.Is(err, errMissing) || !strings.Contains(err.Error(), stalled.String()) {
				t.Error(err)
			}
		}
	})
}
