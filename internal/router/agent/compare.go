package agent

import (
	"time"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/transport"
)

const (
	// compareInterval is how often a hub compares its copy with one other hub's.
	compareInterval = time.Second
	// followerCompare is how often a follower compares its copy with its source's.
	followerCompare = 5 * time.Second
	compareTimeout  = time.Second
	// firstCompare is how soon a hub that knows nothing yet compares again.
	firstCompare = 100 * time.Millisecond
	// hubPatience heartbeats of servers after its start a hub knows the fleet even if no other hub does.
	hubPatience = 2
)

// compareCopies compares this copy with those of hubs, one after the other, and repairs both from the newer
// records.
func (n *Node) compareCopies(stop <-chan struct{}) {
	for turn := 0; ; turn++ {
		select {
		case <-stop:
			return
		case <-time.After(n.untilCompare()):
		}
		if hubs := n.currentHubs(); len(hubs) > 0 {
			n.compareWith(hubs[turn%len(hubs)])
		}
		if n.isHub() && (n.settings.FirstStart || n.now() > hubPatience*n.settings.Beat) {
			n.state.markSynced()
		}
	}
}

func (n *Node) untilCompare() time.Duration {
	switch {
	case !n.isHub():
		return followerCompare
	case !n.state.isSynced():
		return firstCompare
	}
	return compareInterval
}

// compareWith repairs this copy and a hub's from each other.
func (n *Node) compareWith(h *hub) {
	request := &peerproto.Comparison{Digest: n.digest()}
	frame, err := h.link.Call(peerproto.KindCompare, peerproto.Encode(request), compareTimeout)
	if err != nil {
		return
	}
	var answer peerproto.Comparison
	if peerproto.Decode(frame.Body, &answer) != nil {
		return
	}
	if h.current().holds && n.isHub() {
		defer n.state.markSynced()
	}
	if len(answer.Ranges) == 0 {
		return
	}
	n.mergeHeard(answer.Records)
	var mine []directory.Record
	n.state.read(func(d *directory.Directory) { mine = valuesOf(d.InRanges(answer.Ranges)) })
	h.link.Call(peerproto.KindUpsert, peerproto.Encode(&peerproto.Records{Records: mine}), compareTimeout)
}

func (n *Node) takeCompare(c *transport.Conn, frame peerproto.Frame) {
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
			answer.Records = valuesOf(d.InRanges(answer.Ranges))
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
