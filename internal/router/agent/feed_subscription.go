package agent

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
)

const (
	// feedTimeout is how long after the last message of a feed this process switches to another hub.
	feedTimeout = 1200 * time.Millisecond
	// sourceCheckInterval is how often the links to the hubs and the source of the feed are checked.
	sourceCheckInterval = 100 * time.Millisecond
)

// subscription holds which hub's feed this process follows, and how far it has received that feed; a process
// that is a hub itself follows none. Its methods are safe for concurrent use, except those whose comment says
// that the lock is held. The lock may be taken before that of the hubs, that of this process's own record and
// that of the state, never after one of them.
type subscription struct {
	*process
	state      *state
	hubs       *hubSet
	self       *selfRecord
	configSync *configSync

	mu           sync.Mutex
	source       *hub          // nil for none
	feed         string        // id of the process whose feed offset belongs to
	offset       uint64        // of the last change received
	lastReceived time.Duration // when the last message of the feed was received, or the source was chosen
}

// run follows the feed of one hub until done closes, unless this process is a hub itself. Hubs need no feed:
// every process sends its changes to each hub, and hubs repair their directories by anti-entropy. run also
// opens and closes the links to the hubs.
func (s *subscription) run(done <-chan struct{}) {
	runEvery(sourceCheckInterval, done, func() {
		s.hubs.update()
		s.updateSource()
	})
}

// followedHub returns the hub whose feed this process follows, nil for none.
func (s *subscription) followedHub() *hub {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source
}

func (s *subscription) isActive() bool { return s.followedHub() != nil }

// sendToSource sends a frame to the hub that this process follows, if there is one.
func (s *subscription) sendToSource(kind peerproto.Kind, body []byte) {
	if source := s.followedHub(); source != nil {
		source.link.Send(kind, body)
	}
}

// updateSource chooses a hub to follow if there is none, if its feed has timed out, or if it is no longer
// usable.
func (s *subscription) updateSource() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.hubs.includesSelf() {
		s.unsubscribe()
		return
	}
	if s.source != nil && s.remaining(s.lastReceived, feedTimeout) > 0 && s.isUsable(s.source) {
		return
	}
	next := s.chooseSource(s.source)
	if next == nil {
		return
	}
	if s.source != next {
		s.metrics.feedSubscriptions.Add(1)
		s.log.Info().Str("hub", next.ip).Msg("feed: subscribed")
	}
	s.source, s.lastReceived = next, now
	s.sendFollow()
	watcher := next.current().id
	s.self.announce(func(self *directory.Record) { self.Watcher = watcher })
}

// isUsable reports whether a hub may still be followed. A hub that does not reach a majority may miss changes
// that the others acknowledge.
func (s *subscription) isUsable(source *hub) bool {
	state := source.current()
	return state.hasSnapshot && state.reachesMajority && source.link.Connected() &&
		s.hubs.get(source.ip) == source
}

// unsubscribe ends the subscription, if there is one; the lock is held.
func (s *subscription) unsubscribe() {
	if s.source == nil {
		return
	}
	s.source = nil
	s.self.announce(func(self *directory.Record) { self.Watcher = "" })
}

// sendFollow requests the source's feed from the current offset on; the lock is held.
func (s *subscription) sendFollow() {
	request := peerproto.Follow{Feed: s.feed, Offset: int64(s.offset), Version: s.state.version()}
	s.source.link.Send(peerproto.KindFollow, peerproto.Encode(&request))
}

// chooseSource returns the hub to follow, by rendezvous hashing over the connected, synced hubs that have
// answered a ping and reach a majority; the one to avoid ranks last. If none of them reaches a majority, a
// process whose source is not connected, or that has none, chooses among those that do not.
func (s *subscription) chooseSource(avoid *hub) *hub {
	var inMajority, others []*hub
	for _, h := range s.hubs.all() {
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
		return s.firstByRank(others, nil)
	}
	return s.firstByRank(inMajority, avoid)
}

// firstByRank returns the hub that ranks first for this process, nil for none. The hub to avoid ranks last.
func (s *subscription) firstByRank(hubs []*hub, avoid *hub) *hub {
	var best *hub
	var bestRank uint64
	for _, h := range hubs {
		rank := xxhash.Sum64String(s.settings.Name + "/" + h.ip)
		if h == avoid {
			rank = 0
		}
		if best == nil || rank > bestRank {
			best, bestRank = h, rank
		}
	}
	return best
}

// handleFeed applies a message of the feed. If the message neither is a snapshot nor continues from the
// current offset, the feed is requested again from there.
func (s *subscription) handleFeed(h *hub, feed *peerproto.Feed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.source != h {
		return
	}
	s.lastReceived = s.now()
	s.configSync.applyPacked(feed.Config)
	if s.state.learnView(feed.Epoch, feed.Members) {
		go s.hubs.update()
	}
	isSnapshot := feed.From == 0
	continues := feed.Feed == s.feed && uint64(feed.From) == s.offset
	if !isSnapshot && !continues {
		s.sendFollow()
		return
	}
	s.self.mergeRemote(feed.Records)
	s.feed, s.offset = feed.Feed, uint64(feed.To)
	s.state.setSynced()
}
