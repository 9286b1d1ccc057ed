package agent

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
)

const (
	// feedTimeout is how long after its last message a feed counts as broken, so that another hub is followed.
	feedTimeout = 1200 * time.Millisecond
	// sourceCheckInterval is how often the hubs and the source of the feed are checked.
	sourceCheckInterval = 100 * time.Millisecond
)

// subscription is the hub whose feed this process follows, and how far it has received it. It is guarded by
// Agent.subscriptionMu.
type subscription struct {
	source       *hub          // nil for none
	feed         string        // id of the process that numbers the changes
	offset       uint64        // in that numbering
	lastReceived time.Duration // when the last message of the feed came, or the source was chosen
}

// runSubscription follows the feed of one hub, unless this process is a hub itself: every process sends its
// changes to each hub, and hubs repair their directories by anti-entropy.
func (a *Agent) runSubscription(done <-chan struct{}) {
	runEvery(sourceCheckInterval, done, func() {
		a.updateHubs()
		a.updateSource()
	})
}

// source returns the hub whose feed this process follows, nil for none.
func (a *Agent) source() *hub {
	a.subscriptionMu.Lock()
	defer a.subscriptionMu.Unlock()
	return a.subscription.source
}

func (a *Agent) isSubscribed() bool { return a.source() != nil }

// updateSource chooses a source where there is none, or the present one is not usable any more.
func (a *Agent) updateSource() {
	a.subscriptionMu.Lock()
	defer a.subscriptionMu.Unlock()
	now := a.now()
	s := &a.subscription
	if a.isHub() {
		a.unsubscribe()
		return
	}
	if s.source != nil && now-s.lastReceived < feedTimeout && a.isUsableSource(s.source) {
		return
	}
	next := a.chooseSource(s.source)
	if next == nil {
		return
	}
	if s.source != next {
		a.metrics.sourceChanges.Add(1)
		a.log.Info().Str("hub", next.ip).Msg("feed: subscribed")
	}
	s.source, s.lastReceived = next, now
	a.sendFollow()
	watcher := next.current().id
	a.announceSelf(func(self *directory.Record) { self.Watcher = watcher })
}

// isUsableSource reports whether a hub may still be followed. One that does not reach a majority may miss
// what the others acknowledge.
func (a *Agent) isUsableSource(source *hub) bool {
	state := source.current()
	return state.hasSnapshot && state.reachesMajority && source.link.Connected() && a.hubAt(source.ip) == source
}

// unsubscribe ends the subscription, where there is one; subscriptionMu is held.
func (a *Agent) unsubscribe() {
	if a.subscription.source == nil {
		return
	}
	a.subscription.source = nil
	a.announceSelf(func(self *directory.Record) { self.Watcher = "" })
}

// sendFollow asks the source for its feed from the present offset on; subscriptionMu is held.
func (a *Agent) sendFollow() {
	s := &a.subscription
	request := peerproto.Follow{Feed: s.feed, Offset: int64(s.offset), Version: a.state.version()}
	s.source.link.Send(peerproto.KindFollow, peerproto.Encode(&request))
}

// chooseSource returns the hub to follow, by rendezvous hashing over those that respond and reach a majority;
// the one to avoid comes last. If none reaches a majority, a process without a connected source takes one
// that does not.
func (a *Agent) chooseSource(avoid *hub) *hub {
	var inMajority, others []*hub
	for _, h := range a.currentHubs() {
		state := h.current()
		switch {
		case state.lastSeen == 0 || !state.hasSnapshot || !h.link.Connected():
		case state.reachesMajority:
			inMajority = append(inMajority, h)
		default:
			others = append(others, h)
		}
	}
	hasNoSource := avoid == nil || !avoid.link.Connected()
	if hasNoSource && len(inMajority) == 0 {
		return a.firstByRank(others, nil)
	}
	return a.firstByRank(inMajority, avoid)
}

// firstByRank returns the hub that ranks first for this process, nil for none; the one to avoid ranks last.
func (a *Agent) firstByRank(hubs []*hub, avoid *hub) *hub {
	var best *hub
	var bestRank uint64
	for _, h := range hubs {
		rank := xxhash.Sum64String(a.settings.Name + "/" + h.ip)
		if h == avoid {
			rank = 0
		}
		if best == nil || rank > bestRank {
			best, bestRank = h, rank
		}
	}
	return best
}

// handleHubFrame handles a frame of a hub that answers no call: a message of the feed, or a load report.
func (a *Agent) handleHubFrame(h *hub, frame peerproto.Frame) {
	switch frame.Kind {
	case peerproto.KindLoadReport:
		a.handleLoad(h, frame)
	case peerproto.KindFeed:
		var feed peerproto.Feed
		if decodeOrReset(h, frame.Body, &feed) {
			a.handleFeed(h, &feed)
		}
	}
}

// handleFeed applies a message of the feed. Where messages are missing before it, the feed is requested again
// from the last offset on.
func (a *Agent) handleFeed(h *hub, feed *peerproto.Feed) {
	a.subscriptionMu.Lock()
	defer a.subscriptionMu.Unlock()
	s := &a.subscription
	if s.source != h {
		return
	}
	s.lastReceived = a.now()
	a.applyPacked(feed.Config)
	if a.state.learnView(feed.Epoch, feed.Members) {
		go a.updateHubs()
	}
	isSnapshot := feed.From == 0
	continues := feed.Feed == s.feed && uint64(feed.From) == s.offset
	if !isSnapshot && !continues {
		a.sendFollow()
		return
	}
	a.mergeRemote(feed.Records)
	s.feed, s.offset = feed.Feed, uint64(feed.To)
	a.state.setSynced()
}
