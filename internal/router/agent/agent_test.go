package agent

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"cresshub/internal/router/agentsettings"
	"cresshub/internal/router/controlserver"
	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
)

// newTestAgent returns an agent that does not run: it neither listens nor calls other processes. It is the
// only member of the view that it knows.
func newTestAgent(t *testing.T) *Agent {
	t.Helper()
	settings := &agentsettings.Settings{
		Name: "n", IP: "127.0.0.1", Control: "127.0.0.1:1", InnerPorts: [2]int{2, 3},
		HeartbeatInterval: time.Second,
		Seeds:             []string{"127.0.0.1:1"},
	}
	agent, err := New(settings, zerolog.Nop())
	qt.Assert(t, err, qt.IsNil)
	agent.state.learnView(1, []peerproto.MemberInfo{{ID: "m0", Address: settings.IP}})
	return agent
}

// heartbeat returns a heartbeat of server a with a state and a sequence number.
func heartbeat(state string, sequence string) *controlserver.Call {
	return &controlserver.Call{Method: "PUT", Path: serversPath + "a", Body: []byte(
		`{"depot":"s","address":"10.0.0.1:80","bays":4,"state":"` + state + `","postmark":` + sequence + `}`)}
}

// TestLateHeartbeatsChangeNothing checks that a heartbeat with a lower sequence number than the last one, or
// after the deregistration, does not return a server to the table.
func TestLateHeartbeatsChangeNothing(t *testing.T) {
	c := qt.New(t)
	agent := newTestAgent(t)
	c.Assert(agent.handleCall(heartbeat("ready", "1")).Status, qt.Equals, 200)
	c.Assert(agent.state.Servers().Service("s"), qt.HasLen, 1)
	c.Assert(agent.handleCall(heartbeat("draining", "3")).Status, qt.Equals, 200)
	c.Assert(agent.state.Servers().Service("s"), qt.HasLen, 0)
	c.Assert(agent.handleCall(heartbeat("ready", "2")).Status, qt.Equals, 200)
	c.Assert(agent.state.Servers().Service("s"), qt.HasLen, 0, qt.Commentf("a late call"))
	deregister := &controlserver.Call{Method: "DELETE", Path: serversPath + "a"}
	c.Assert(agent.handleCall(deregister).Status, qt.Equals, 200)
	c.Assert(agent.handleCall(heartbeat("ready", "9")).Status, qt.Equals, 200)
	c.Assert(agent.state.Servers().Service("s"), qt.HasLen, 0, qt.Commentf("it has ended"))
}

func TestMalformedCallsAreRejected(t *testing.T) {
	agent := newTestAgent(t)
	for _, test := range []struct {
		name   string
		call   controlserver.Call
		status int
		body   string
	}{
		{"a heartbeat that is no document",
			controlserver.Call{Method: "PUT", Path: serversPath + "a", Body: []byte("{")}, 400, "(?s)document: .*"},
		{"a heartbeat without fields",
			controlserver.Call{Method: "PUT", Path: serversPath + "a", Body: []byte("{}")}, 400,
			"(?s)depot: .*address: .*"},
		{"a server id of two parts", controlserver.Call{Method: "PUT", Path: serversPath + "a/b"}, 404, "(?s).*"},
		{"another method for a server", controlserver.Call{Method: "POST", Path: serversPath + "a"}, 405, "(?s).*"},
		{"a configuration without If-Match",
			controlserver.Call{Method: "PUT", Path: "/api/config", Body: []byte(`{"edition":1}`)}, 400,
			"(?s)If-Match.*"},
		{"another method for the configuration",
			controlserver.Call{Method: "DELETE", Path: "/api/config"}, 405, "(?s).*"},
		{"a read without a member", controlserver.Call{Method: "GET", Path: "/api/config"}, 503, "(?s).*"},
		{"an unknown path", controlserver.Call{Method: "GET", Path: "/api/nothing"}, 404, "(?s).*"},
	} {
		t.Run(test.name, func(t *testing.T) {
			response := agent.handleCall(&test.call)
			qt.Check(t, response.Status, qt.Equals, test.status)
			qt.Check(t, string(response.Body), qt.Matches, test.body)
		})
	}
}

// TestDrainWithoutHubsIsNotAcknowledged checks that a process that reaches no hub does not acknowledge a
// drain: it can't guarantee that all proxies stop sending requests to the server.
func TestDrainWithoutHubsIsNotAcknowledged(t *testing.T) {
	c := qt.New(t)
	agent := newTestAgent(t)
	agent.state.learnView(2, []peerproto.MemberInfo{{ID: "m", Address: "127.0.0.9"}})
	agent.hubs.links["127.0.0.9"] = &hub{ip: "127.0.0.9"}
	c.Assert(agent.quorum.awaitMajority(1, 0), qt.IsFalse)
	agent.hubs.links["127.0.0.9"].state.replicatedOffset = 1
	c.Assert(agent.quorum.awaitMajority(1, 0), qt.IsTrue)
}

