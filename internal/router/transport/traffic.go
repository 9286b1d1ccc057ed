package transport

import (
	"sync/atomic"

	"cresshub/internal/router/peerproto"
)

// Volume counts frames and their bytes.
type Volume struct {
	Frames int64
	Bytes  int64 // of frames with their headers, without those of TCP and IP
}

// Add returns the sum of two volumes.
func (v Volume) Add(other Volume) Volume {
	return Volume{v.Frames + other.Frames, v.Bytes + other.Bytes}
}

// Sub returns the difference to an earlier volume.
func (v Volume) Sub(earlier Volume) Volume {
	return Volume{v.Frames - earlier.Frames, v.Bytes - earlier.Bytes}
}

// Traffic is what the connections of a process have carried, by kind of frame. Index 0 is that of unknown
// kinds.
type Traffic struct {
	Sent     [peerproto.NumKinds]Volume
	Received [peerproto.NumKinds]Volume
	TooLong  int64 // frames that were not sent, as they are longer than peerproto.MaxBody
}

// volumeCounter is a Volume that several goroutines may add to.
type volumeCounter struct{ frames, bytes atomic.Int64 }

// kindCounters count the frames of one direction by their kinds.
type kindCounters [peerproto.NumKinds]volumeCounter

// count counts a frame; frames of unknown kinds are counted under 0.
func (c *kindCounters) count(frame *peerproto.Frame) {
	kind := frame.Kind
	if kind >= peerproto.NumKinds {
		kind = 0
	}
	c[kind].frames.Add(1)
	c[kind].bytes.Add(int64(frame.Size()))
}

// trafficCounters are the counters behind Traffic.
type trafficCounters struct {
	sent, received kindCounters
	tooLong        atomic.Int64
}

// snapshot returns the counters' values, each read by itself.
func (c *trafficCounters) snapshot() Traffic {
	traffic := Traffic{TooLong: c.tooLong.Load()}
	for kind := range traffic.Sent {
		sent, received := &c.sent[kind], &c.received[kind]
		traffic.Sent[kind] = Volume{sent.frames.Load(), sent.bytes.Load()}
		traffic.Received[kind] = Volume{received.frames.Load(), received.bytes.Load()}
	}
	return traffic
}
