package raftgroup

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"cresshub/internal/cluster/placement"
)

const (
	// waitTimeout bounds each wait of a test. No test result depends on how much of it is used.
	waitTimeout = 60 * time.Second
	// attemptTimeout bounds one call on a group. The call is then repeated, as a message lost on the way gets
	// no response.
	attemptTimeout = 5 * time.Second
)

// adder is a state machine that sums numbers.
type adder struct{ sum, n int64 }

func (a *adder) Apply(_ uint64, data []byte) any {
	x, _ := strconv.ParseInt(string(data), 10, 64)
	a.sum += x
	a.n++
	return a.sum
}
func (a *adder) Read([]byte) (any, error) { return a.sum, nil }
func (a *adder) Snapshot() []byte         { return fmt.Appendf(nil, "%d %d", a.sum, a.n) }
func (a *adder) Restore(b []byte) error {
	_, err := fmt.Sscanf(string(b), "%d %d", &a.sum, &a.n)
	return err
}

// commandCounter is a state machine that counts how often each command was applied, by the command's ID.
type commandCounter struct{ applied map[int]int }

func (m *commandCounter) Apply(_ uint64, data []byte) any {
	id, err := strconv.Atoi(string(data))
	if err != nil {
		panic(err) // the tests propose only IDs
	}
	m.applied[id]++
	return m.applied[id]
}

func (m *commandCounter) Read([]byte) (any, error) { return maps.Clone(m.applied), nil }

func (m *commandCounter) Snapshot() []byte {
	encoded, err := json.Marshal(m.applied)
	if err != nil {
		panic(err) // a map of numbers can be encoded
	}
	return encoded
}

func (m *commandCounter) Restore(encoded []byte) error {
	m.applied = map[int]int{}
	return json.Unmarshal(encoded, &m.applied)
}

// testCluster runs the hosts of a fleet in this process, with a view that the test controls.
type testCluster struct {
	t     *testing.T
	mu    sync.Mutex
	hosts map[string]*Host
	dirs  map[string]string
	down  map[string]bool // members that the view reports as gone
}

// newTestCluster starts hosts with a group whose state machine is a commandCounter.
func newTestCluster(t *testing.T, names ...string) *testCluster {
	t.Helper()
	cluster := &testCluster{t: t, hosts: map[string]*Host{}, dirs: map[string]string{}, down: map[string]bool{}}
	t.Cleanup(func() {
		for _, h := range cluster.hosts {
			h.Close()
		}
	})
	for _, name := range names {
		cluster.dirs[name] = t.TempDir()
		cluster.start(name)
	}
	return cluster
}

func (c *testCluster) start(name string) *Host {
	c.t.Helper()
	h, err := Open(Options{Name: name, Bind: "127.0.0.1:0", Dir: c.dirs[name], Label: "test", Replicas: 3,
		BootstrapExpect: 3, MaxLearnerLag: 20, HeartbeatInterval: 20 * time.Millisecond,
		ElectionTimeout: 200 * time.Millisecond, GoneAfter: time.Hour, SnapshotEntries: 50,
		SnapshotBytes: 1 << 20, Groups: []string{"g"},
		NewStateMachine: func(string) StateMachine { return &commandCounter{applied: map[int]int{}} },
		Log:             slog.New(slog.DiscardHandler)})
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	c.hosts[name] = h
	delete(c.down, name)
	c.mu.Unlock()
	if err := h.Run(c.view); err != nil {
		c.t.Fatal(err)
	}
	return h
}

func (c *testCluster) stop(name string, gone bool) {
	c.mu.Lock()
	h := c.hosts[name]
	c.down[name] = gone
	c.mu.Unlock()
	h.Close()
}

func (c *testCluster) view() []Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Peer
	for name, h := range c.hosts {
		closed := false
		select {
		case <-h.stop:
			closed = true
		default:
		}
		out = append(out, Peer{Address: h.Address(), Member: placement.Member{Name: name, ReplicaID: h.ID(),
			Live: !closed, Gone: c.down[name]}})
	}
	return out
}

func timeoutContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	t.Cleanup(cancel)
	return ctx
}

// readInto decodes the state that a host reads into state, retrying until the read succeeds.
func (c *testCluster) readInto(h *Host, state any) {
	c.t.Helper()
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(20 * time.Millisecond) {
		raw, err := h.Read(timeoutContext(c.t), "g", nil)
		if err == nil {
			if err := json.Unmarshal(raw, state); err != nil {
				c.t.Fatal(err)
			}
			return
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("no read succeeded: %v", err)
		}
	}
}

// commandOutcome is the outcome of a command as reported to its proposer.
type commandOutcome string

