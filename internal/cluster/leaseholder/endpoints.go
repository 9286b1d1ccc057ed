package leaseholder

import (
	"bytes"
	"sync"
	"time"

	"cresshub/internal/cluster/groupstate"
)

// Feed says where this member's endpoint list comes from.
type Feed struct {
	FromOwner bool   // from the lease holder, through the store; discovery isn't asked
	Token     uint64 // carried by calls to discovery, 0 for none
}

// EndpointSource is this member's list of zone servers and its client of discovery.
type EndpointSource interface {
	// Feed sets where the list comes from; it returns at once.
	Feed(Feed)
	// LastSeen returns when the present watch last received something from discovery, zero for never.
	LastSeen() time.Time
	// Index returns discovery's number of the current list, which rises with each change.
	Index() int64
	// Export encodes the current list in discovery's format; equal lists give equal bytes.
	Export() ([]byte, error)
	// Replace takes over a full list.
	Replace(raw []byte)
}

// EndpointSync lets one member watch discovery for all: the lease holder publishes its list in the store, and
// the others follow that, unless it is too old. It has two goroutines of its Runner: runPublisher, which acts
// while this member holds the lease, and runFollower, which acts on every member.
type EndpointSync struct {
	// Source is this member's list and its client of discovery.
	Source EndpointSource
	// MaxAge is how long a published list that was not confirmed may be used; 4 s by default. The lease holder
	// confirms it four times within it. Without a lease holder members ask discovery after MaxAge and Jitter.
	MaxAge time.Duration
	// Jitter is added to MaxAge by this member, drawn once between 0 and MaxAge, so that members don't ask
	// discovery all at once.
	Jitter time.Duration
	// PollInterval is the time between reads of the store, and so the most by which a list reaches a member
	// later than its replica; 250 ms by default.
	PollInterval time.Duration
	// WatchTimeout is how long a watch on discovery that receives nothing counts as alive. The list of a lease
	// holder whose watch is broken is neither published nor confirmed.
	WatchTimeout time.Duration

	runner *Runner

	mu        sync.Mutex
	follower  *groupstate.Follower
	feed      Feed
	feedSet   bool      // Source.Feed was called with feed
	lastRun   time.Time // when the list was last published or confirmed here, zero for never
	lastError string    // error of the last attempt to publish, "" if it succeeded

	lastPublished  publication // only the publisher uses it
	appliedVersion uint64      // EndpointView.Changed of the list last applied; only the follower uses it
}

// publication is what was last published, the zero value if that is unknown.
type publication struct {
	token     uint64
	index     int64
	list      []byte
	startedAt time.Time
}

const (
	// minReadTimeout is the shortest timeout of a follower's read.
	minReadTimeout = 500 * time.Millisecond
	// maxPublishInterval is the longest time between two looks at whether the list is to be published.
	maxPublishInterval = 100 * time.Millisecond
)

func (s *EndpointSync) attach(r *Runner) {
	s.runner = r
	s.follower = groupstate.NewFollower(0, s.MaxAge, s.Jitter)
	s.updateFeed()
}

// updateFeed sets where the list comes from now: for the lease holder from discovery under its token, for
// others from the store while the list there is fresh, else from discovery without a token.
func (s *EndpointSync) updateFeed() {
	owned, owns := s.runner.activeLease()
	s.mu.Lock()
	defer s.mu.Unlock()
	feed := Feed{Token: owned.token}
	if !owns {
		feed = Feed{FromOwner: s.follower.Fresh(s.runner.now())}
	}
	if s.feedSet && feed == s.feed {
		return
	}
	if s.feedSet && s.feed.FromOwner && !feed.FromOwner && !owns {
		s.runner.opts.Log.Warn("owner: endpoint list too old, asking discovery", "age",
			s.follower.Age(s.runner.now()).Round(time.Millisecond))
	}
	s.feed, s.feedSet = feed, true
	s.Source.Feed(feed)
}

// runPublisher publishes the list while this member holds the lease and its watch on discovery is alive.
func (s *EndpointSync) runPublisher() {
	tick := time.NewTicker(min(s.PollInterval, maxPublishInterval))
	defer tick.Stop()
	for {
		select {
		case <-s.runner.stop:
			return
		case <-s.runner.acquired:
		case <-tick.C:
		}
		s.updateFeed()
		owned, owns := s.runner.activeLease()
		if owns && time.Since(s.Source.LastSeen()) <= s.WatchTimeout {
			s.recordRun(s.publish(owned.token))
		}
	}
}

// recordRun keeps the outcome of a publication for the page.
func (s *EndpointSync) recordRun(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.lastError = err.Error()
		return
	}
	s.lastError, s.lastRun = "", time.Now()
}

// publish writes the list to the store if it has changed, and otherwise confirms it once a quarter of MaxAge
// has passed.
func (s *EndpointSync) publish(token uint64) error {
	index := s.Source.Index()
	unchanged := token == s.lastPublished.token && index == s.lastPublished.index
	if unchanged && time.Since(s.lastPublished.startedAt) < s.MaxAge/4 {
		return nil
	}
	list, err := s.Source.Export()
	if err != nil || list == nil {
		return err
	}
	cmd := &groupstate.PublishEndpointList{Member: s.runner.opts.Name, Token: token, DiscoveryIndex: index}
	if !unchanged || !bytes.Equal(list, s.lastPublished.list) {
		cmd.Raw = list
	}
	startedAt := time.Now()
	if err := s.runner.commit(token, cmd.Encode()); err != nil {
		s.lastPublished.token = 0 // the command may be in the log or not: publish the full list next time
		return err
	}
	s.lastPublished = publication{token: token, index: index, list: list, startedAt: startedAt}
	return nil
}

// runFollower applies the published list.
func (s *EndpointSync) runFollower() {
	tick := time.NewTicker(s.PollInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.runner.stop:
			return
		case <-tick.C:
		}
		s.applyPublished(s.readPublished())
		s.updateFeed()
	}
}

// readPublished reads the published list from this member's replica or, if it has none, from the group. The
// bytes of the list are set only if it has changed since the last one applied. A zero view: none could be
// read.
func (s *EndpointSync) readPublished() (view groupstate.EndpointView) {
	query := groupstate.Query{Kind: groupstate.QueryEndpoints, ChangedAfter: s.appliedVersion}
	if value, ok := s.runner.opts.Store.Peek(query.Encode()); ok {
		view, _ = value.(groupstate.EndpointView)
		return view
	}
	if s.runner.query(max(s.PollInterval, minReadTimeout), query, &view) != nil {
		return groupstate.EndpointView{}
	}
	return view
}

// applyPublished takes over a published list that is new and not behind the one this member has.
func (s *EndpointSync) applyPublished(view groupstate.EndpointView) {
	if view.Version == 0 {
		return
	}
	_, owns := s.runner.activeLease()
	localIndex := s.Source.Index()
	s.mu.Lock()
	accepted := s.follower.Observe(s.runner.now(), view, localIndex)
	s.mu.Unlock()
	if !accepted || len(view.Raw) == 0 {
		return
	}
	s.appliedVersion = view.ChangedVersion
	if !owns { // the lease holder has it from discovery
		s.Source.Replace(view.Raw)
	}
}
