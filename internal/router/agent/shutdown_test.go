package agent

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/controlserver"
)

// neededMember keeps a part of the control state that others do not hold until needed closes.
type neededMember struct {
	noConfigStore
	needed chan struct{}
}

func (m neededMember) canStop() <-chan struct{} { return m.needed }

// TestTheEndWaitsForCopiesOfTheControlState: a process that holds one of the last copies goes on until others
// hold them, or its time is over.
func TestTheEndWaitsForCopiesOfTheControlState(t *testing.T) {
	for _, test := range []struct {
		name                  string
		release, grace, waits time.Duration
	}{
		{"others hold it in time", time.Second, 5 * time.Second, time.Second},
		{"the time is over", 9 * time.Second, 5 * time.Second, 5 * time.Second},
		{"nothing is held", 0, 5 * time.Second, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newTestAgent(t)
				member := neededMember{needed: make(chan struct{})}
				a.configStore = member
				go func() {
					time.Sleep(test.release)
					close(member.needed)
				}()
				began := time.Now()
				a.awaitHandoff(began.Add(test.grace))
				qt.Check(t, time.Since(began), qt.Equals, test.waits)
				<-member.needed
			})
		})
	}
}

// TestAProcessThatEndsIsNotReadyAtOnce: the platform counts as ready whoever still says so four seconds after
// the signal to end, so the next question has to be answered with no, while clients are still served.
func TestAProcessThatEndsIsNotReadyAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent(t)
		ready := &controlserver.Call{Method: "GET", Path: "/api/ready"}
		ended := make(chan struct{})
		go func() {
			a.shutdown(&listeners{})
			close(ended)
		}()
		synctest.Wait()
		answer := a.handleReady(ready)
		qt.Check(t, answer.Status, qt.Equals, 503)
		qt.Check(t, string(answer.Body), qt.Equals, "ending\n")
		<-ended
	})
}
