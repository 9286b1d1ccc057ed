package agent

import (
	"bufio"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/dataplane"
	"cresshub/internal/router/directory"
)

// healthNetwork connects to servers by their addresses; its values are their ids. Each server answers a
// health check with its id; one with an empty id accepts connections and does not answer.
type healthNetwork map[string]string

var errNoListener = errors.New("nothing listens at the address")

func (h healthNetwork) Listen(string) (net.Listener, error) { return nil, errNoListener }

func (h healthNetwork) Dial(address string, _ time.Duration) (net.Conn, error) {
	id, ok := h[address]
	if !ok {
		return nil, errNoListener
	}
	here, there := net.Pipe()
	go answerHealth(there, id)
	return here, nil
}

// answerHealth answers one health check with an id. If the id is empty, it waits until the caller closes the
// connection.
func answerHealth(conn net.Conn, id string) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	if _, err := in.ReadString('\n'); err != nil || id == "" {
		in.ReadByte() // blocks until the caller closes the connection
		return
	}
	for line := "-"; line != "\r\n"; line, _ = in.ReadString('\n') {
	}
	out := bufio.NewWriter(conn)
	response := http1.Response{Status: 200, Header: http1.Header{{Name: serverIDHeader, Value: id}}}
	response.Write(out)
	out.Flush()
}

// TestUnwatchedServersAreProbedBeforeTheyAreLost: of four servers whose watcher is unknown, only the one that
// answers its probe is not marked lost. At the address of the second, another server answers; the third does
// not answer, and the fourth can't be connected to.
func TestUnwatchedServersAreProbedBeforeTheyAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		agent := newTestAgent(t)
		runClock(t, agent)
		agent.network = healthNetwork{"10.0.0.1:80": "alive", "10.0.0.2:80": "another", "10.0.0.3:80": ""}
		for id, address := range map[string]string{"alive": "10.0.0.1:80", "replaced": "10.0.0.2:80",
			"silent": "10.0.0.3:80", "gone": "10.0.0.4:80"} {
			agent.state.merge(agent.now(), []directory.Record{{Kind: directory.KindServer, ID: id, Sequence: 1,
				State: directory.Ready, Service: "s", Address: address, Watcher: "vanished"}})
		}
		agent.failures.markTimedOut(agent.now(), false)
		synctest.Wait()
		c.Assert(agent.state.Servers().Service("s"), qt.HasLen, 4, qt.Commentf("still time to find a watcher"))

		for range 3 {
			time.Sleep((unwatchedHeartbeats + 1) * agent.settings.HeartbeatInterval)
			agent.failures.markTimedOut(agent.now(), false)
		}
		time.Sleep(probeAttempts * probeTimeout)
		synctest.Wait()
		servers := agent.state.Servers().Service("s")
		c.Assert(servers, qt.HasLen, 1)
		c.Assert(servers[0].ID, qt.Equals, "alive")
	})
}

// TestUnwatchedServersAreNotLostWithoutAMajority: a hub that does not reach a majority marks no unwatched
// server lost, because it is likely to be partitioned itself.
func TestUnwatchedServersAreNotLostWithoutAMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		agent := newTestAgent(t)
		runClock(t, agent)
		agent.state.learnView(2, membersAt(agent.settings.IP, "10.9.0.1", "10.9.0.2"))
		agent.network = healthNetwork{}
		agent.state.merge(agent.now(), []directory.Record{{Kind: directory.KindServer, ID: "a", Sequence: 1,
			State: directory.Ready, Service: "s", Address: "10.0.0.1:80", Watcher: "vanished"}})
		time.Sleep((unwatchedHeartbeats + 1) * agent.settings.HeartbeatInterval)
		agent.failures.markTimedOut(agent.now(), false)
		synctest.Wait()
		c.Assert(agent.state.Servers().Service("s"), qt.HasLen, 1)
	})
}

// answeringWorkload is the workload of a process whose requests servers have just answered.
type answeringWorkload struct{ noWorkload }

func (answeringWorkload) LastSuccess(string) dataplane.LastSuccess {
	return dataplane.LastSuccess{Exists: true}
}

// TestServersThatAnswerRequestsAreNotLost: a server whose heartbeats are missing is not marked lost while it
// answers requests.
func TestServersThatAnswerRequestsAreNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		agent := newTestAgent(t)
		runClock(t, agent)
		agent.handleCall(heartbeat("ready", "1"))
		agent.failures.workload = answeringWorkload{}
		time.Sleep(4 * agent.settings.HeartbeatInterval)
		agent.failures.markTimedOut(agent.now(), false)
		c.Assert(agent.state.Servers().Service("s"), qt.HasLen, 1)
		agent.failures.workload = noWorkload{}
		agent.failures.markTimedOut(agent.now(), false)
		c.Assert(agent.state.Servers().Service("s"), qt.HasLen, 0)
	})
}
