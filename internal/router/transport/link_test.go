package transport

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/peerproto"
)

// echo answers each call with its own body, except calls of the kind unanswered.
type echo struct {
	unanswered peerproto.Kind
	peers      chan string
	closed     chan string
}

func (e *echo) Handle(c *Conn, frame peerproto.Frame) {
	e.peers <- c.Peer()
	if frame.Kind != e.unanswered {
		c.Answer(frame, peerproto.KindAck, frame.Body)
	}
}

func (e *echo) Closed(c *Conn) { e.closed <- c.Peer() }

// startEcho starts an echo server and a link to it. It returns the echo, its listener, the link, and the
// states that the link reports.
func startEcho(t *testing.T) (*echo, net.Listener, *Link, chan bool) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	handler := &echo{peerproto.KindPing, make(chan string, 100), make(chan string, 100)}
	endpoint := NewEndpoint(HostNetwork{})
	go endpoint.Serve(listener, handler)
	states := make(chan bool, 100)
	hello := func() []byte { return peerproto.Encode(&peerproto.Hello{ID: "caller"}) }
	link := endpoint.NewLink(listener.Addr().String(), LinkCallbacks{
		Hello:         hello,
		OnStateChange: func(connected bool) { states <- connected },
	})
	t.Cleanup(func() {
		link.Stop()
		listener.Close()
	})
	return handler, listener, link, states
}

func TestCallsAreAnsweredOrTimeOut(t *testing.T) {
	handler, _, link, states := startEcho(t)
	qt.Assert(t, <-states, qt.IsTrue)
	frame, err := link.Call(peerproto.KindUpsert, []byte("body"), time.Minute)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(frame.Body), qt.Equals, "body")
	qt.Assert(t, <-handler.peers, qt.Equals, "caller")
	_, err = link.Call(peerproto.KindPing, nil, time.Millisecond)
	qt.Assert(t, err, qt.Equals, ErrTimeout)
}

func TestLinkReconnects(t *testing.T) {
	handler, _, link, states := startEcho(t)
	qt.Assert(t, <-states, qt.IsTrue)
	link.Reset()
	qt.Assert(t, <-states, qt.IsFalse)
	qt.Assert(t, <-states, qt.IsTrue)
	_, err := link.Call(peerproto.KindUpsert, nil, time.Minute)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, <-handler.closed, qt.Matches, "caller|")
}

func TestCallWithoutConnectionFails(t *testing.T) {
	_, listener, link, states := startEcho(t)
	qt.Assert(t, <-states, qt.IsTrue)
	listener.Close()
	link.Reset()
	qt.Assert(t, <-states, qt.IsFalse)
	_, err := link.Call(peerproto.KindUpsert, nil, time.Minute)
	qt.Assert(t, err, qt.Equals, ErrNotConnected)
}

// TestFullQueueClosesTheConnection sends to a peer that never reads, which must not block the sender. One
// frame is being written while the others fill the queue.
func TestFullQueueClosesTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		defer remote.Close()
		conn := newConn(local, &trafficCounters{})
		ping := peerproto.Frame{Kind: peerproto.KindPing}
		qt.Assert(t, conn.Send(ping), qt.IsTrue)
		synctest.Wait()
		for range queueLength {
			qt.Assert(t, conn.Send(ping), qt.IsTrue)
		}
		qt.Assert(t, conn.Send(ping), qt.IsFalse)
		<-conn.Closed()
	})
}

// TestFramesThatAnswerNoCallAreUnsolicited: OnUnsolicitedFrame gets every frame that answers no call,
// including a feed frame with the id of a pending call.
func TestFramesThatAnswerNoCallAreUnsolicited(t *testing.T) {
	c := qt.New(t)
	var unsolicited []peerproto.Frame
	link := &Link{callbacks: LinkCallbacks{
		OnUnsolicitedFrame: func(frame peerproto.Frame) { unsolicited = append(unsolicited, frame) },
	}}
	id, answer := link.pending.add()
	feed := peerproto.Frame{Kind: peerproto.KindFeed, CallID: id}
	late := peerproto.Frame{Kind: peerproto.KindAck, CallID: id + 1}
	for _, frame := range []peerproto.Frame{feed, late, {Kind: peerproto.KindAck, CallID: id}} {
		link.dispatch(frame)
	}
	c.Assert(unsolicited, qt.DeepEquals, []peerproto.Frame{feed, late})
	c.Assert((<-answer).Kind, qt.Equals, peerproto.KindAck)
}

// TestLinkCallbacksMayBeNil: a link that is only used to send needs no callbacks for received frames and
// states.
func TestLinkCallbacksMayBeNil(*testing.T) {
	link := &Link{}
	link.reportState(true)
	link.dispatch(peerproto.Frame{Kind: peerproto.KindFeed})
	link.reportState(false)
}
