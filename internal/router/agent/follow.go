package agent

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/router/peerproto"
)

const (
	// feedTimeout is how long a feed may be silent until another hub is followed.
	feedTimeout         = 1200 * time.Millisecond
	sourceCheckInterval = 100 * time.Millisecond
	fetchTimeout        = 700 * time.Millisecond
	// fetchDelay is how long a process that has a configuration waits for its feed to bring a newer one.
	fetchDelay = 150 * time.Millisecond
)

// subscription is which hub's feed this process follows, and how far. Guarded by Node.subscriptionMu.
type subscription struct {
	source       *hub
	feed         string
	offset       uint64
	lastReceived time.Duration // when the last piece came
}

// runSubscription keeps following the feed of one hub, unless this process is a hub itself: hubs hear all
// changes at first hand and compare their copies.
func (n *Node) runSubscription(stop <-chan struct{}) {
	ticker := time.NewTicker(sourceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			n.updateHubs()
			n.updateSource()
		}
	}
}

// isSubscribed tells whether this process follows a hub's feed.
func (n *Node) isSubscribed() bool {
	n.subscriptionMu.Lock()
	defer n.subscriptionMu.Unlock()
	return n.subscription.source != nil
}

func (n *Node) updateSource() {
	n.subscriptionMu.Lock()
	defer n.subscriptionMu.Unlock()
	now := n.now()
	f := &n.subscription
	if n.isHub() {
		n.unsubscribe(f)
		return
	}
	if f.source != nil && now-f.lastReceived < feedTimeout && n.isUsableSource(f.source) {
		return
	}
	next := n.chooseSource(f.source)
	if next == nil {
		return
	}
	if f.source != next {
		n.metrics.sourceChanges.Add(1)
		n.log.Info().Str("hub", next.ip).Msg("feed: following")
	}
	f.source, f.lastReceived = next, now
	n.subscribe()
	watcher := next.current().id
	n.announceSelf(func(self *directory.Record) { self.Watcher = watcher })
}

// isUsableSource tells whether a hub is still one to follow. One that does not reach a majority may miss what
// the others acknowledge; it is left once another one can be followed.
func (n *Node) isUsableSource(source *hub) bool {
	state := source.current()
	return state.hasSnapshot && state.reachesMajority && source.link.Connected() && n.hubAt(source.ip) == source
}

// unsubscribe ends following where this process is a hub; subscriptionMu is held.
func (n *Node) unsubscribe(f *subscription) {
	wasFollower := f.source != nil
	f.source = nil
	if wasFollower {
		n.announceSelf(func(self *directory.Record) { self.Watcher = "" })
	}
}

// subscribe asks the present source for its feed; subscriptionMu is held.
func (n *Node) subscribe() {
	f := &n.subscription
	request := peerproto.Follow{Feed: f.feed, Offset: int64(f.offset), Version: n.state.version()}
	f.source.link.Send(peerproto.KindFollow, peerproto.Encode(&request))
}

// chooseSource names the hub to follow: by rendezvous hashing over those that answer and reach a majority,
// other than one to avoid where there is a choice. Where none reaches a majority, one that does not is better
// than none.
func (n *Node) chooseSource(avoid *hub) *hub {
	var inMajority, others []*hub
	for _, h := range n.currentHubs() {
		state := h.current()
		switch {
		case state.lastSeen == 0 || !state.hasSnapshot || !h.link.Connected():
		case state.reachesMajority:
			inMajority = append(inMajority, h)
		default:
			others = append(others, h)
		}
	}
	if followsNone := avoid == nil || !avoid.link.Connected(); followsNone && len(inMajority) == 0 {
		return n.firstByRank(others, nil)
	}
	return n.firstByRank(inMajority, avoid)
}

// firstByRank returns the hub that ranks first for this process, the one to avoid last.
func (n *Node) firstByRank(hubs []*hub, avoid *hub) *hub {
	var best *hub
	var bestRank uint64
	for _, h := range hubs {
		rank := xxhash.Sum64String(n.settings.Name + "/" + h.ip)
		if h == avoid {
			rank = 0
		}
		if best == nil || rank > bestRank {
			best, bestRank = h, rank
		}
	}
	return best
}

