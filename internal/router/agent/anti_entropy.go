package agent

import (
	"time"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/transport"
)

const (
	// antiEntropyInterval is how often a hub compares its directory with that of one other hub.
	antiEntropyInterval = time.Second
	// followerAntiEntropyInterval is the same for a follower.
	followerAntiEntropyInterval = 5 * time.Second
	// initialAntiEntropyInterval is the same for a hub that is not synced yet.
	initialAntiEntropyInterval = 100 * time.Millisecond
	antiEntropyTimeout         = time.Second
	// hubSyncHeartbeats is after how many intervals of heartbeats since its start a hub counts as synced, even
	// if no other hub is: by then the servers have called.
	hubSyncHeartbeats = 2
)

// runAntiEntropy compares the directory with those of the hubs, one after the other, until done closes.
func (a *Agent) runAntiEntropy(done <-chan struct{}) {
	for turn := 0; ; turn++ {
		select {
		case <-done:
			return
		case <-time.After(a.untilAntiEntropy()):
		}
		if hubs := a.hubs.all(); len(hubs) > 0 {
			a.reconcileWith(hubs[turn%len(hubs)])
		}
		if a.isHub() && (a.settings.FirstStart || a.now() > hubSyncHeartbeats*a.settings.HeartbeatInterval) {
			a.state.setSynced()
		}
	}
}

// untilAntiEntropy returns the interval until the next comparison.
func (a *Agent) untilAntiEntropy() time.Duration {
	switch {
	case !a.isHub():
		return followerAntiEntropyInterval
	case !a.state.isSynced():
		return initialAntiEntropyInterval
	}
	return antiEntropyInterval
}

// reconcileWith exchanges the records of the ranges in which the directory and a hub's differ, so that each
// has the newer ones. A hub is synced once it has done so with a hub that is.
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
	upsert := peerproto.Encode(&peerproto.Records{Records: own})
	// What does not arrive is sent again after the next comparison.
	_, _ = h.link.Call(peerproto.KindUpsert, upsert, antiEntropyTimeout)
}

// handleCompare answers with the ranges in which the directory differs from the caller's, and their records.
func (a *Agent) handleCompare(c *transport.Conn, frame peerproto.Frame) {
	var request peerproto.Comparison
	if !decodeOrClose(c, frame.Body, &request) {
		return
	}
	if len(request.Digest) != directory.NumRanges {
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

// digest returns the range digest of the directory, in the form in which it is sent.
func (a *Agent) digest() []int64 {
	var digest directory.Digest
	a.state.read(func(d *directory.Directory) { digest = d.Digest() })
	sums := make([]int64, len(digest))
	for i, sum := range digest {
		sums[i] = int64(sum)
	}
	return sums
}
