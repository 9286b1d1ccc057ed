package transport

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/peerproto"
)

// TestTrafficIsCountedByKind counts a call and its answer at an endpoint that is both caller and callee.
func TestTrafficIsCountedByKind(t *testing.T) {
	_, _, link, states := startEcho(t)
	qt.Assert(t, <-states, qt.IsTrue)
	_, err := link.Call(peerproto.KindUpsert, []byte("body"), time.Minute)
	qt.Assert(t, err, qt.IsNil)
	frame := peerproto.Frame{Body: []byte("body")}
	want := Volume{Frames: 1, Bytes: int64(frame.Size())}
	traffic := link.endpoint.Traffic()
	qt.Assert(t, traffic.Received[peerproto.KindUpsert], qt.Equals, want)
	qt.Assert(t, traffic.Received[peerproto.KindAck], qt.Equals, want)
	qt.Assert(t, traffic.Sent[peerproto.KindUpsert], qt.Equals, want)
	qt.Assert(t, traffic.Received[peerproto.KindHello].Frames, qt.Equals, int64(1))
	qt.Assert(t, want.Add(want).Sub(want), qt.Equals, want)
}

func TestUnknownFrameKindsAreCounted(t *testing.T) {
	var c trafficCounters
	c.received.count(&peerproto.Frame{Kind: peerproto.NumKinds + 1})
	qt.Assert(t, c.snapshot().Received[0].Frames, qt.Equals, int64(1))
}

// TestOversizedFrameKeepsTheConnectionOpen: a frame that is too long must not be sent, and must not affect
// the other frames on the connection.
func TestOversizedFrameKeepsTheConnectionOpen(t *testing.T) {
	_, _, link, states := startEcho(t)
	qt.Assert(t, <-states, qt.IsTrue)
	qt.Assert(t, link.Send(peerproto.KindUpsert, make([]byte, peerproto.MaxBody+1)), qt.IsTrue)
	_, err := link.Call(peerproto.KindUpsert, []byte("body"), time.Minute)
	qt.Assert(t, err, qt.IsNil)
	traffic := link.endpoint.Traffic()
	qt.Assert(t, traffic.TooLong, qt.Equals, int64(1))
	qt.Assert(t, traffic.Sent[peerproto.KindUpsert].Frames, qt.Equals, int64(1))
	qt.Assert(t, states, qt.HasLen, 0)
}

// writeObserver is a connection that calls a function before each write.
type writeObserver struct {
	net.Conn
	beforeWrite func()
}

func (o *writeObserver) Write(b []byte) (int, error) {
	o.beforeWrite()
	return o.Conn.Write(b)
}

// TestFramesAreCountedBeforeTheyAreWritten: once a caller has the answer to a frame, the frame must be
// counted.
func TestFramesAreCountedBeforeTheyAreWritten(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	var counters trafficCounters
	counted := make(chan int64, 1)
	conn := newConn(&writeObserver{local, func() {
		counted <- counters.snapshot().Sent[peerproto.KindUpsert].Frames
	}}, &counters)
	defer conn.Close()
	qt.Assert(t, conn.Send(peerproto.Frame{Kind: peerproto.KindUpsert, Body: []byte("body")}), qt.IsTrue)
	qt.Assert(t, <-counted, qt.Equals, int64(1))
}