// handleHubFrame takes a frame that answers no call: a piece of the feed.
func (n *Node) handleHubFrame(h *hub, frame peerproto.Frame) {
	if frame.Kind == peerproto.KindLoadReport {
		n.handleLoad(h, frame)
		return
	}
	if frame.Kind != peerproto.KindFeed {
		return
	}
	var feed peerproto.Feed
	if peerproto.Decode(frame.Body, &feed) != nil {
		h.link.Reset()
		return
	}
	n.handleFeed(h, &feed)
}

func (n *Node) handleFeed(h *hub, feed *peerproto.Feed) {
	n.subscriptionMu.Lock()
	defer n.subscriptionMu.Unlock()
	f := &n.subscription
	if f.source != h {
		return
	}
	f.lastReceived = n.now()
	n.applyPacked(feed.Config)
	if n.state.learnView(feed.Epoch, feed.Members) {
		go n.updateHubs()
	}
	continues := feed.Feed == f.feed && uint64(feed.From) == f.offset
	if feed.From != 0 && !continues {
		n.subscribe() // a piece is missing
		return
	}
	n.mergeRemote(feed.Records)
	f.feed, f.offset = feed.Feed, uint64(feed.To)
	n.state.setSynced()
}

// mergeRemote takes in records that another process told, and contradicts what is wrong of this process.
func (n *Node) mergeRemote(records []directory.Record) {
	if len(records) == 0 {
		return
	}
	n.state.merge(n.now(), records)
	n.refute()
}

// refute tells the fleet that this process runs where its record says otherwise.
func (n *Node) refute() {
	var wrong bool
	n.state.read(func(d *directory.Directory) {
		known := d.Get(n.id)
		wrong = known != nil && known.State == directory.Lost
	})
	if wrong {
		n.announceSelf(func(*directory.Record) {})
	}
}

// announceSelf changes this process's own record and gives it the next sequence number.
func (n *Node) announceSelf(f func(*directory.Record)) {
	n.selfMu.Lock()
	defer n.selfMu.Unlock()
	n.state.read(func(d *directory.Directory) {
		if known := d.Get(n.id); known != nil {
			n.self.Sequence = max(n.self.Sequence, known.Sequence)
		}
	})
	n.self.Sequence++
	f(&n.self)
	n.state.merge(n.now(), []directory.Record{n.self})
}

// applyDocument puts a document that another process holds to be in force in force here.
func (n *Node) applyDocument(document []byte) {
	if len(document) == 0 {
		return
	}
	config, err := fleetconfig.Parse(document)
	if err != nil {
		n.log.Error().Err(err).Msg("feed: a configuration in force can't be read")
		return
	}
	n.applyConfig(config)
}

// applyConfig puts a configuration that was acknowledged in force unless a newer one is.
func (n *Node) applyConfig(config *fleetconfig.Config) {
	if n.state.applyConfig(config) {
		n.log.Info().Int64("version", config.Version).Msg("config: in force")
	}
}

// fetchConfig asks a hub for a newer configuration where the feed did not bring it.
func (n *Node) fetchConfig(h *hub) {
	if n.state.Config() != nil {
		time.Sleep(fetchDelay)
	}
	if h.current().lastSeen == 0 || !n.fetchingConfig.CompareAndSwap(false, true) {
		return
	}
	defer n.fetchingConfig.Store(false)
	before := n.state.version()
	frame, err := h.link.Call(peerproto.KindConfigFetch, nil, fetchTimeout)
	if err != nil || n.state.version() > before {
		return
	}
	var result peerproto.Result
	if peerproto.Decode(frame.Body, &result) == nil && result.Outcome == peerproto.OutcomeAccepted &&
		result.Version > n.state.version() {
		n.applyPacked(result.Body)
	}
}
