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
	// maxIntervalDoublings bounds the exponential backoff of the interval after comparisons in which ranges
	// differed but no record was newer. The backoff limits the traffic of a rolling upgrade: until it ends,
	// processes whose releases compute digests differently find differences in every comparison, and send all
	// their records each time.
	maxIntervalDoublings = 4
	// hubSyncHeartbeats is the uptime, in heartbeat intervals, after which a hub counts as synced even if no
	// other hub is synced: by then the servers have sent heartbeats.
	hubSyncHeartbeats = 2
)

// antiEntropy repairs the differences between this process's directory and those of the hubs: it compares
// range digests and exchanges the records of the ranges that differ. The directory itself is in the state.
// One goroutine starts comparisons, in run; handleCompare is safe for concurrent use.
type antiEntropy struct {
	*process
	state *state
	hubs  *hubSet
	self  *selfRecord

	// unproductiveRounds counts consecutive comparisons that found differences but changed nothing here. Only
	// the goroutine of run uses it.
	unproductiveRounds int
}

// run compares the directory with those of the hubs, in turn, until done closes.
func (e *antiEntropy) run(done <-chan struct{}) {
	for round := 0; ; round++ {
		select {
		case <-done:
			return
		case <-time.After(e.interval() << min(e.unproductiveRounds, maxIntervalDoublings)):
		}
		if hubs := e.hubs.all(); len(hubs) > 0 {
			e.recordOutcome(e.reconcileWith(hubs[round%len(hubs)]))
		}
		serversHaveReported := e.now() > hubSyncHeartbeats*e.settings.HeartbeatInterval
		if e.hubs.includesSelf() && (e.settings.FirstStart || serversHaveReported) {
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

// reconcileResult is the outcome of one comparison.
type reconcileResult struct {
	differed bool // at least one range differed
	changed  bool // this process's directory changed
}

// recordOutcome counts consecutive comparisons that differed but changed nothing here. A comparison without
// differences, or one that changed the directory, resets the count.
func (e *antiEntropy) recordOutcome(outcome reconcileResult) {
	if outcome.differed && !outcome.changed {
		e.unproductiveRounds++
		return
	}
	e.unproductiveRounds = 0
}

// reconcileWith exchanges the records of the ranges in which the directory and a hub's differ, so that both
// have the newer ones. A hub that has compared its directory with that of a synced hub is synced as well.
func (e *antiEntropy) reconcileWith(h *hub) (outcome reconcileResult) {
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
	// A lost update needs no retry: the next comparison finds the difference again.
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
