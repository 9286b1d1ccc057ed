package agent

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/router/peerproto"
)

const (
	// feedSilence is how long a feed may be silent until another hub is followed.
	feedSilence  = 1200 * time.Millisecond
	followTick   = 100 * time.Millisecond
	fetchTimeout = 700 * time.Millisecond
	// fetchPatience is how long a process that has a configuration waits for its feed to bring a newer one.
	fetchPatience = 150 * time.Millisecond
)

// following is which hub's feed this process follows, and how far. Guarded by Node.followMu.
type following struct {
	source *hub
	feed   string
	place  uint64
	heard  time.Duration // when the last piece came
}

// follow keeps following the feed of one hub, unless this process is a hub itself: hubs hear all changes at
// first hand and compare their copies.
func (n *Node) follow(stop <-chan struct{}) {
	ticker := time.NewTicker(followTick)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			n.updateHubs()
			n.checkSource()
		}
	}
}

// follows tells whether this process follows a hub's feed.
func (n *Node) follows() bool {
	n.followMu.Lock()
	defer n.followMu.Unlock()
	return n.following.source != nil
}

func (n *Node) checkSource() {
	n.followMu.Lock()
	defer n.followMu.Unlock()
	now := n.now()
	f := &n.following
	if n.isHub() {
		n.becomeHub(f)
		return
	}
	if f.source != nil && now-f.heard < feedSilence && n.mayStayWith(f.source) {
		return
	}
	next := n.chooseSource(f.source)
	if next == nil {
		return
	}
	if f.source != next {
		n.figures.followed.Add(1)
		n.log.Info().Str("hub", next.ip).Msg("feed: following")
	}
	f.source, f.heard = next, now
	n.sendFollow()
	watcher := next.current().id
	n.announceSelf(func(self *directory.Record) { self.Watcher = watcher })
}

// mayStayWith tells whether a hub is still one to follow. One that does not reach a majority may miss what
// the others acknowledge; it is left once another one can be followed.
func (n *Node) mayStayWith(source *hub) bool {
	state := source.current()
	return state.holds && state.reachesMajority && source.link.Connected() && n.hubAt(source.ip) == source
}

// becomeHub ends following where this process is a hub; followMu is held.
func (n *Node) becomeHub(f *following) {
	wasFollower := f.source != nil
	f.source = nil
	if wasFollower {
		n.announceSelf(func(self *directory.Record) { self.Watcher = "" })
	}
}

// sendFollow asks the present source for its feed; followMu is held.
func (n *Node) sendFollow() {
	f := &n.following
	request := peerproto.Follow{Feed: f.feed, Offset: int64(f.place), Version: n.state.version()}
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
		case state.heard == 0 || !state.holds || !h.link.Connected():
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

// takeFromHub takes a frame that answers no call: a piece of the feed.
func (n *Node) takeFromHub(h *hub, frame peerproto.Frame) {
	if frame.Kind == peerproto.KindLoadReport {
		n.takeWork(h, frame)
		return
	}
	if frame.Kind != peerproto.KindFeed {
		return
	}
	var piece peerproto.Feed
	if peerproto.Decode(frame.Body, &piece) != nil {
		h.link.Reset()
		return
	}
	n.takePiece(h, &piece)
}

func (n *Node) takePiece(h *hub, piece *peerproto.Feed) {
	n.followMu.Lock()
	defer n.followMu.Unlock()
	f := &n.following
	if f.source != h {
		return
	}
	f.heard = n.now()
	n.takePacked(piece.Config)
	if n.state.learnView(piece.Epoch, piece.Members) {
		go n.updateHubs()
	}
	continues := piece.Feed == f.feed && uint64(piece.From) == f.place
	if piece.From != 0 && !continues {
		n.sendFollow() // a piece is missing
		return
	}
	n.mergeHeard(piece.Records)
	f.feed, f.place = piece.Feed, uint64(piece.To)
	n.state.markSynced()
}

// mergeHeard takes in records that another process told, and contradicts what is wrong of this process.
func (n *Node) mergeHeard(records []directory.Record) {
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

// takeConfig puts a document that another process holds to be in force in force here.
func (n *Node) takeConfig(document []byte) {
	if len(document) == 0 {
		return
	}
	config, err := fleetconfig.Parse(document)
	if err != nil {
		n.log.Error().Err(err).Msg("feed: a configuration in force can't be read")
		return
	}
	n.adopt(config)
}

// adopt puts a configuration that was acknowledged in force unless a newer one is.
func (n *Node) adopt(config *fleetconfig.Config) {
	if n.state.adopt(config) {
		n.log.Info().Int64("version", config.Version).Msg("config: in force")
	}
}

// fetchConfig asks a hub for a newer configuration where the feed did not bring it.
func (n *Node) fetchConfig(h *hub) {
	if n.state.Config() != nil {
		time.Sleep(fetchPatience)
	}
	if h.current().heard == 0 || !n.fetching.CompareAndSwap(false, true) {
		return
	}
	defer n.fetching.Store(false)
	before := n.state.version()
	frame, err := h.link.Call(peerproto.KindConfigFetch, nil, fetchTimeout)
	if err != nil || n.state.version() > before {
		return
	}
	var result peerproto.Result
	if peerproto.Decode(frame.Body, &result) == nil && result.Outcome == peerproto.OutcomeAccepted &&
		result.Version > n.state.version() {
		n.takePacked(result.Body)
	}
}
