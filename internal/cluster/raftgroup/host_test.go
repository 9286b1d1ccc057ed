package raftgroup

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
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

// testCluster is the hosts of a fleet in this process, with a view that the test changes.
type testCluster struct {
	t     *testing.T
	mu    sync.Mutex
	hosts map[string]*Host
	dirs  map[string]string
	down  map[string]bool // counted as gone in the view
}

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
		NewStateMachine: func(string) StateMachine { return &adder{} }, Log: slog.New(slog.DiscardHandler)})
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
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// add proposes until it succeeds, and returns how often the outcome was unknown: what is proposed again after
// that may count twice.
func (c *testCluster) add(h *Host, x int) (unknown int) {
	c.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		_, err := h.Propose(timeoutContext(c.t), "g", []byte(strconv.Itoa(x)))
		if err == nil {
			return unknown
		}
		if errors.Is(err, ErrUnknown) {
			unknown++
		}
	}
	c.t.Fatal("never proposed")
	return 0
}

func (c *testCluster) read(h *Host) int64 {
	c.t.Helper()
	var err error
	for range 200 {
		var raw json.RawMessage
		if raw, err = h.Read(timeoutContext(c.t), "g", nil); err == nil {
			var n int64
			json.Unmarshal(raw, &n)
			return n
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatalf("never read: %v", err)
	return 0
}

// What is proposed at any member is read at any member, through snapshots, a restart and a replacement.
func TestProposalsSurviveRestartAndReplacement(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c", "d")
	want := int64(0)
	for i := range 120 { // over two snapshots
		cluster.add(cluster.hosts[[]string{"a", "b", "c", "d"}[i%4]], i)
		want += int64(i)
	}
	for name, h := range cluster.hosts {
		if got := cluster.read(h); got != want {
			t.Errorf("%s reads %d, not %d", name, got, want)
		}
	}
	var replicas []string
	for name, h := range cluster.hosts {
		if h.Status("g").Role != RoleNone {
			replicas = append(replicas, name)
		}
	}
	if len(replicas) != 3 {
		t.Fatalf("replicas at %v", replicas)
	}
	cluster.stop(replicas[0], false) // restarts with its disk
	cluster.add(cluster.hosts[replicas[1]], 1000)
	h := cluster.start(replicas[0])
	if got := cluster.read(h); got != want+1000 {
		t.Errorf("after a restart %s reads %d, not %d", replicas[0], got, want+1000)
	}
	cluster.stop(replicas[1], true) // gone for good
	for range 500 {
		n := 0
		for name, h := range cluster.hosts {
			if name != replicas[1] && h.Status("g").Role != RoleNone {
				n++
			}
		}
		if n == 3 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	for name, h := range cluster.hosts {
		if name != replicas[1] && cluster.read(h) != want+1000 {
			t.Errorf("%s lost something after the replacement", name)
		}
	}
}

// A group accepts no proposals without three voters, and is not bootstrapped again by a member that lost its
// disk.
func TestGroupIsBootstrappedOnce(t *testing.T) {
	cluster := newTestCluster(t, "a", "b")
	time.Sleep(time.Second)
	if _, err := cluster.hosts["a"].Propose(timeoutContext(t), "g", []byte("1")); err == nil {
		t.Error("two members accepted a proposal")
	}
	cluster.dirs["c"] = t.TempDir()
	cluster.start("c")
	cluster.add(cluster.hosts["a"], 7)
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
		t.Errorf("the bootstrapper bootstrapped again without its disk: %+v", st)
	}
	for _, name := range others {
		cluster.start(name)
	}
	if got := cluster.read(h); got != 7 {
		t.Errorf("read %d after the bootstrapper lost its disk", got)
	}
}

func TestMalformedFramesAreRejected(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.add(cluster.hosts["a"], 1)
	h := cluster.hosts["b"]
	frame := func(kind byte, body string) []byte {
		out := []byte{0, 0, byte((len(body) + 1) >> 8), byte(len(body) + 1), kind}
		return append(out, body...)
	}
	hello := frame(frameHello, `{"protocol":1,"label":"test","name":"x","id":5}`)
	for what, raw := range map[string][]byte{
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
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if n, err := c.Read(make([]byte, 1)); n > 0 || err == nil {
			t.Errorf("%s: was answered", what)
		}
		c.Close()
	}
	a := h.handleRequest(timeoutContext(t), request{Kind: "propose", Group: "g", From: "stranger"})
	if !strings.Contains(a.Err, "no member") {
		t.Errorf("a proposal of a stranger: %+v", a)
	}
	a = h.handleRequest(timeoutContext(t), request{Kind: "dance", Group: "g"})
	if !strings.Contains(a.Err, "is no call") {
		t.Errorf("an unknown request: %+v", a)
	}
	h.deliver("none", &raftpb.Message{})
	h.deliver("g", &raftpb.Message{}) // to no disk
	if got := cluster.read(h); got != 1 {
		t.Errorf("reads %d", got)
	}
}

func TestOptionsCheckNamesTheWrongSetting(t *testing.T) {
	good := Options{Dir: "x", Replicas: 3, BootstrapExpect: 3, MaxLearnerLag: 1, HeartbeatInterval: 1,
		ElectionTimeout: 2, SnapshotEntries: 1, SnapshotBytes: 1}
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	for says, spoil := range map[string]func(*Options){
		"ledger.replicas": func(o *Options) { o.Replicas = 2 }, "ledger.data": func(o *Options) { o.Dir = "" },
		"ledger.expect":    func(o *Options) { o.BootstrapExpect = 1 },
		"ledger.election":  func(o *Options) { o.ElectionTimeout = 1 },
		"ledger.catch_up":  func(o *Options) { o.MaxLearnerLag = 0 },
		"ledger.snapshot_": func(o *Options) { o.SnapshotBytes = 0 },
	} {
		o := good
		spoil(&o)
		if err := o.Check(); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%v, not %q", err, says)
		}
	}
}
