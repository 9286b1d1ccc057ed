package agent

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
)

// membersAt returns members with the ids m0, m1 and so on at the given IPs.
func membersAt(ips ...string) []peerproto.MemberInfo {
	var members []peerproto.MemberInfo
	for i, ip := range ips {
		members = append(members, peerproto.MemberInfo{ID: fmt.Sprint("m", i), Address: ip})
	}
	return members
}

// TestViewIsAnnouncedToSeedsAndProxiesThatDoNotCall: a hub announces the view to its seeds and to the known
// proxies that do not call it; any other process announces it to its seeds until these know a view.
func TestViewIsAnnouncedToSeedsAndProxiesThatDoNotCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		agent := newTestAgent(t)
		seeds := []string{"127.0.0.1:1", "10.0.0.1:1", "10.0.0.2:1"}
		agent.seedList.Store(&seeds)
		agent.knownProxies.record(agent.now(), []string{"10.0.0.5", "10.0.0.6", "127.0.0.1"})
		agent.state.merge(agent.now(), []directory.Record{{Kind: directory.KindProxy, ID: "caller", Sequence: 1,
			State: directory.Ready, Address: "10.0.0.5"}})
		agent.lastSeen.record("caller", agent.now())
		announcer := agent.newViewAnnouncer()
		c.Check(announcer.targetIPs(), qt.DeepEquals, []string{"10.0.0.1", "10.0.0.2", "10.0.0.6"})

		agent.state.learnView(2, membersAt("10.9.0.1"))
		c.Check(announcer.targetIPs(), qt.DeepEquals, []string{"10.0.0.1", "10.0.0.2"})
		announcer.targets["10.0.0.1"] = &announcementTarget{knowsView: true}
		c.Check(announcer.targetIPs(), qt.DeepEquals, []string{"10.0.0.2"})
	})
}

// TestStatusReportsWhetherAMajorityIsReached: a member that does not reach a majority may miss changes that
// the others acknowledge, so its status must say so, and it is not followed.
func TestStatusReportsWhetherAMajorityIsReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		agent := newTestAgent(t)
		agent.state.setSynced()
		c.Check(agent.status.get().ReachesMajority, qt.IsTrue, qt.Commentf("it is the only member"))
		agent.state.learnView(2, membersAt(agent.settings.IP, "10.9.0.1", "10.9.0.2"))
		c.Check(agent.status.get().ReachesMajority, qt.IsFalse)
		answering := &hub{ip: "10.9.0.2", state: hubState{lastSeen: 1}}
		agent.hubs.links["10.9.0.2"] = answering
		c.Check(agent.status.get().ReachesMajority, qt.IsTrue)
		time.Sleep(contactTimeout)
		c.Check(agent.status.get().ReachesMajority, qt.IsTrue)
		time.Sleep(time.Second)
		c.Check(agent.status.get().ReachesMajority, qt.IsFalse)
	})
}

// TestHeartbeatsAreRejectedWithoutAView: a process that knows no view sends servers to other proxies, unless
// it takes part in the first start of the fleet.
func TestHeartbeatsAreRejectedWithoutAView(t *testing.T) {
	c := qt.New(t)
	agent := newTestAgent(t)
	agent.state.view = view{}
	c.Check(agent.handleCall(heartbeat("ready", "1")).Status, qt.Equals, 503)
	agent.settings.FirstStart = true
	c.Check(agent.handleCall(heartbeat("ready", "2")).Status, qt.Equals, 200)
	c.Check(agent.quorum.awaitMajority(0, 0), qt.IsFalse, qt.Commentf("no view, no majority of it"))
}

// TestHeartbeatsAreRejectedWithoutAMajority: a proxy that reaches no majority merges heartbeats, but does not
// acknowledge them. Otherwise servers would stay with a proxy whose changes do not reach the fleet.
func TestHeartbeatsAreRejectedWithoutAMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		agent := newTestAgent(t)
		agent.state.learnView(2, membersAt("10.9.0.1", "10.9.0.2", "10.9.0.3"))
		c.Check(agent.handleCall(heartbeat("ready", "1")).Status, qt.Equals, 503)
		c.Check(agent.state.Servers().Service("s"), qt.HasLen, 1, qt.Commentf("the heartbeat is merged"))
		agent.hubs.links["10.9.0.1"], agent.hubs.links["10.9.0.2"] = &hub{state: hubState{lastSeen: 1}},
			&hub{state: hubState{lastSeen: 1}}
		c.Check(agent.handleCall(heartbeat("ready", "2")).Status, qt.Equals, 200)
	})
}

func TestKnownProxiesAreBounded(t *testing.T) {
	c := qt.New(t)
	proxies := newKnownProxies()
	for i := range maxKnownProxies + 10 {
		proxies.record(time.Duration(i), []string{fmt.Sprint("10.0.", i/256, ".", i%256)})
	}
	c.Assert(proxies.addresses(), qt.HasLen, maxKnownProxies)
	c.Assert(proxies.addresses()[0], qt.Equals, "10.0.0.10", qt.Commentf("the least recently live are evicted"))
	c.Assert(proxies.takeChanged(), qt.IsTrue)
	proxies.record(proxyRetention/2, []string{"10.0.0.99"})
	c.Assert(proxies.takeChanged(), qt.IsFalse)
	proxies.record(proxyRetention+time.Minute, nil)
	c.Assert(proxies.addresses(), qt.DeepEquals, []string{"10.0.0.99"})
	c.Assert(proxies.takeChanged(), qt.IsTrue)
}

// TestKnownProxiesArePersisted: the addresses that one process saves are loaded by the next process of the
// machine.
func TestKnownProxiesArePersisted(t *testing.T) {
	c := qt.New(t)
	agent := newTestAgent(t)
	agent.settings.DataDir = t.TempDir()
	agent.knownProxies.record(agent.now(), []string{"10.0.0.5", "10.0.0.6"})
	agent.persister.saveProxies()
	next := newTestAgent(t)
	next.settings.DataDir = agent.settings.DataDir
	next.persister.loadProxies()
	c.Assert(next.knownProxies.addresses(), qt.DeepEquals, []string{"10.0.0.5", "10.0.0.6"})
	c.Assert(next.state.Proxies(), qt.Equals, 2, qt.Commentf("saved proxies count as sharing the retry budget"))
}