const (
	outcomeApplied  commandOutcome = "applied"  // applied exactly once
	outcomeRejected commandOutcome = "rejected" // never applied
	outcomeUnknown  commandOutcome = "unknown"  // applied at most once
)

// proposalTracker records the commands that a test proposes to a cluster of commandCounters. Every proposal
// is a new command with an ID of its own, also if it follows one that failed.
type proposalTracker struct {
	cluster       *testCluster
	outcomes      map[int]commandOutcome // by command ID
	readAsApplied map[int]bool           // commands that an earlier read showed as applied
}

func newProposalTracker(cluster *testCluster) *proposalTracker {
	return &proposalTracker{cluster: cluster, outcomes: map[int]commandOutcome{}, readAsApplied: map[int]bool{}}
}

// proposeUntilApplied proposes commands at a host until one of them is applied.
func (l *proposalTracker) proposeUntilApplied(h *Host) {
	t := l.cluster.t
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		id := len(l.outcomes)
		result, err := h.Propose(timeoutContext(t), "g", []byte(strconv.Itoa(id)))
		switch {
		case err == nil:
			l.outcomes[id] = outcomeApplied
			if string(result) != "1" {
				t.Errorf("command %d was applied %s times according to its response", id, result)
			}
			return
		case errors.Is(err, ErrOutcomeUnknown):
			l.outcomes[id] = outcomeUnknown
		default:
			l.outcomes[id] = outcomeRejected
		}
	}
	t.Fatal("no proposal was applied")
}

// checkAt reads the state at a host and checks that each command was applied as often as its outcome allows,
// and that no command is missing that an earlier read showed as applied.
func (l *proposalTracker) checkAt(name string) {
	t := l.cluster.t
	t.Helper()
	applied := map[int]int{}
	l.cluster.readInto(l.cluster.hosts[name], &applied)
	for id, outcome := range l.outcomes {
		count := applied[id]
		least, most := 0, 1
		switch {
		case outcome == outcomeApplied || l.readAsApplied[id]:
			least = 1
		case outcome == outcomeRejected:
			most = 0
		}
		if count < least || count > most {
			t.Errorf("%s reads command %d, whose outcome was %s, as applied %d times, not %d to %d",
				name, id, outcome, count, least, most)
		}
		l.readAsApplied[id] = l.readAsApplied[id] || count > 0
	}
	for id := range applied {
		if _, proposed := l.outcomes[id]; !proposed {
			t.Errorf("%s reads command %d, which nobody proposed", name, id)
		}
	}
}

// replicasWithout returns the names of the hosts that have a replica of the group, leaving out one host.
func (c *testCluster) replicasWithout(except string) (names []string) {
	for name, h := range c.hosts {
		if name != except && h.Status("g").Role != RoleNone {
			names = append(names, name)
		}
	}
	return names
}

// awaitReplicasWithout waits until three hosts, leaving out one, have a replica, and returns their names.
func (c *testCluster) awaitReplicasWithout(except string) []string {
	c.t.Helper()
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(20 * time.Millisecond) {
		names := c.replicasWithout(except)
		if len(names) == 3 {
			return names
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("replicas at %v, leaving out %q; three were expected", names, except)
		}
	}
}

// Commands proposed at any member are read at every member, across snapshots, a restart and the replacement
// of a replica: each confirmed command was applied once, each rejected one never, and each one of unknown
// outcome at most once.
func TestProposalsSurviveRestartAndReplacement(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	cluster := newTestCluster(t, names...)
	commands := newProposalTracker(cluster)
	for i := range 120 { // enough for two snapshots
		commands.proposeUntilApplied(cluster.hosts[names[i%len(names)]])
	}
	for _, name := range names {
		commands.checkAt(name)
	}
	replicas := cluster.awaitReplicasWithout("")

	restarted, replaced := replicas[0], replicas[1]
	cluster.stop(restarted, false) // it restarts with its disk below
	commands.proposeUntilApplied(cluster.hosts[replaced])
	cluster.start(restarted)
	commands.checkAt(restarted)

	cluster.stop(replaced, true) // gone permanently
	cluster.awaitReplicasWithout(replaced)
	for _, name := range names {
		if name != replaced {
			commands.checkAt(name)
		}
	}
}

