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

// Add returns the sum of two volumes.
func (v Volume) Add(other Volume) Volume {
	return Volume{v.Frames + other.Frames, v.Bytes + other.Bytes}
}

// Sub returns what came to a volume since an earlier one.
func (v Volume) Sub(earlier Volume) Volume {
	return Volume{v.Frames - earlier.Frames, v.Bytes - earlier.Bytes}
}

// Traffic is what the connections of a process carried, by kind of frame.
type Traffic struct {
	Sent     [peerproto.NumKinds]Volume
	Received [peerproto.NumKinds]Volume
}

// volumeCounter is a Volume that goroutines count up at the same time.
type volumeCounter struct{ frames, bytes atomic.Int64 }

// trafficCounters counts the Traffic of a process.
type trafficCounters struct {
	sent, received [peerproto.NumKinds]volumeCounter
}

// count counts a frame; frames of unknown kinds are counted under 0.
func count(counts *[peerproto.NumKinds]volumeCounter, frame *peerproto.Frame) {
	kind := frame.Kind
	if kind >= peerproto.NumKinds {
		kind = 0
	}
	counts[kind].frames.Add(1)
	counts[kind].bytes.Add(int64(frame.Size()))
}

func (c *trafficCounters) snapshot() Traffic {
	var traffic Traffic
	for kind := range traffic.Sent {
		sent, received := &c.sent[kind], &c.received[kind]
		traffic.Sent[kind] = Volume{sent.frames.Load(), sent.bytes.Load()}
		traffic.Received[kind] = Volume{received.frames.Load(), received.bytes.Load()}
	}
	return traffic
}
