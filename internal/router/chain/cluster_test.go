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

// machine is one node of a cluster with its records in memory.
type machine struct {
	node    *Node
	config  Config
	records [][]byte
	down    bool
	// failing makes the disk refuse records.
	failing bool
	syncs   int
	replies map[uint64]Reply
}

// flight is a message on its way.
type flight struct {
	at time.Duration
	to MemberID
	m  Message
}

// cluster is a set of machines with a network that loses nothing unless a test says so.
type cluster struct {
	c        *qt.C
	now      time.Duration
	machines map[MemberID]*machine
	order    []MemberID
	flights  []flight
	// drop tells which messages are lost.
	drop func(from, to MemberID, m *Message) bool
	// sent counts messages by kind.
	sent    map[Kind]int
	request uint64
}

// newCluster makes machines a, b, c and so on and founds the system with the first members of them.
func newCluster(t testing.TB, machines, members int) *cluster {
	l := &cluster{c: qt.New(t), machines: map[MemberID]*machine{}, sent: map[Kind]int{}}
	var list []Member
	for i := range machines {
		id := MemberID(rune('a' + i))
		l.start(id, string("10.0.0."+fmt.Sprint(i+1)), true, members)
		list = append(list, Member{id, "10.0.0." + fmt.Sprint(i+1)})
	}
	for _, id := range l.order {
		l.machines[id].node.SetContacts(list)
	}
	if members == 0 {
		return l
	}
	if members < 3 {
		l.run(3 * time.Second) // the founder waits for more
	}
	l.do("a", func(n *Node) Effects { return n.Found(l.now, list[:members]) })
	l.run(600 * time.Millisecond)
	return l
}

// start makes a machine with an empty disk.
func (l *cluster) start(id MemberID, address string, first bool, members int) {
	config := Config{
		Self: Member{id, address}, HasDisk: true, FirstStart: first, TargetMembers: members,
		RequiredCopies: 2, Random: rand.New(rand.NewSource(int64(len(l.order)))),
	}
	l.machines[id] = &machine{config: config, replies: map[uint64]Reply{}}
	l.order = append(l.order, id)
	l.boot(id)
}

// boot starts a machine's node from its records.
func (l *cluster) boot(id MemberID) {
	m := l.machines[id]
	node, effects, err := Open(m.config, l.now, m.records)
	l.c.Assert(err, qt.IsNil)
	m.node, m.down = node, false
	l.perform(id, effects)
}

// restart stops a machine and starts it again.
func (l *cluster) restart(id MemberID) {
	contacts := l.machines[id].node.contacts
	l.boot(id)
	l.machines[id].node.SetContacts(contacts)
}

// do makes one step of a node.
func (l *cluster) do(id MemberID, step func(*Node) Effects) {
	l.perform(id, step(l.machines[id].node))
}

// perform carries effects out.
func (l *cluster) perform(id MemberID, effects Effects) {
	m := l.machines[id]
	if len(effects.Persist) > 0 {
		if m.failing {
			l.perform(id, m.node.PersistFailed(l.now))
			return
		}
		m.records = append(m.records, effects.Persist...)
		m.syncs++
	}
	for _, envelope := range effects.Messages {
		l.sent[envelope.Message.Kind]++
		to := envelope.To.ID
		if l.drop == nil || !l.drop(id, to, &envelope.Message) {
			l.flights = append(l.flights, flight{l.now + testDelay, to, envelope.Message})
		}
	}
	for _, reply := range effects.Replies {
		_, twice := m.replies[reply.Request]
		l.c.Assert(twice, qt.IsFalse, qt.Commentf("request %d is answered twice", reply.Request))
		m.replies[reply.Request] = reply
	}
}

// run lets time pass.
func (l *cluster) run(duration time.Duration) {
	for end := l.now + duration; l.now < end; {
		l.now += testDelay
		for len(l.flights) > 0 && l.flights[0].at <= l.now {
			next := l.flights[0]
			l.flights = l.flights[1:]
			if to := l.machines[next.to]; to != nil && !to.down {
				l.do(next.to, func(n *Node) Effects { return n.Receive(l.now, next.m) })
			}
		}
		if l.now%testTick != 0 {
			continue
		}
		for _, id := range l.order {
			if !l.machines[id].down {
				l.do(id, func(n *Node) Effects { return n.Tick(l.now) })
			}
		}
	}
}

// propose asks a node for a write and returns the request's number.
func (l *cluster) propose(at MemberID, expected, version int64, body string) uint64 {
	l.request++
	request := l.request
	l.do(at, func(n *Node) Effects {
		return n.Propose(l.now, request, Proposal{expected, version, []byte(body)})
	})
	return request
}

// confirm asks a node whether a change was committed and returns the request's number.
func (l *cluster) confirm(at MemberID, expected, version int64, body string) uint64 {
	l.request++
	request := l.request
	name := ChangeName{expected, version, digestOfBody([]byte(body))}
	l.do(at, func(n *Node) Effects { return n.Confirm(l.now, request, name) })
	return request
}

// read asks a node for a read and returns the request's number.
func (l *cluster) read(at MemberID) uint64 {
	l.request++
	request := l.request
	l.do(at, func(n *Node) Effects { return n.Read(l.now, request) })
	return request
}

// outcome returns how a request of a node has ended, 0 if it has not.
func (l *cluster) outcome(at MemberID, request uint64) Outcome {
	return l.machines[at].replies[request].Outcome
}

// mustWrite writes and checks that it is applied.
func (l *cluster) mustWrite(at MemberID, expected, version int64, body string) {
	l.c.Helper()
	request := l.propose(at, expected, version, body)
	l.run(100 * time.Millisecond)
	l.c.Assert(l.outcome(at, request), qt.Equals, Applied)
}

// mustRead reads and checks what is answered.
func (l *cluster) mustRead(at MemberID, version int64, body string) {
	l.c.Helper()
	request := l.read(at)
	l.run(100 * time.Millisecond)
	reply := l.machines[at].replies[request]
	l.c.Assert(reply.Outcome, qt.Equals, Applied)
	l.c.Assert(reply.Entry.Version, qt.Equals, version)
	l.c.Assert(string(reply.Entry.Body), qt.Equals, body)
}

// view returns the view that a node knows.
func (l *cluster) view(at MemberID) View { return l.machines[at].node.View() }

// mustChain checks a node's chain.
func (l *cluster) mustChain(at MemberID, chain ...MemberID) {
	l.c.Helper()
	l.c.Assert(l.view(at).Chain, qt.DeepEquals, chain)
}

// cut loses all messages between two groups.
func cut(one, other []MemberID) func(from, to MemberID, m *Message) bool {
	return func(from, to MemberID, _ *Message) bool {
		return slices.Contains(one, from) && slices.Contains(other, to) ||
			slices.Contains(other, from) && slices.Contains(one, to)
	}
}

// loseKind loses all messages of one kind to one receiver.
func loseKind(kind Kind, receiver MemberID) func(from, to MemberID, m *Message) bool {
	return func(_, to MemberID, m *Message) bool { return m.Kind == kind && to == receiver }
}
