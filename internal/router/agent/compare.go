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
func (n *Node) runAntiEntropy(stop <-chan struct{}) {
	for turn := 0; ; turn++ {
		select {
		case <-stop:
			return
		case <-time.After(n.untilAntiEntropy()):
		}
		if hubs := n.currentHubs(); len(hubs) > 0 {
			n.reconcileWith(hubs[turn%len(hubs)])
		}
		if n.isHub() && (n.settings.FirstStart || n.now() > hubSyncHeartbeats*n.settings.HeartbeatInterval) {
			n.state.setSynced()
		}
	}
}

func (n *Node) untilAntiEntropy() time.Duration {
	switch {
	case !n.isHub():
		return followerAntiEntropyInterval
	case !n.state.isSynced():
		return initialAntiEntropyInterval
	}
	return antiEntropyInterval
}

// reconcileWith repairs this copy and a hub's from each other.
func (n *Node) reconcileWith(h *hub) {
	request := &peerproto.Comparison{Digest: n.digest()}
	frame, err := h.link.Call(peerproto.KindCompare, peerproto.Encode(request), antiEntropyTimeout)
	if err != nil {
		return
	}
	var answer peerproto.Comparison
	if peerproto.Decode(frame.Body, &answer) != nil {
		return
	}
	if h.current().hasSnapshot && n.isHub() {
		defer n.state.setSynced()
	}
	if len(answer.Ranges) == 0 {
		return
	}
	n.mergeRemote(answer.Records)
	var own []directory.Record
	n.state.read(func(d *directory.Directory) { own = copyRecords(d.InRanges(answer.Ranges)) })
	h.link.Call(peerproto.KindUpsert, peerproto.Encode(&peerproto.Records{Records: own}), antiEntropyTimeout)
}

func (n *Node) handleCompare(c *transport.Conn, frame peerproto.Frame) {
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
	n.state.read(func(d *directory.Directory) {
		if answer.Ranges = d.Digest().Diff(theirs); len(answer.Ranges) > 0 {
			answer.Records = copyRecords(d.InRanges(answer.Ranges))
		}
	})
	c.Answer(frame, peerproto.KindComparison, peerproto.Encode(answer))
}

func (n *Node) digest() []int64 {
	var digest directory.Digest
	n.state.read(func(d *directory.Directory) { digest = d.Digest() })
	sums := make([]int64, len(digest))
	for i, sum := range digest {
		sums[i] = int64(sum)
	}
	return sums
}
