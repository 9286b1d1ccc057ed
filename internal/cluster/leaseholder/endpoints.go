package leaseholder

import (
	"bytes"
	"sync"
	"time"

	"cresshub/internal/cluster/groupstate"
)

// Feed is the origin of this member's endpoint list.
type Feed struct {
	FromOwner bool   // the list comes from the lease holder through the store, and discovery isn't asked
	Token     uint64 // fencing token that calls to discovery carry, 0 for none
}

// EndpointSource is this member's list of zone servers and its client of discovery.
type EndpointSource interface {
	// Feed sets where the list comes from; it doesn't block.
	Feed(Feed)
	// LastSeen returns when a watch last received a change or a heartbeat, the zero time for never.
	LastSeen() time.Time
	// Index returns discovery's version number of the current list, which rises with each change.
	Index() int64
	// Export encodes the current list in discovery's format; equal lists give equal bytes.
	Export() ([]byte, error)
	// Replace replaces the list with a complete one in discovery's format.
	Replace(raw []byte)
}

// EndpointSync lets one member watch discovery for all: the lease holder publishes its list in the store, and
// the others use the published list unless it is too old. It has two goroutines of its Runner: runPublisher,
// which publishes while this member holds the lease, and runFollower, which reads the store on every member.
type EndpointSync struct {
	// Source is this member's list and its client of discovery.
	Source EndpointSource
	// MaxAge is how long a published list may be used without a confirmation; 4 s by default. The lease holder
	// confirms it four times per MaxAge. Without a lease holder, members ask discovery after MaxAge plus Jitter.
	MaxAge time.Duration
	// Jitter is this member's addition to MaxAge, drawn once between 0 and MaxAge, so that the members don't all
	// ask discovery at the same time.
	Jitter time.Duration
	// PollInterval is the time between reads of the store, and so the longest delay from the arrival of a list
	// in this member's replica to its use; 250 ms by default.
	PollInterval time.Duration
	// WatchTimeout is how long a watch on discovery counts as alive without receiving data. A lease holder whose
	// watch isn't alive neither publishes nor confirms its list.
	WatchTimeout time.Duration

	runner *Runner

	mu        sync.Mutex
	follower  *groupstate.Follower
	feed      Feed
	feedSet   bool      // Source.Feed was called with feed
	lastRun   time.Time // when the list was last published or confirmed here, zero for never
	lastError string    // error of the last attempt to publish, "" if it succeeded

	lastPublished  publication // only runPublisher uses it
	appliedVersion uint64      // EndpointView.ChangedVersion of the list last applied; only runFollower uses it
}

// publication is a list that this member published or confirmed. The zero publication, or one whose token is
// 0, matches no list.
type publication struct {
	token     uint64
	index     int64
	list      []byte
	startedAt time.Time // when the command was proposed
}

const (
	// minReadTimeout is the shortest timeout of runFollower's reads.
	minReadTimeout = 500 * time.Millisecond
	// maxPublishInterval is the longest time between two checks whether the list has to be published.
	maxPublishInterval = 100 * time.Millisecond
)

func (s *EndpointSync) attach(r *Runner) {
	s.runner = r
	s.follower = groupstate.NewFollower(0, s.MaxAge, s.Jitter)
	s.updateFeed()
}

// updateFeed sets the current origin of the list: for the lease holder discovery, under its token; for other
// members the store while the list there is fresh, otherwise discovery without a token.
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

// recordRun records the outcome of a publication for the status page.
func (s *EndpointSync) recordRun(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.lastError = err.Error()
		return
	}
	s.lastError, s.lastRun = "", time.Now()
}

// publish writes the list to the store if it has changed or was published under another token. Otherwise it
// confirms the list once a quarter of MaxAge has passed since the last publication or confirmation.
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
		s.lastPublished.token = 0 // whether the command was committed is unknown: publish the full list next time
		return err
	}
	s.lastPublished = publication{token: token, index: index, list: list, startedAt: startedAt}
	return nil
}

// runFollower applies the published list until the runner is closed.
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

// readPublished reads the published list from this member's replica or, if it has none, from the group. Raw
// is set only if the list has changed since the last one applied. The view is zero if the list could not be
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

// applyPublished passes a view to the follower and, if that accepts it and the list has changed, replaces
// this member's list by it. The lease holder keeps its own list.
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
	if !owns { // the lease holder gets its list from discovery
		s.Source.Replace(view.Raw)
	}
}
