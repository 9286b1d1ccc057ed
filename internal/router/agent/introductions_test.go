package agent

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
)

func membersAt(ips ...string) []peerproto.MemberInfo {
	var members []peerproto.MemberInfo
	for i, ip := range ips {
		members = append(members, peerproto.MemberInfo{ID: fmt.Sprint("m", i), Address: ip})
	}
	return members
}

// TestWhoIsIntroducedTo: a member seeks its seeds and all proxies that it knew and that do not call; another
// process seeks its seeds until these know a view.
func TestWhoIsIntroducedTo(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(t)
	seeds := []string{"127.0.0.1:1", "10.0.0.1:1", "10.0.0.2:1"}
	n.seedList.Store(&seeds)
	n.knownProxies.record(n.now(), []string{"10.0.0.5", "10.0.0.6", "127.0.0.1"})
	n.state.merge(n.now(), []directory.Record{{Kind: directory.KindProxy, ID: "caller", Sequence: 1,
		State: directory.Ready, Address: "10.0.0.5"}})
	n.recordContact("caller")
	announcer := newViewAnnouncer(n)
	c.Check(announcer.targetIPs(), qt.DeepEquals, []string{"10.0.0.1", "10.0.0.2", "10.0.0.6"})

	n.state.learnView(2, membersAt("10.9.0.1"))
	c.Check(announcer.targetIPs(), qt.DeepEquals, []string{"10.0.0.1", "10.0.0.2"})
	announcer.targets["10.0.0.1"] = &announcementTarget{answered: true}
	c.Check(announcer.targetIPs(), qt.DeepEquals, []string{"10.0.0.2"})
}

// TestAMemberWithoutAMajorityIsNotFollowed: it may miss what the others acknowledged meanwhile.
func TestAMemberWithoutAMajorityIsNotFollowed(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(t)
	n.state.setSynced()
	c.Check(n.status().ReachesMajority, qt.IsTrue, qt.Commentf("it is the only member"))
	n.state.learnView(2, membersAt(n.settings.IP, "10.9.0.1", "10.9.0.2"))
	c.Check(n.status().ReachesMajority, qt.IsFalse)
	answering := &hub{ip: "10.9.0.2", state: hubState{lastSeen: 1}}
	n.hubs["10.9.0.2"] = answering
	c.Check(n.status().ReachesMajority, qt.IsTrue)
	answering.state.lastSeen = n.now() - contactTimeout - 1
	c.Check(n.status().ReachesMajority, qt.IsFalse)
}

// TestNothingIsPromisedWithoutAView: a process that started later and knows no view sends servers elsewhere.
func TestNothingIsPromisedWithoutAView(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(t)
	n.state.view = view{}
	c.Check(n.handleCall(heartbeat("ready", "1")).Status, qt.Equals, 503)
	n.settings.FirstStart = true
	c.Check(n.handleCall(heartbeat("ready", "2")).Status, qt.Equals, 200)
	c.Check(n.awaitMajority(0, 0), qt.IsFalse, qt.Commentf("no view, no majority of it"))
}

// TestServersAreSentElsewhereByWhoIsCutOff: what they tell is kept here, but a server that was acknowledged
// would stay with a proxy of which the others hear nothing.
func TestServersAreSentElsewhereByWhoIsCutOff(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(t)
	n.state.learnView(2, membersAt("10.9.0.1", "10.9.0.2", "10.9.0.3"))
	c.Check(n.handleCall(heartbeat("ready", "1")).Status, qt.Equals, 503)
	c.Check(n.state.Servers().Service("s"), qt.HasLen, 1, qt.Commentf("it is known here all the same"))
	n.hubs["10.9.0.1"], n.hubs["10.9.0.2"] = &hub{state: hubState{lastSeen: 1}},
		&hub{state: hubState{lastSeen: 1}}
	c.Check(n.handleCall(heartbeat("ready", "2")).Status, qt.Equals, 200)
}

func TestKnownProxiesAreBounded(t *testing.T) {
	c := qt.New(t)
	k := newKnownProxies()
	for i := range maxKnownProxies + 10 {
		k.record(time.Duration(i), []string{fmt.Sprint("10.0.", i/256, ".", i%256)})
	}
	c.Assert(k.addresses(), qt.HasLen, maxKnownProxies)
	c.Assert(k.addresses()[0], qt.Equals, "10.0.0.10", qt.Commentf("those live last stay"))
	c.Assert(k.takeChanged(), qt.IsTrue)
	k.record(proxyRetention/2, []string{"10.0.0.99"})
	c.Assert(k.takeChanged(), qt.IsFalse)
	k.record(proxyRetention+time.Minute, nil)
	c.Assert(k.addresses(), qt.DeepEquals, []string{"10.0.0.99"})
	c.Assert(k.takeChanged(), qt.IsTrue)
}

// TestKnownProxiesOutliveTheProcess saves addresses and reads them as another process of the machine does.
func TestKnownProxiesOutliveTheProcess(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(t)
	n.settings.DataDir = t.TempDir()
	n.knownProxies.record(n.now(), []string{"10.0.0.5", "10.0.0.6"})
	n.saveProxies()
	next := newTestNode(t)
	next.settings.DataDir = n.settings.DataDir
	next.loadProxies()
	c.Assert(next.knownProxies.addresses(), qt.DeepEquals, []string{"10.0.0.5", "10.0.0.6"})
	c.Assert(next.state.Proxies(), qt.Equals, 2, qt.Commentf("they share the retry budget"))
}