// TestFeedContinuesFromAnOffset checks that a follower receives the records after its offset, or a snapshot
// if its offset is unknown.
func TestFeedContinuesFromAnOffset(t *testing.T) {
	c := qt.New(t)
	agent := newTestAgent(t)
	agent.handleCall(heartbeat("ready", "1"))
	first := agent.feeds.next(0, -1)
	c.Assert(first.Records, qt.HasLen, 1)
	agent.handleCall(heartbeat("draining", "2"))
	c.Assert(agent.feeds.hasUpdate(feedPosition{uint64(first.To), 0, first.Epoch}), qt.IsTrue)
	next := agent.feeds.next(uint64(first.To), first.Epoch)
	c.Assert(next.From, qt.Equals, first.To)
	c.Assert(next.Records, qt.HasLen, 1)
	c.Assert(next.Records[0].State, qt.Equals, directory.Draining)
	c.Assert(agent.feeds.next(99, 0).From, qt.Equals, int64(0))
}

// runClock runs the stall clock of an agent that does not run otherwise, until the returned function is
// called or the test ends. From then on the process appears to stall.
func runClock(t *testing.T, agent *Agent) (stall func()) {
	t.Helper()
	done := make(chan struct{})
	go agent.clock.Run(done)
	stall = sync.OnceFunc(func() { close(done) })
	t.Cleanup(stall)
	return stall
}

// TestTimedOutServersAreLostUntilTheirNextHeartbeat checks that a server is marked lost when its heartbeats
// stop, unless this process did not accept heartbeats in that time.
func TestTimedOutServersAreLostUntilTheirNextHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		agent := newTestAgent(t)
		runClock(t, agent)
		agent.handleCall(heartbeat("ready", "1"))
		time.Sleep(time.Duration(2 * maxMissedHeartbeats * float64(agent.settings.HeartbeatInterval)))
		agent.failures.observingSince = agent.now()
		agent.failures.markTimedOut(agent.now(), false)
		c.Assert(agent.state.Servers().Service("s"), qt.HasLen, 1,
			qt.Commentf("the process accepted no heartbeats until now"))
		agent.failures.observingSince = 0
		agent.failures.markTimedOut(agent.now(), false)
		c.Assert(agent.state.Servers().Service("s"), qt.HasLen, 0)
		agent.handleCall(heartbeat("ready", "2"))
		c.Assert(agent.state.Servers().Service("s"), qt.HasLen, 1)
	})
}

// TestStalledProcessLosesNoServer checks that timeouts count only the time in which the process runs. A
// server is not marked lost for the time in which the process stalled, however often that was. It is once the
// process has run for unwatchedTimeout, which servers whose heartbeats it did not answer have to find another
// proxy.
func TestStalledProcessLosesNoServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		agent := newTestAgent(t)
		servers := func() int {
			agent.failures.markTimedOut(agent.now(), false)
			return len(agent.state.Servers().Service("s"))
		}
		timeout := time.Duration(maxMissedHeartbeats * float64(agent.settings.HeartbeatInterval))
		agent.handleCall(heartbeat("ready", "1"))
		for ran := time.Duration(0); ran+300*time.Millisecond < timeout; ran += 300 * time.Millisecond {
			stall := runClock(t, agent)
			time.Sleep(200 * time.Millisecond)
			c.Assert(servers(), qt.Equals, 1)
			stall()
			time.Sleep(2 * time.Second) // the clock counts the first 100 ms of it as running time
			c.Assert(servers(), qt.Equals, 1)
		}
		runClock(t, agent)
		time.Sleep(timeout)
		c.Assert(servers(), qt.Equals, 1, qt.Commentf("it may call another proxy"))
		time.Sleep(agent.failures.unwatchedTimeout() - timeout)
		c.Assert(servers(), qt.Equals, 0)
	})
}

// TestRedirectedServersGetTimeToFindAnotherWatcher checks that a server that was sent to another proxy is
// marked lost only after unwatchedHeartbeats intervals: that its heartbeats stop here is no sign of its loss.
func TestRedirectedServersGetTimeToFindAnotherWatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		agent := newTestAgent(t)
		runClock(t, agent)
		agent.handleCall(heartbeat("ready", "1"))
		agent.state.learnView(2, membersAt(agent.settings.IP, "10.9.0.1", "10.9.0.2"))
		c.Assert(agent.handleCall(heartbeat("ready", "2")).Status, qt.Equals, 503)
		time.Sleep((unwatchedHeartbeats - 1) * agent.settings.HeartbeatInterval)
		agent.failures.markTimedOut(agent.now(), false)
		c.Assert(agent.state.Servers().Service("s"), qt.HasLen, 1)
		time.Sleep(2 * agent.settings.HeartbeatInterval)
		agent.failures.markTimedOut(agent.now(), false)
		c.Assert(agent.state.Servers().Service("s"), qt.HasLen, 0)
	})
}

