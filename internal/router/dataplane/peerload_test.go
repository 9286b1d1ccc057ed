package dataplane

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/scheduler"
)

// servedChooser is a fakeChooser that returns the same LastSuccess for each server.
type servedChooser struct {
	*fakeChooser
	lastSuccess scheduler.LastSuccess
}

func (s *servedChooser) LastSuccess(string) scheduler.LastSuccess { return s.lastSuccess }

// The scheduler measures the time of the last success on the Proxy's clock, which other packages cannot read.
// The Proxy converts it to an age.
func TestLastSuccessHasTheAgeOfTheNewestServedCall(t *testing.T) {
	chooser := &servedChooser{fakeChooser: newFakeChooser()}
	locked := newLockedChooser("", &fakeState{}, nil, func() time.Duration { return 5 * time.Second })
	locked.inner = chooser
	proxy := &Proxy{chooser: locked}
	qt.Check(t, proxy.LastSuccess("a"), qt.Equals, LastSuccess{})
	chooser.lastSuccess = scheduler.LastSuccess{Exists: true, At: 3 * time.Second}
	qt.Check(t, proxy.LastSuccess("a"), qt.Equals, LastSuccess{Exists: true, Age: 2 * time.Second})
}
