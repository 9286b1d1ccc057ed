package transport

import (
	"sync/atomic"

	"cresshub/internal/router/peerproto"
)

// Volume counts frames and their bytes.
type Volume struct {
	Frames int64
	Bytes  int64 // headers included, those of TCP and IP not
}

// Plus returns the sum of two volumes.
func (v Volume) Plus(other Volume) Volume {
	return Volume{v.Frames + other.Frames, v.Bytes + other.Bytes}
}

// Minus returns what came to a volume since an earlier one.
func (v Volume) Minus(earlier Volume) Volume {
	return Volume{v.Frames - earlier.Frames, v.Bytes - earlier.Bytes}
}

// Traffic is what the connections of a process carried, by kind of frame.
type Traffic struct {
	Sent     [peerproto.Kinds]Volume
	Received [peerproto.Kinds]Volume
}

// volumeCounter is a Volume that goroutines count up at the same time.
type volumeCounter struct{ frames, bytes atomic.Int64 }

// counters counts the Traffic of a process.
type counters struct {
	sent, received [peerproto.Kinds]volumeCounter
}

// add counts a frame; frames of unknown kinds are counted under 0.
func add(all *[peerproto.Kinds]volumeCounter, frame *peerproto.Frame) {
	kind := frame.Kind
	if kind >= peerproto.Kinds {
		kind = 0
	}
	all[kind].frames.Add(1)
	all[kind].bytes.Add(int64(frame.Size()))
}

func (c *counters) snapshot() Traffic {
	var traffic Traffic
	for kind := range traffic.Sent {
		sent, received := &c.sent[kind], &c.received[kind]
		traffic.Sent[kind] = Volume{sent.frames.Load(), sent.bytes.Load()}
		traffic.Received[kind] = Volume{received.frames.Load(), received.bytes.Load()}
	}
	return traffic
}
