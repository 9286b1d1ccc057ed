package chain

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	testDelay = time.Millisecond
	testTick  = 10 * time.Millisecond
)

// machine is one machine of a test cluster: a node with its records in memory.
type machine struct {
	node    *Node
	config  Config
	records [][]byte
	down    bool
	// failing makes the disk fail to persist records.
	failing bool
	// syncs counts the steps whose records were persisted.
	syncs int
	// replies are the replies to the node's requests, by request number.
	replies map[uint64]Reply
}

// transit is a message in transit.
type transit struct {
	at      time.Duration // arrival in virtual time
	to      MemberID
	message Message
}

// testCluster is a set of machines, connected by a network that loses messages only if a test sets drop.
type testCluster struct {
	c        *qt.C
	now      time.Duration // virtual time
	machines map[MemberID]*machine
	// order lists the machines in the order in which they were started.
	order []MemberID
	// inTransit are the messages in transit, in the order of their arrival.
	inTransit []transit
	// drop reports whether a message is lost; if nil, none is.
	drop func(from, to MemberID, m *Message) bool
	// sent counts the sent messages by kind.
	sent map[Kind]int
	// lastRequest is the number of the latest request.
	lastRequest uint64
}

// newCluster starts machines a, b, c and so on, and bootstraps a chain with the given number of them as
// members.
func newCluster(t *testing.T, machines, members int) *testCluster {
	t.Helper()
	cluster := &testCluster{c: qt.New(t), machines: map[MemberID]*machine{}, sent: map[Kind]int{}}
	var list []Member
	for i := range machines {
		id := MemberID(rune('a' + i))
		cluster.start(id, fmt.Sprint("10.0.0.", i+1), true, members)
		list = append(list, Member{id, fmt.Sprint("10.0.0.", i+1)})
	}
	for _, id := range cluster.order {
		cluster.machines[id].node.SetContacts(list)
	}
	if members == 0 {
		return cluster
	}
	if members < 3 {
		cluster.run(3 * time.Second) // the bootstrapping node waits for more members
	}
	cluster.do("a", func(n *Node) Effects { return n.Bootstrap(cluster.now, list[:members]) })
	cluster.run(600 * time.Millisecond)
	return cluster
}

// start adds a machine with an empty disk and starts its node.
func (tc *testCluster) start(id MemberID, address string, allowBootstrap bool, targetMembers int) {
	config := Config{
		Self: Member{id, address}, HasDisk: true, AllowBootstrap: allowBootstrap, TargetMembers: targetMembers,
		RequiredReplicas: 2, Random: rand.New(rand.NewSource(int64(len(tc.order)))),
	}
	tc.machines[id] = &machine{config: config, replies: map[uint64]Reply{}}
	tc.order = append(tc.order, id)
	tc.boot(id)
}

// boot starts a machine's node with the state in its records.
func (tc *testCluster) boot(id MemberID) {
	machine := tc.machines[id]
	node, effects, err := Open(machine.config, tc.now, machine.records)
	tc.c.Assert(err, qt.IsNil)
	machine.node, machine.down = node, false
	tc.perform(id, effects)
}

// restart replaces a machine's node with one restored from its records, which keeps the contacts.
func (tc *testCluster) restart(id MemberID) {
	contacts := tc.machines[id].node.contacts
	tc.boot(id)
	tc.machines[id].node.SetContacts(contacts)
}

// do runs one step of a node and carries out its effects.
func (tc *testCluster) do(id MemberID, step func(*Node) Effects) {
	tc.perform(id, step(tc.machines[id].node))
}

// perform carries out the effects of a node's step.
func (tc *testCluster) perform(id MemberID, effects Effects) {
	machine := tc.machines[id]
	if len(effects.Persist) > 0 {
		if machine.failing {
			tc.perform(id, machine.node.PersistFailed(tc.now))
			return
		}
		machine.records = append(machine.records, effects.Persist...)
		machine.syncs++
	}
	for _, envelope := range effects.Messages {
		tc.sent[envelope.Message.Kind]++
		to := envelope.To.ID
		if tc.drop == nil || !tc.drop(id, to, &envelope.Message) {
			tc.inTransit = append(tc.inTransit, transit{tc.now + testDelay, to, envelope.Message})
		}
	}
	for _, reply := range effects.Replies {
		_, twice := machine.replies[reply.Request]
		tc.c.Assert(twice, qt.IsFalse, qt.Commentf("request %d was answered twice", reply.Request))
		machine.replies[reply.Request] = reply
	}
}