// TestReportsOfLostServersAreBounded checks the limit of loss reports: a proxy for which many servers fail at
// once is likely to be at fault itself.
func TestReportsOfLostServersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		agent := newTestAgent(t)
		now := agent.now()
		agent.state.update(now, func(d *directory.Directory) {
			for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
				d.Merge(now, directory.Record{Kind: directory.KindServer, ID: id, Sequence: 1, State: directory.Ready,
					Service: "s"})
			}
		})
		for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
			agent.dataplaneState.reportLost(id, "test")
		}
		c.Assert(agent.state.Servers().Service("s"), qt.HasLen, 6-maxLossReports)
	})
}

// TestEarlierProcessOfAMachineIsLost checks that a process is marked lost when another process at its address
// calls. It is not marked ended, as it might be the later of the two and must be able to refute that.
func TestEarlierProcessOfAMachineIsLost(t *testing.T) {
	c := qt.New(t)
	agent := newTestAgent(t)
	now := agent.now()
	proxy := directory.Record{Kind: directory.KindProxy, Sequence: 1, State: directory.Ready,
		Address: "10.0.0.7"}
	agent.state.update(now, func(d *directory.Directory) {
		for _, id := range []string{"old", "new"} {
			proxy.ID = id
			d.Merge(now, proxy)
		}
	})
	agent.failures.markPredecessorsLost("new")
	agent.state.read(func(d *directory.Directory) {
		c.Check(d.Get("old").State, qt.Equals, directory.Lost)
		c.Check(d.Get("new").State, qt.Equals, directory.Ready)
	})
}

// TestOrdersWaitForThePreviousHead checks that a new head sends no orders until those of the previous head
// can't arrive any more.
func TestOrdersWaitForThePreviousHead(t *testing.T) {
	c := qt.New(t)
	agent := newTestAgent(t)
	agent.settings.Bounds.Lease = time.Hour
	var published chainPublisher
	assigner := &roleAssigner{process: agent.process, fence: published.fence, pending: newPendingOrders()}
	c.Check(assigner.maySendOrders(), qt.IsFalse)
	published.headFence.Store(1)
	c.Check(assigner.maySendOrders(), qt.IsTrue, qt.Commentf("the first epoch has no previous head"))
	published.headFence.Store(2)
	c.Check(assigner.maySendOrders(), qt.IsTrue, qt.Commentf("the same head under a higher fence"))
	published.headFence.Store(0)
	c.Check(assigner.maySendOrders(), qt.IsFalse)
	published.headFence.Store(3)
	c.Check(assigner.maySendOrders(), qt.IsFalse, qt.Commentf("another may have been the head meanwhile"))
}

// TestHeartbeatsAreAnsweredInTime checks that heartbeats and deregistrations are answered within the timeout
// of a server, one second, and within the 4 KiB that it reads. An acknowledgement names this proxy for later
// heartbeats, except in the answer to a late heartbeat.
func TestHeartbeatsAreAnsweredInTime(t *testing.T) {
	const acknowledgedWithin, maxAnswerBytes = time.Second, 4 << 10
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		agent := newTestAgent(t)
		agent.settings.Control = "10.0.0.1:8146"
		answer := agent.handleCall(heartbeat("ready", "2"))
		c.Check(answer.Status, qt.Equals, 200)
		c.Check(string(answer.Body), qt.Equals, `{"forward_to":"10.0.0.1:8146"}`)
		late := agent.handleCall(heartbeat("ready", "1"))
		c.Check(late.Status, qt.Equals, 200)
		c.Check(string(late.Body), qt.Equals, "{}")

		agent.state.learnView(2, membersAt(agent.settings.IP, "10.9.0.1", "10.9.0.2"))
		for _, ip := range []string{"10.9.0.1", "10.9.0.2"} { // they respond but replicate nothing
			agent.hubs.links[ip] = &hub{ip: ip}
			agent.hubs.links[ip].state.lastSeen = agent.now() + 1
		}
		for _, call := range []*controlserver.Call{heartbeat("draining", "3"),
			{Method: "DELETE", Path: serversPath + "a"}} {
			start := time.Now()
			answer := agent.handleCall(call)
			c.Check(answer.Status, qt.Equals, 503)
			c.Check(time.Since(start) < acknowledgedWithin, qt.IsTrue)
			c.Check(len(answer.Body) <= maxAnswerBytes, qt.IsTrue)
		}
	})
}
