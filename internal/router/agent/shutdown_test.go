package agent

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/controlserver"
)

// unreplicatedStore is a configStore that has accepted changes which other members lack until replicated
// closes.
type unreplicatedStore struct {
	noConfigStore
	replicated chan struct{}
}

func (s unreplicatedStore) drained() <-chan struct{} { return s.replicated }

// TestShutdownWaitsForTheHandoff checks that a process that is one of the last replicas keeps running until
// the others have all that it has accepted, or until the deadline.
func TestShutdownWaitsForTheHandoff(t *testing.T) {
	for _, test := range []struct {
		name                          string
		replicatedAfter, grace, waits time.Duration
	}{
		{"the others have it in time", time.Second, 5 * time.Second, time.Second},
		{"the time is over", 9 * time.Second, 5 * time.Second, 5 * time.Second},
		{"the others have it already", 0, 5 * time.Second, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				agent := newTestAgent(t)
				store := unreplicatedStore{replicated: make(chan struct{})}
				agent.configStore = store
				go func() {
					time.Sleep(test.replicatedAfter)
					close(store.replicated)
				}()
				start := time.Now()
				agent.awaitHandoff(start.Add(test.grace))
				qt.Check(t, time.Since(start), qt.Equals, test.waits)
				<-store.replicated
			})
		})
	}
}

// TestShutdownMakesTheProcessUnreadyAtOnce checks that the first readiness check after SIGTERM fails, while
// clients are still served. The platform treats a process as ready if it still reports that four seconds
// after SIGTERM.
func TestShutdownMakesTheProcessUnreadyAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := newTestAgent(t)
		ready := &controlserver.Call{Method: "GET", Path: "/api/ready"}
		ended := make(chan struct{})
		go func() {
			agent.shutdown(&listeners{})
			close(ended)
		}()
		synctest.Wait()
		response := agent.handleReady(ready)
		qt.Check(t, response.Status, qt.Equals, 503)
		qt.Check(t, string(response.Body), qt.Equals, "shutting down\n")
		<-ended
	})
}
