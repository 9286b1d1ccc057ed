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

// healthNetwork reaches servers by their addresses. Each answers a health check with its id; one without an
// id takes connections and says nothing.
type healthNetwork map[string]string

var errNothingThere = errors.New("nothing listens there")

func (h healthNetwork) Listen(string) (net.Listener, error) { return nil, errNothingThere }

func (h healthNetwork) Dial(address string, _ time.Duration) (net.Conn, error) {
	id, ok := h[address]
	if !ok {
		return nil, errNothingThere
	}
	here, there := net.Pipe()
	go answerHealth(there, id)
	return here, nil
}

// answerHealth answers one health check with an id; without one it waits for the caller to give up.
func answerHealth(conn net.Conn, id string) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	if _, err := in.ReadString('\n'); err != nil || id == "" {
		in.ReadByte() // until the caller gives up
		return
	}
	for line := "-"; line != "\r\n"; line, _ = in.ReadString('\n') {
	}
	out := bufio.NewWriter(conn)
	response := http1.Response{Status: 200, Header: http1.Header{{Name: serverIDHeader, Value: id}}}
	response.Write(out)
	out.Flush()
}

// TestUnwatchedServersAreProbedBeforeTheyAreLost has the watcher of four servers vanish: one server answers,
// at the address of one another answers, one does not answer and one does not run.
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
		c.Assert(agent.state.Servers().Service("s"), qt.HasLen, 4, qt.Commentf("they may find another watcher"))

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

// TestUnwatchedServersAreNotLostWithoutAMajority: a hub that reaches no majority is likely to be the one at
// fault.
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

// TestServersThatAnswerRequestsAreNotLost: a server without heartbeats is not lost while it answers requests.
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
