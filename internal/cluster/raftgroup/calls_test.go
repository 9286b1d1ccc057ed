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

// A proposal whose entry is in the log when its replica stops may still be committed, so its outcome is
// unknown. A waiting read fails with ErrStopped.
func TestPendingCallsWhenReplicaStops(t *testing.T) {
	proposal, read := make(chan outcome, 1), make(chan outcome, 1)
	g := &group{proposals: map[uint64]chan outcome{1: proposal},
		pendingReads: map[uint64]pendingRead{2: {out: read}}}
	g.failPending(ErrStopped)
	if o := <-proposal; !errors.Is(o.err, ErrOutcomeUnknown) {
		t.Errorf("proposal ended with %v, not ErrOutcomeUnknown", o.err)
	}
	if o := <-read; !errors.Is(o.err, ErrStopped) {
		t.Errorf("read ended with %v, not ErrStopped", o.err)
	}
	if len(g.proposals)+len(g.pendingReads) > 0 {
		t.Error("some calls are still pending")
	}
}

// fakeMember listens as a member that answers every request with an empty response, and calls received before
// each response.
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

// delayedDeadlineConn delays its second call of SetDeadline until release is closed, as if the calling
// goroutine were scheduled late.
type delayedDeadlineConn struct {
	net.Conn
	deadlines atomic.Int32
	release   chan struct{}
}

func (c *delayedDeadlineConn) SetDeadline(t time.Time) error {
	if c.deadlines.Add(1) == 2 {
		<-c.release
	}
	return c.Conn.SetDeadline(t)
}

// delayedDeadlineDialer dials connections of type delayedDeadlineConn.
type delayedDeadlineDialer struct{ release chan struct{} }

func (d delayedDeadlineDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return &delayedDeadlineConn{Conn: conn, release: d.release}, err
}

// When a call is cancelled just as its response arrives, its connection must not return to the pool: the
// deadline set by the cancellation could take effect late and end the next call on the connection.
func TestCancelledCallLeavesNoDeadline(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	address := fakeMember(t, cancel)
	release := make(chan struct{})
	n := &network{host: &Host{store: &store{id: 1}}, idleConns: map[string][]net.Conn{},
		conns: map[net.Conn]bool{}, dialer: delayedDeadlineDialer{release}}
	if err := n.call(ctx, address, request{Kind: kindRead}, &response{}); err != nil {
		t.Errorf("call whose response arrived: %v", err)
	}
	if kept := len(n.idleConns[address]); kept > 0 {
		t.Errorf("%d connections of the cancelled call are in the pool", kept)
	}
	close(release)
	if err := n.call(t.Context(), address, request{Kind: kindRead}, &response{}); err != nil {
		t.Errorf("next call: %v", err)
	}
	if kept := len(n.idleConns[address]); kept != 1 {
		t.Errorf("%d connections are in the pool after a call that was not cancelled, not 1", kept)
	}
}

// A Host keeps following the view while it waits for members that don't answer its request for a bootstrap
// vote.
func TestHostFollowsViewWhileAwaitingVotes(t *testing.T) {
	const members = 5 // the Host waits for each of the others in turn, up to ElectionTimeout
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
	for id := uint64(1); len(peers) < members; id++ { // adds members that rank after a
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
	nettest.Until(t, "the new member is known, or all other members were asked", func() bool {
		return h.addressOf("new") != "" || len(requested) == members-2
	})
	if h.addressOf("new") == "" {
		t.Error("the view was not followed while the Host waited for votes")
	}
}
