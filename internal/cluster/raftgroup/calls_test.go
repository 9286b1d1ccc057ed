package raftgroup

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"cresshub/internal/cluster/placement"
	"cresshub/internal/connbuffer"
	"cresshub/internal/testbed/nettest"
)

// A proposal whose entry is in the log when its replica stops may still be committed: its outcome is
// unknown. A read that waits just fails.
func TestPendingCallsOfAStoppedReplica(t *testing.T) {
	proposal, read := make(chan outcome, 1), make(chan outcome, 1)
	g := &group{proposals: map[uint64]chan outcome{1: proposal},
		pendingReads: map[uint64]pendingRead{2: {out: read}}}
	g.failPending(ErrStopped)
	if o := <-proposal; !errors.Is(o.err, ErrOutcomeUnknown) {
		t.Errorf("the proposal ends with %v", o.err)
	}
	if o := <-read; !errors.Is(o.err, ErrStopped) {
		t.Errorf("the read ends with %v", o.err)
	}
	if len(g.proposals)+len(g.pendingReads) > 0 {
		t.Error("some still wait")
	}
}

// fakeMember answers requests, and calls received before each response.
func fakeMember(t *testing.T, received func()) (address string) {
	t.Helper()
	raw, err := json.Marshal(response{})
	if err != nil {
		t.Fatal(err)
	}
	return nettest.Listen(t, func(c *connbuffer.Conn) {
		for {
			kind, _, err := readFrame(c.In, maxFrameSize)
			if err != nil {
				return
			}
			if kind == frameRequest {
				received()
				_ = writeFrame(c.Conn, frameResponse, raw)
			}
		}
	})
}

// heldConn holds its second deadline until release is closed, as where its goroutine is scheduled late.
type heldConn struct {
	net.Conn
	deadlines atomic.Int32
	release   chan struct{}
}

func (c *heldConn) SetDeadline(t time.Time) error {
	if c.deadlines.Add(1) == 2 {
		<-c.release
	}
	return c.Conn.SetDeadline(t)
}

// heldDialer opens such connections.
type heldDialer struct{ release chan struct{} }

func (d heldDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return &heldConn{Conn: conn, release: d.release}, err
}

// A call that is cancelled just as its response comes leaves no connection on which its late deadline could
// end the next call.
func TestCancelledCallLeavesNoDeadline(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	address := fakeMember(t, cancel)
	release := make(chan struct{})
	n := &network{host: &Host{store: &store{id: 1}}, idleConns: map[string][]net.Conn{},
		conns: map[net.Conn]bool{}, dialer: heldDialer{release}}
	if err := n.call(ctx, address, request{Kind: kindRead}, &response{}); err != nil {
		t.Errorf("the call whose response came: %v", err)
	}
	if kept := len(n.idleConns[address]); kept > 0 {
		t.Errorf("%d connections are kept", kept)
	}
	close(release)
	if err := n.call(t.Context(), address, request{Kind: kindRead}, &response{}); err != nil {
		t.Errorf("the next call: %v", err)
	}
	if kept := len(n.idleConns[address]); kept != 1 {
		t.Errorf("%d connections are kept of a call that was not cancelled", kept)
	}
}

// A Host goes on following the view while it waits for members that do not answer its request for a vote.
func TestHostFollowsTheViewWhileItWaits(t *testing.T) {
	const members = 5 // each of which it waits for in turn, for ElectionTimeout
	requested := make(chan struct{}, members)
	silent := nettest.Listen(t, func(c *connbuffer.Conn) {
		for {
			kind, _, err := readFrame(c.In, maxFrameSize)
			if err != nil {
				return
			}
			if kind == frameRequest {
				requested <- struct{}{}
			}
		}
	})
	h, err := Open(Options{Name: "a", Bind: "127.0.0.1:0", Dir: t.TempDir(), Label: "test", Replicas: 3,
		BootstrapExpect: 3, MaxLearnerLag: 20, HeartbeatInterval: 50 * time.Millisecond,
		ElectionTimeout: 5 * viewInterval, GoneAfter: time.Hour, SnapshotEntries: 50, SnapshotBytes: 1 << 20,
		Groups: []string{"g"}, Log: slog.New(slog.DiscardHandler),
		NewStateMachine: func(string) StateMachine { return &adder{} }})
	if err != nil {
		t.Fatal(err)
	}
	peers := []Peer{{Member: placement.Member{Name: "a", ReplicaID: h.ID(), Live: true}, Address: h.Address()}}
	for id := uint64(1); len(peers) < members; id++ { // that rank behind it
		member := placement.Member{Name: fmt.Sprint("z", id), ReplicaID: id, Live: true}
		peer := Peer{Member: member, Address: silent}
		if firstRanked("g", []Peer{peers[0], peer}) == "a" {
			peers = append(peers, peer)
		}
	}
	moved := []Peer{{Member: placement.Member{Name: "new"}, Address: "192.0.2.1:1"}}
	var view atomic.Pointer[[]Peer]
	view.Store(&peers)
	if err := h.Run(func() []Peer { return *view.Load() }); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { h.Close() })
	<-requested
	view.Store(&moved)
	nettest.Until(t, "the new member is known, or all others were waited for", func() bool {
		return h.addressOf("new") != "" || len(requested) == members-2
	})
	if h.addressOf("new") == "" {
		t.Error("the view was not followed meanwhile")
	}
}
