package leaseholder

import (
	"bytes"
	"sync"
	"time"

	"cresshub/internal/cluster/groupstate"
)

// Feed is where a member's list of servers comes from.
type Feed struct {
	FromOwner bool   // an owner's list is followed; discovery is not asked
	Token     uint64 // that calls on discovery carry, 0 for none
}

// EndpointSource is this member's list of servers.
type EndpointSource interface {
	// Feed says where the list comes from; it returns at once.
	Feed(Feed)
	// LastSeen is when discovery last said something on the watch that stands, zero where it never did.
	LastSeen() time.Time
	// Index is discovery's count of changes of the list as it is held.
	Index() int64
	// Exporter is the list as it is held, in discovery's form; the same list gives the same bytes.
	Export() ([]byte, error)
	// Replace takes a whole list in.
	Replace(raw []byte)
}

// Endpoints has the owner ask discovery for all, and this member go by what the owner told.
type EndpointSync struct {
	Source       EndpointSource
	MaxAge       time.Duration // an owner's list that is older is not gone by
	Jitter       time.Duration // this member's own wait beyond, drawn once
	PollInterval time.Duration // between looks at the store
	WatchTimeout time.Duration // a watch that says nothing for so long is broken

	runner *Runner

	mu       sync.Mutex
	follower *groupstate.Follower
	feed     Feed
	feedSet  bool // fed was said
	lastRun  time.Time
	problem  string

	// What publishing alone uses.
	publishedToken uint64 // that the list was told under last
	published      []byte
	publishedIndex int64
	publishedAt    time.Time
	appliedVersion uint64 // the version of the list that was taken last; following alone uses it
}

func (s *EndpointSync) attach(r *Runner) {
	s.runner = r
	s.follower = groupstate.NewFollower(0, s.MaxAge, s.Jitter)
	s.updateFeed()
}

// updateFeed says where the list comes from now: as the owner from discovery under the token, else from the
// owner's list while that is young enough, else from discovery without one.
func (s *EndpointSync) updateFeed() {
	token, _, owns := s.runner.ActiveLease()
	s.mu.Lock()
	defer s.mu.Unlock()
	feed := Feed{Token: token}
	if !owns {
		feed = Feed{FromOwner: s.follower.Fresh(s.runner.now())}
	}
	if s.feedSet && feed == s.feed {
		return
	}
	if s.feedSet && s.feed.FromOwner && !feed.FromOwner && !owns {
		s.runner.opts.Log.Warn("owner: no owner's list is young enough; asking discovery", "age",
			s.follower.Age(s.runner.now()).Round(time.Millisecond))
	}
	s.feed, s.feedSet = feed, true
	s.Source.Feed(feed)
}

// runPublisher tells the list while this member is the owner and hears discovery.
func (s *EndpointSync) runPublisher() {
	defer s.runner.wg.Done()
	tick := time.NewTicker(min(s.PollInterval, 100*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-s.runner.stopCh:
			return
		case <-s.runner.acquired:
		case <-tick.C:
		}
		s.updateFeed()
		token, _, owns := s.runner.ActiveLease()
		if !owns || time.Since(s.Source.LastSeen()) > s.WatchTimeout {
			continue
		}
		err := s.publish(token)
		s.mu.Lock()
		s.problem = ""
		if err != nil {
			s.problem = err.Error()
		} else {
			s.lastRun = time.Now()
		}
		s.mu.Unlock()
	}
}

// publish tells the list where it changed, and that it did not once a quarter of its time has passed.
func (s *EndpointSync) publish(token uint64) error {
	index := s.Source.Index()
	if token == s.publishedToken && index == s.publishedIndex && time.Since(s.publishedAt) < s.MaxAge/4 {
		return nil
	}
	raw, err := s.Source.Export()
	if err != nil || raw == nil {
		return err
	}
	cmd := &groupstate.EndpointList{Member: s.runner.opts.Name, Token: token, Index: index}
	if token != s.publishedToken || index != s.publishedIndex || !bytes.Equal(raw, s.published) {
		cmd.Raw = raw
	}
	startedAt := time.Now()
	if err := s.runner.commit(token, cmd.Encode()); err != nil {
		s.publishedToken = 0 // what the log has is not known: the whole list next time
		return err
	}
	s.publishedToken, s.publishedIndex, s.published, s.publishedAt = token, index, raw, startedAt
	return nil
}

// runFollower takes in the owner's list.
func (s *EndpointSync) runFollower() {
	defer s.runner.wg.Done()
	tick := time.NewTicker(s.PollInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.runner.stopCh:
			return
		case <-tick.C:
		}
		query := groupstate.Query{Kind: groupstate.QueryEndpoints, After: s.appliedVersion}
		var view groupstate.EndpointView
		if got, ok := s.runner.opts.Store.Peek(query.Encode()); ok {
			view, _ = got.(groupstate.EndpointView)
		} else if s.runner.query(max(s.PollInterval, 500*time.Millisecond), query, &view) != nil {
			view = groupstate.EndpointView{}
		}
		s.apply(view)
		s.updateFeed()
	}
}

// apply takes in the list as the store has it.
func (s *EndpointSync) apply(view groupstate.EndpointView) {
	if view.Version == 0 {
		return
	}
	_, _, owns := s.runner.ActiveLease()
	localIndex := s.Source.Index()
	s.mu.Lock()
	accepted := s.follower.Observe(s.runner.now(), view, localIndex)
	s.mu.Unlock()
	if !accepted || len(view.Raw) == 0 {
		return
	}
	s.appliedVersion = view.Changed
	if !owns { // the owner has it from discovery
		s.Source.Replace(view.Raw)
	}
}
