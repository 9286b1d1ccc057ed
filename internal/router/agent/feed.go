package agent

import (
	"sync"
	"time"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/transport"
)

// feedKeepaliveInterval is how often a feed without changes sends a message without records.
const feedKeepaliveInterval = 400 * time.Millisecond

// feedPosition is how far a follower has received a feed.
type feedPosition struct {
	offset  uint64 // in the directory's numbering of changes, 0 for nothing
	version int64  // of the configuration
	epoch   int64  // of the view, -1 for none received yet
}

// feedSet holds the feeds that this process serves, one for a connection. It is safe for concurrent use.
type feedSet struct {
	mu     sync.Mutex
	cancel map[*transport.Conn]chan struct{} // closing one ends the feed
}

func newFeedSet() feedSet { return feedSet{cancel: map[*transport.Conn]chan struct{}{}} }

// begin adds a feed, in place of an earlier one on the connection, and returns the channel that closes when
// it is to end.
func (s *feedSet) begin(c *transport.Conn) (cancel <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLocked(c)
	s.cancel[c] = make(chan struct{})
	return s.cancel[c]
}

// end ends the feed of a connection, where there is one.
func (s *feedSet) end(c *transport.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLocked(c)
}

func (s *feedSet) endLocked(c *transport.Conn) {
	if cancel := s.cancel[c]; cancel != nil {
		close(cancel)
		delete(s.cancel, c)
	}
}

// serveFeed sends the changes of the directory, the configuration and the view to a follower, until its
// connection ends or cancel closes. A follower of another feed begins with a snapshot.
func (a *Agent) serveFeed(c *transport.Conn, request *peerproto.Follow, cancel <-chan struct{}) {
	at := feedPosition{offset: uint64(request.Offset), version: request.Version, epoch: -1}
	if request.Feed != a.id {
		at.offset = 0
	}
	keepalive := time.NewTicker(feedKeepaliveInterval)
	defer keepalive.Stop()
	for {
		changed := a.state.changed.next()
		feed := a.nextFeed(at.offset, at.epoch)
		if config := a.state.Config(); config != nil && config.Version > at.version {
			feed.Config, feed.Version = a.configSync.updateSince(config, at.version), config.Version
		}
		if !c.Send(peerproto.Frame{Kind: peerproto.KindFeed, Body: peerproto.Encode(feed)}) {
			return
		}
		at = feedPosition{offset: uint64(feed.To), version: feed.Version, epoch: feed.Epoch}
		if !a.awaitUpdate(c, cancel, changed, keepalive.C, at) {
			return
		}
	}
}

// awaitUpdate returns true once there is something that a follower has not received, or the next keepalive is
// due, and false once the feed is to end.
func (a *Agent) awaitUpdate(c *transport.Conn, cancel, changed <-chan struct{}, keepalive <-chan time.Time,
	at feedPosition) bool {
	for {
		select {
		case <-c.Closed():
			return false
		case <-cancel:
			return false
		case <-keepalive:
			return true
		case <-changed:
			changed = a.state.changed.next()
			if a.hasUpdate(at) {
				return true
			}
		}
	}
}

// hasUpdate reports whether there is something that a follower has not received.
func (a *Agent) hasUpdate(at feedPosition) bool {
	s := a.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return at != feedPosition{offset: s.directory.Offset(), version: s.version(), epoch: s.view.epoch}
}

// nextFeed returns the records and the view that a follower has not received.
func (a *Agent) nextFeed(offset uint64, epoch int64) *peerproto.Feed {
	s := a.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset > s.directory.Offset() {
		offset = 0
	}
	feed := &peerproto.Feed{
		Feed: a.id, From: int64(offset), To: int64(s.directory.Offset()), Epoch: s.view.epoch,
		Records: copyRecords(s.directory.Since(offset)), Version: s.version(),
	}
	if epoch != s.view.epoch {
		feed.Members = s.view.members
	}
	return feed
}

// copyRecords returns the records themselves, which don't change under the reader.
func copyRecords(records []*directory.Record) []directory.Record {
	copies := make([]directory.Record, len(records))
	for i, r := range records {
		copies[i] = *r
	}
	return copies
}
