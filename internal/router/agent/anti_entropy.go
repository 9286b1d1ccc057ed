package agent

import (
	"slices"
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
	// maxFruitlessDoublings bounds how often the interval doubles after comparisons in which ranges differed and
	// nothing new came. Processes of releases whose digests are made otherwise differ so until the end of an
	// upgrade, and would send all their records each time.
	maxFruitlessDoublings = 4
	// hubSyncHeartbeats is after how many intervals of heartbeats since its start a hub counts as synced, even
	// if no other hub is: by then the servers have called.
	hubSyncHeartbeats = 2
)

// antiEntropy repairs the differences between the directory and those of the hubs: it compares range digests
// and exchanges the records of the ranges that differ. It has no state but the directory, which is in the
// state. One goroutine compares, in run; handleCompare is safe for concurrent use.
type antiEntropy struct {
	*process
	state *state
	hubs  *hubSet
	self  *selfRecord

	fruitless int // comparisons in a row with differences of which nothing was new; only run's goroutine uses it
}

// run compares the directory with those of the hubs, one after the other, until done closes.
func (e *antiEntropy) run(done <-chan struct{}) {
	for turn := 0; ; turn++ {
		select {
		case <-done:
			return
		case <-time.After(e.interval() << min(e.fruitless, maxFruitlessDoublings)):
		}
		if hubs := e.hubs.all(); len(hubs) > 0 {
			e.recordOutcome(e.reconcileWith(hubs[turn%len(hubs)]))
		}
		hasHeardServers := e.now() > hubSyncHeartbeats*e.settings.HeartbeatInterval
		if e.hubs.includesSelf() && (e.settings.FirstStart || hasHeardServers) {
			e.state.setSynced()
		}
	}
}

// interval returns the interval until the next comparison.
func (e *antiEntropy) interval() time.Duration {
	switch {
	case !e.hubs.includesSelf():
		return followerAntiEntropyInterval
	case !e.state.isSynced():
		return initialAntiEntropyInterval
	}
	return antiEntropyInterval
}

// reconciliation is what came of one comparison.
type reconciliation struct {
	differed bool // some range
	changed  bool // this process's directory
}

// recordOutcome counts comparisons that differed in vain. An equal one, or one that brought something new,
// ends the count.
func (e *antiEntropy) recordOutcome(outcome reconciliation) {
	if outcome.differed && !outcome.changed {
		e.fruitless++
		return
	}
	e.fruitless = 0
}

// reconcileWith exchanges the records of the ranges in which the directory and a hub's differ, so that each
// has the newer ones. A hub is synced once it has done so with a hub that is.
func (e *antiEntropy) reconcileWith(h *hub) (outcome reconciliation) {
	request := &peerproto.Comparison{Digest: e.digest()}
	frame, err := h.link.Call(peerproto.KindCompare, peerproto.Encode(request), antiEntropyTimeout)
	if err != nil {
		return outcome
	}
	var answer peerproto.Comparison
	if peerproto.Decode(frame.Body, &answer) != nil {
		return outcome
	}
	if h.current().hasSnapshot && e.hubs.includesSelf() {
		defer e.state.setSynced()
	}
	if len(answer.Ranges) == 0 {
		return outcome
	}
	before := e.digest()
	e.self.mergeRemote(answer.Records)
	outcome.differed, outcome.changed = true, !slices.Equal(before, e.digest())
	var own []directory.Record
	e.state.read(func(d *directory.Directory) { own = copyRecords(d.InRanges(answer.Ranges)) })
	upsert := peerproto.Encode(&peerproto.Records{Records: own})
	// What does not arrive is sent again after the next comparison.
	_, _ = h.link.Call(peerproto.KindUpsert, upsert, antiEntropyTimeout)
	return outcome
}

// handleCompare answers with the ranges in which the directory differs from the caller's, and their records.
func (e *antiEntropy) handleCompare(c *transport.Conn, frame peerproto.Frame) {
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
	e.state.read(func(d *directory.Directory) {
		if answer.Ranges = d.Digest().Diff(theirs); len(answer.Ranges) > 0 {
			answer.Records = copyRecords(d.InRanges(answer.Ranges))
		}
	})
	c.Answer(frame, peerproto.KindComparison, peerproto.Encode(answer))
}

// digest returns the range digest of the directory, in the form in which it is sent.
func (e *antiEntropy) digest() []int64 {
	var digest directory.Digest
	e.state.read(func(d *directory.Directory) { digest = d.Digest() })
	sums := make([]int64, len(digest))
	for i, sum := range digest {
		sums[i] = int64(sum)
	}
	return sums
}
