package transport

import (
	"sync/atomic"

	"cresshub/internal/router/peerproto"
)

// Volume counts frames and their bytes.
type Volume struct {
	Frames int64
	Bytes  int64 // including frame headers, excluding those of TCP and IP
}

// Add returns the sum of two volumes.
func (v Volume) Add(other Volume) Volume {
	return Volume{v.Frames + other.Frames, v.Bytes + other.Bytes}
}

// Sub returns the increase since an earlier volume.
func (v Volume) Sub(earlier Volume) Volume {
	return Volume{v.Frames - earlier.Frames, v.Bytes - earlier.Bytes}
}

// Traffic is the traffic on the connections of a process, by kind of frame. Frames of unknown kinds are
// counted at index 0.
type Traffic struct {
	Sent     [peerproto.NumKinds]Volume
	Received [peerproto.NumKinds]Volume
	TooLong  int64 // frames that were not sent because their body is longer than peerproto.MaxBody
}

// volumeCounter is a Volume that several goroutines may increase concurrently.
type volumeCounter struct{ frames, bytes atomic.Int64 }

// kindCounters counts the frames of one direction by kind.
type kindCounters [peerproto.NumKinds]volumeCounter

// count counts a frame; frames of unknown kinds are counted at index 0.
func (c *kindCounters) count(frame *peerproto.Frame) {
	kind := frame.Kind
	if kind >= peerproto.NumKinds {
		kind = 0
	}
	c[kind].frames.Add(1)
	c[kind].bytes.Add(int64(frame.Size()))
}

// trafficCounters holds the counters that Traffic is a snapshot of.
type trafficCounters struct {
	sent, received kindCounters
	tooLong        atomic.Int64
}

// snapshot returns the values of the counters. Each is read atomically, but not all of them at the same
// moment.
func (c *trafficCounters) snapshot() Traffic {
	traffic := Traffic{TooLong: c.tooLong.Load()}
	for kind := range traffic.Sent {
		sent, received := &c.sent[kind], &c.received[kind]
		traffic.Sent[kind] = Volume{sent.frames.Load(), sent.bytes.Load()}
		traffic.Received[kind] = Volume{received.frames.Load(), received.bytes.Load()}
	}
	return traffic
}
