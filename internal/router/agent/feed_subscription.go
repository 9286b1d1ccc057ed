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

// following is which hub's feed this process follows, and how far. Guarded by Agent.subscriptionMu.
type subscription struct {
	source       *hub
	feed         string
	offset       uint64
	lastReceived time.Duration // when the last piece came
}

// follow keeps following the feed of one hub, unless this process is a hub itself: hubs hear all changes at
// first hand and compare their copies.
func (a *Agent) runSubscription(stop <-chan struct{}) {
	ticker := time.NewTicker(sourceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			a.updateHubs()
			a.updateSource()
		}
	}
}

// follows tells whether this process follows a hub's feed.
func (a *Agent) isSubscribed() bool {
	a.subscriptionMu.Lock()
	defer a.subscriptionMu.Unlock()
	return a.subscription.source != nil
}

func (a *Agent) updateSource() {
	a.subscriptionMu.Lock()
	defer a.subscriptionMu.Unlock()
	now := a.now()
	f := &a.subscription
	if a.isHub() {
		a.unsubscribe(f)
		return
	}
	if f.source != nil && now-f.lastReceived < feedTimeout && a.isUsableSource(f.source) {
		return
	}
	next := a.chooseSource(f.source)
	if next == nil {
		return
	}
	if f.source != next {
		a.metrics.sourceChanges.Add(1)
		a.log.Info().Str("hub", next.ip).Msg("feed: following")
	}
	f.source, f.lastReceived = next, now
	a.subscribe()
	watcher := next.current().id
	a.announceSelf(func(self *directory.Record) { self.Watcher = watcher })
}

// isUsableSource tells whether a hub is still one to follow. One that does not reach a majority may miss what
// the others acknowledge; it is left once another one can be followed.
func (a *Agent) isUsableSource(source *hub) bool {
	state := source.current()
	return state.hasSnapshot && state.reachesMajority && source.link.Connected() && a.hubAt(source.ip) == source
}

// unsubscribe ends following where this process is a hub; subscriptionMu is held.
func (a *Agent) unsubscribe(f *subscription) {
	wasFollower := f.source != nil
	f.source = nil
	if wasFollower {
		a.announceSelf(func(self *directory.Record) { self.Watcher = "" })
	}
}

// subscribe asks the present source for its feed; subscriptionMu is held.
func (a *Agent) subscribe() {
	f := &a.subscription
	request := peerproto.Follow{Feed: f.feed, Offset: int64(f.offset), Version: a.state.version()}
	f.source.link.Send(peerproto.KindFollow, peerproto.Encode(&request))
}

// chooseSource names the hub to follow: by rendezvous hashing over those that answer and reach a majority,
// other than one to avoid where there is a choice. Where none reaches a majority, one that does not is better
// than none.
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
	if followsNone := avoid == nil || !avoid.link.Connected(); followsNone && len(inMajority) == 0 {
		return a.firstByRank(others, nil)
	}
	return a.firstByRank(inMajority, avoid)
}

// firstByRank returns the hub that ranks first for this process, the one to avoid last.
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

// handleHubFrame takes a frame that answers no call: a piece of the feed.
func (a *Agent) handleHubFrame(h *hub, frame peerproto.Frame) {
	if frame.Kind == peerproto.KindLoadReport {
		a.handleLoad(h, frame)
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
	a.handleFeed(h, &feed)
}

func (a *Agent) handleFeed(h *hub, feed *peerproto.Feed) {
	a.subscriptionMu.Lock()
	defer a.subscriptionMu.Unlock()
	f := &a.subscription
	if f.source != h {
		return
	}
	f.lastReceived = a.now()
	a.applyPacked(feed.Config)
	if a.state.learnView(feed.Epoch, feed.Members) {
		go a.updateHubs()
	}
	continues := feed.Feed == f.feed && uint64(feed.From) == f.offset
	if feed.From != 0 && !continues {
		a.subscribe() // a piece is missing
		return
	}
	a.mergeRemote(feed.Records)
	f.feed, f.offset = feed.Feed, uint64(feed.To)
	a.state.setSynced()
}

// mergeRemote takes in records that another process told, and contradicts what is wrong of this process.
func (a *Agent) mergeRemote(records []directory.Record) {
	if len(records) == 0 {
		return
	}
	a.state.merge(a.now(), records)
	a.refute()
}

// refute tells the fleet that this process runs where its record says otherwise.
func (a *Agent) refute() {
	var wrong bool
	a.state.read(func(d *directory.Directory) {
		known := d.Get(a.id)
		wrong = known != nil && known.State == directory.Lost
	})
	if wrong {
		a.announceSelf(func(*directory.Record) {})
	}
}

// announceSelf changes this process's own record and gives it the next sequence number.
func (a *Agent) announceSelf(f func(*directory.Record)) {
	a.selfMu.Lock()
	defer a.selfMu.Unlock()
	a.state.read(func(d *directory.Directory) {
		if known := d.Get(a.id); known != nil {
			a.self.Sequence = max(a.self.Sequence, known.Sequence)
		}
	})
	a.self.Sequence++
	f(&a.self)
	a.state.merge(a.now(), []directory.Record{a.self})
}

// applyDocument puts a document that another process holds to be in force in force here.
func (a *Agent) applyDocument(document []byte) {
	if len(document) == 0 {
		return
	}
	config, err := fleetconfig.Parse(document)
	if err != nil {
		a.log.Error().Err(err).Msg("feed: a configuration in force can't be read")
		return
	}
	a.applyConfig(config)
}

// adopt puts a configuration that was acknowledged in force unless a newer one is.
func (a *Agent) applyConfig(config *fleetconfig.Config) {
	if a.state.applyConfig(config) {
		a.log.Info().Int64("version", config.Version).Msg("config: in force")
	}
}

// fetchConfig asks a hub for a newer configuration where the feed did not bring it.
func (a *Agent) fetchConfig(h *hub) {
	if a.state.Config() != nil {
		time.Sleep(fetchDelay)
	}
	if h.current().lastSeen == 0 || !a.fetchingConfig.CompareAndSwap(false, true) {
		return
	}
	defer a.fetchingConfig.Store(false)
	before := a.state.version()
	frame, err := h.link.Call(peerproto.KindConfigFetch, nil, fetchTimeout)
	if err != nil || a.state.version() > before {
		return
	}
	var result peerproto.Result
	if peerproto.Decode(frame.Body, &result) == nil && result.Outcome == peerproto.OutcomeAccepted &&
		result.Version > a.state.version() {
		a.applyPacked(result.Body)
	}
}
