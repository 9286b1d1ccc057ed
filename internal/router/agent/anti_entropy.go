package agent

import (
	"time"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/transport"
)

const (
	// antiEntropyInterval is how often a hub compares its copy with one other hub's.
	antiEntropyInterval = time.Second
	// followerAntiEntropyInterval is how often a follower compares its copy with its source's.
	followerAntiEntropyInterval = 5 * time.Second
	antiEntropyTimeout          = time.Second
	// initialAntiEntropyInterval is how soon a hub that knows nothing yet compares again.
	initialAntiEntropyInterval = 100 * time.Millisecond
	// hubSyncHeartbeats heartbeats of servers after its start a hub knows the fleet even if no other hub does.
	hubSyncHeartbeats = 2
)

// runAntiEntropy compares this copy with those of hubs, one after the other, and repairs both from the newer
// records.
func (a *Agent) runAntiEntropy(stop <-chan struct{}) {
	for turn := 0; ; turn++ {
		select {
		case <-stop:
			return
		case <-time.After(a.untilAntiEntropy()):
		}
		if hubs := a.currentHubs(); len(hubs) > 0 {
			a.reconcileWith(hubs[turn%len(hubs)])
		}
		if a.isHub() && (a.settings.FirstStart || a.now() > hubSyncHeartbeats*a.settings.HeartbeatInterval) {
			a.state.setSynced()
		}
	}
}

func (a *Agent) untilAntiEntropy() time.Duration {
	switch {
	case !a.isHub():
		return followerAntiEntropyInterval
	case !a.state.isSynced():
		return initialAntiEntropyInterval
	}
	return antiEntropyInterval
}

// reconcileWith repairs this copy and a hub's from each other.
func (a *Agent) reconcileWith(h *hub) {
	request := &peerproto.Comparison{Digest: a.digest()}
	frame, err := h.link.Call(peerproto.KindCompare, peerproto.Encode(request), antiEntropyTimeout)
	if err != nil {
		return
	}
	var answer peerproto.Comparison
	if peerproto.Decode(frame.Body, &answer) != nil {
		return
	}
	if h.current().hasSnapshot && a.isHub() {
		defer a.state.setSynced()
	}
	if len(answer.Ranges) == 0 {
		return
	}
	a.mergeRemote(answer.Records)
	var own []directory.Record
	a.state.read(func(d *directory.Directory) { own = copyRecords(d.InRanges(answer.Ranges)) })
	h.link.Call(peerproto.KindUpsert, peerproto.Encode(&peerproto.Records{Records: own}), antiEntropyTimeout)
}

func (a *Agent) handleCompare(c *transport.Conn, frame peerproto.Frame) {
	var request peerproto.Comparison
	if peerproto.Decode(frame.Body, &request) != nil || len(request.Digest) != directory.NumRanges {
		c.Close()
		return
	}
	var theirs directory.Digest
	for i, sum := range request.Digest {
		theirs[i] = uint64(sum)
	}
	answer := &peerproto.Comparison{}
	a.state.read(func(d *directory.Directory) {
		if answer.Ranges = d.Digest().Diff(theirs); len(answer.Ranges) > 0 {
			answer.Records = copyRecords(d.InRanges(answer.Ranges))
		}
	})
	c.Answer(frame, peerproto.KindComparison, peerproto.Encode(answer))
}

func (a *Agent) digest() []int64 {
	var digest directory.Digest
	a.state.read(func(d *directory.Directory) { digest = d.Digest() })
	sums := make([]int64, len(digest))
	for i, sum := range digest {
		sums[i] = int64(sum)
	}
	return sums
}