// A group accepts no proposals without three voters, and a member that lost its disk does not bootstrap the
// group again.
func TestGroupIsBootstrappedOnce(t *testing.T) {
	cluster := newTestCluster(t, "a", "b")
	time.Sleep(time.Second)
	if _, err := cluster.hosts["a"].Propose(timeoutContext(t), "g", []byte("1")); err == nil {
		t.Error("a fleet of two members accepted a proposal")
	}
	cluster.dirs["c"] = t.TempDir()
	cluster.start("c")
	commands := newProposalTracker(cluster)
	commands.proposeUntilApplied(cluster.hosts["a"])
	bootstrapper := firstRanked("g", livePeers(cluster.view()))
	others := []string{}
	for name := range cluster.hosts {
		cluster.stop(name, false)
		if name != bootstrapper {
			others = append(others, name)
		}
	}
	if err := os.RemoveAll(cluster.dirs[bootstrapper]); err != nil {
		t.Fatal(err)
	}
	h := cluster.start(bootstrapper)
	time.Sleep(time.Second)
	if st := h.Status("g"); st.Role != RoleNone {
		t.Errorf("the bootstrapping member bootstrapped the group again after losing its disk: %+v", st)
	}
	for _, name := range others {
		cluster.start(name)
	}
	commands.checkAt(bootstrapper)
}

func TestMalformedFramesAreRejected(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	commands := newProposalTracker(cluster)
	commands.proposeUntilApplied(cluster.hosts["a"])
	h := cluster.hosts["b"]
	frame := func(kind byte, body string) []byte {
		out := []byte{0, 0, byte((len(body) + 1) >> 8), byte(len(body) + 1), kind}
		return append(out, body...)
	}
	hello := frame(frameHello, `{"protocol":1,"label":"test","name":"x","id":5}`)
	for name, raw := range map[string][]byte{
		"garbage":                       []byte("GET / HTTP/1.1\r\n\r\n"),
		"another fleet":                 frame(frameHello, `{"protocol":1,"label":"other"}`),
		"another protocol":              frame(frameHello, `{"protocol":7,"label":"test"}`),
		"no hello":                      frame(frameRequest, `{}`),
		"an endless frame":              {0xff, 0xff, 0xff, 0xff, frameHello},
		"a truncated request":           append(append([]byte{}, hello...), 0, 0, 1, 0, frameRequest, '{'),
		"a request that doesn't decode": append(append([]byte{}, hello...), frame(frameRequest, "no json")...),
		"a message that does not decode": append(append([]byte{}, hello...),
			frame(frameRaft, "\x01g\xff\xff\xff")...),
		"a truncated message": append(append([]byte{}, hello...), frame(frameRaft, "\xf0g")...),
		"an unknown frame":    append(append([]byte{}, hello...), frame('?', "")...),
	} {
		c, err := net.Dial("tcp", h.Address())
		if err != nil {
			t.Fatal(err)
		}
		c.Write(raw)
		c.(*net.TCPConn).CloseWrite()
		c.SetReadDeadline(time.Now().Add(waitTimeout))
		if n, err := c.Read(make([]byte, 1)); n > 0 || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: got a response, or the connection stayed open: read %d bytes, %v", name, n, err)
		}
		c.Close()
	}
	a := h.handleRequest(timeoutContext(t), request{Kind: "propose", Group: "g", From: "stranger"})
	if !strings.Contains(a.Err, "is not a member") {
		t.Errorf("proposal from a member outside the view: %+v", a)
	}
	a = h.handleRequest(timeoutContext(t), request{Kind: "dance", Group: "g"})
	if !strings.Contains(a.Err, "unknown request kind") {
		t.Errorf("request of an unknown kind: %+v", a)
	}
	h.deliver("none", &raftpb.Message{})
	h.deliver("g", &raftpb.Message{}) // addressed to no replica
	commands.checkAt("b")
}

func TestOptionsCheckNamesTheWrongSetting(t *testing.T) {
	valid := Options{Dir: "x", Replicas: 3, BootstrapExpect: 3, MaxLearnerLag: 1, HeartbeatInterval: 1,
		ElectionTimeout: 2, SnapshotEntries: 1, SnapshotBytes: 1}
	if err := valid.Check(); err != nil {
		t.Fatal(err)
	}
	for setting, invalidate := range map[string]func(*Options){
		"ledger.replicas": func(o *Options) { o.Replicas = 2 }, "ledger.data": func(o *Options) { o.Dir = "" },
		"ledger.expect":    func(o *Options) { o.BootstrapExpect = 1 },
		"ledger.election":  func(o *Options) { o.ElectionTimeout = 1 },
		"ledger.catch_up":  func(o *Options) { o.MaxLearnerLag = 0 },
		"ledger.snapshot_": func(o *Options) { o.SnapshotBytes = 0 },
	} {
		o := valid
		invalidate(&o)
		if err := o.Check(); err == nil || !strings.Contains(err.Error(), setting) {
			t.Errorf("error is %v, which does not name %q", err, setting)
		}
	}
}
