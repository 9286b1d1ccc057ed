package transport

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/peerproto"
)

// TestTrafficIsCountedByKind counts a call and its answer at an endpoint that has both ends.
func TestTrafficIsCountedByKind(t *testing.T) {
	_, _, link, states := start(t)
	qt.Assert(t, <-states, qt.IsTrue)
	_, err := link.Call(peerproto.KindUpsert, []byte("body"), time.Minute)
	qt.Assert(t, err, qt.IsNil)
	frame := peerproto.Frame{Body: []byte("body")}
	want := Volume{Frames: 1, Bytes: int64(frame.Size())}
	traffic := link.endpoint.Traffic()
	qt.Assert(t, traffic.Received[peerproto.KindUpsert], qt.Equals, want)
	qt.Assert(t, traffic.Received[peerproto.KindDone], qt.Equals, want)
	qt.Assert(t, traffic.Sent[peerproto.KindUpsert], qt.Equals, want)
	qt.Assert(t, traffic.Received[peerproto.KindHello].Frames, qt.Equals, int64(1))
	qt.Assert(t, want.Plus(want).Minus(want), qt.Equals, want)
}

func TestFrameOfAnUnknownKindIsCounted(t *testing.T) {
	var c counters
	add(&c.received, &peerproto.Frame{Kind: peerproto.Kinds + 1})
	qt.Assert(t, c.snapshot().Received[0].Frames, qt.Equals, int64(1))
}