// run advances the virtual time, delivers messages and calls Tick every testTick.
func (tc *testCluster) run(duration time.Duration) {
	for end := tc.now + duration; tc.now < end; {
		tc.now += testDelay
		for len(tc.inTransit) > 0 && tc.inTransit[0].at <= tc.now {
			next := tc.inTransit[0]
			tc.inTransit = tc.inTransit[1:]
			if to := tc.machines[next.to]; to != nil && !to.down {
				tc.do(next.to, func(n *Node) Effects { return n.Receive(tc.now, next.message) })
			}
		}
		if tc.now%testTick != 0 {
			continue
		}
		for _, id := range tc.order {
			if !tc.machines[id].down {
				tc.do(id, func(n *Node) Effects { return n.Tick(tc.now) })
			}
		}
	}
}

// propose starts a write at a node and returns the request's number.
func (tc *testCluster) propose(at MemberID, expected, version int64, body string) uint64 {
	tc.lastRequest++
	request := tc.lastRequest
	tc.do(at, func(n *Node) Effects {
		return n.Propose(tc.now, request, Proposal{expected, version, []byte(body)})
	})
	return request
}

// confirm asks a node whether a change was committed and returns the request's number.
func (tc *testCluster) confirm(at MemberID, expected, version int64, body string) uint64 {
	tc.lastRequest++
	request := tc.lastRequest
	change := ChangeID{expected, version, digestOfBody([]byte(body))}
	tc.do(at, func(n *Node) Effects { return n.Confirm(tc.now, request, change) })
	return request
}

// read starts a read at a node and returns the request's number.
func (tc *testCluster) read(at MemberID) uint64 {
	tc.lastRequest++
	request := tc.lastRequest
	tc.do(at, func(n *Node) Effects { return n.Read(tc.now, request) })
	return request
}

// outcome returns the outcome of a node's request, 0 if there is none yet.
func (tc *testCluster) outcome(at MemberID, request uint64) Outcome {
	return tc.machines[at].replies[request].Outcome
}

// mustWrite makes a write at a node and checks that it is applied.
func (tc *testCluster) mustWrite(at MemberID, expected, version int64, body string) {
	tc.c.Helper()
	request := tc.propose(at, expected, version, body)
	tc.run(100 * time.Millisecond)
	tc.c.Assert(tc.outcome(at, request), qt.Equals, Applied)
}

// mustRead reads at a node and checks the version and body of the reply.
func (tc *testCluster) mustRead(at MemberID, version int64, body string) {
	tc.c.Helper()
	request := tc.read(at)
	tc.run(100 * time.Millisecond)
	reply := tc.machines[at].replies[request]
	tc.c.Assert(reply.Outcome, qt.Equals, Applied)
	tc.c.Assert(reply.Entry.Version, qt.Equals, version)
	tc.c.Assert(string(reply.Entry.Body), qt.Equals, body)
}

// view returns the view that a node knows.
func (tc *testCluster) view(at MemberID) View { return tc.machines[at].node.View() }

// mustChain checks the chain of the view that a node knows.
func (tc *testCluster) mustChain(at MemberID, chain ...MemberID) {
	tc.c.Helper()
	tc.c.Assert(tc.view(at).Chain, qt.DeepEquals, chain)
}

// partition returns a drop function that loses all messages between two groups of nodes.
func partition(left, right []MemberID) func(from, to MemberID, m *Message) bool {
	return func(from, to MemberID, _ *Message) bool {
		return slices.Contains(left, from) && slices.Contains(right, to) ||
			slices.Contains(right, from) && slices.Contains(left, to)
	}
}

// dropKind returns a drop function that loses all messages of one kind to one receiver.
func dropKind(kind Kind, receiver MemberID) func(from, to MemberID, m *Message) bool {
	return func(_, to MemberID, m *Message) bool { return m.Kind == kind && to == receiver }
}
