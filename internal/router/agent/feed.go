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
	offset  uint64 // of the last change of the hub's directory that it has received, 0 for none
	version int64  // of the configuration
	epoch   int64  // of the view, -1 for none received yet
}

// feedServer serves feeds to followers, at most one per connection, each on a goroutine of its own. Its
// methods are safe for concurrent use. No other lock is taken while its lock is held.
type feedServer struct {
	*process
	state      *state
	configSync *configSync
	load       *loadTable

	mu     sync.Mutex
	cancel map[*transport.Conn]chan struct{} // closing a channel ends the feed of its connection
}

func newFeedServer(p *process, state *state, configSync *configSync, load *loadTable) *feedServer {
	return &feedServer{process: p, state: state, configSync: configSync, load: load,
		cancel: map[*transport.Conn]chan struct{}{}}
}

// handleFollow starts a feed on a connection, in place of an earlier one.
func (s *feedServer) handleFollow(c *transport.Conn, frame peerproto.Frame) {
	var request peerproto.Follow
	if !decodeOrClose(c, frame.Body, &request) {
		return
	}
	go s.serve(c, &request, s.begin(c))
	s.load.sendPrefixIndex(c)
}

// begin registers a feed on a connection, ends an earlier one there, and returns the channel whose closing
// ends the new feed.
func (s *feedServer) begin(c *transport.Conn) (cancel <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLocked(c)
	s.cancel[c] = make(chan struct{})
	return s.cancel[c]
}

// end ends the feed of a connection, if there is one.
func (s *feedServer) end(c *transport.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLocked(c)
}

// endLocked does the work of end; the lock is held.
func (s *feedServer) endLocked(c *transport.Conn) {
	if cancel := s.cancel[c]; cancel != nil {
		close(cancel)
		delete(s.cancel, c)
	}
}

// serve sends the changes of the directory, the configuration and the view to a follower, until its
// connection ends or cancel closes. A follower whose offset is that of another hub's feed first gets a
// snapshot.
func (s *feedServer) serve(c *transport.Conn, request *peerproto.Follow, cancel <-chan struct{}) {
	position := feedPosition{offset: uint64(request.Offset), version: request.Version, epoch: -1}
	if request.Feed != s.id {
		position.offset = 0
	}
	keepalive := time.NewTicker(feedKeepaliveInterval)
	defer keepalive.Stop()
	for {
		changed := s.state.changed.next()
		feed := s.next(position.offset, position.epoch)
		if config := s.state.Config(); config != nil && config.Version > position.version {
			feed.Config, feed.Version = s.configSync.updateSince(config, position.version), config.Version
		}
		if !c.Send(peerproto.Frame{Kind: peerproto.KindFeed, Body: peerproto.Encode(feed)}) {
			return
		}
		position = feedPosition{offset: uint64(feed.To), version: feed.Version, epoch: feed.Epoch}
		if !s.awaitUpdate(c, cancel, changed, keepalive.C, position) {
			return
		}
	}
}

// awaitUpdate waits until there is an update that a follower has not received, or the next keepalive is due,
// and then returns true. It returns false once the connection has ended or the feed is canceled.
func (s *feedServer) awaitUpdate(c *transport.Conn, cancel, changed <-chan struct{},
	keepalive <-chan time.Time, position feedPosition) bool {
	for {
		select {
		case <-c.Closed():
			return false
		case <-cancel:
			return false
		case <-keepalive:
			return true
		case <-changed:
			changed = s.state.changed.next()
			if s.hasUpdate(position) {
				return true
			}
		}
	}
}

// hasUpdate reports whether there is an update that a follower at a position has not received.
func (s *feedServer) hasUpdate(position feedPosition) bool { return position != s.state.feedPosition() }

// next returns the records, and the view, that a follower with an offset and an epoch has not received.
func (s *feedServer) next(offset uint64, epoch int64) *peerproto.Feed {
	return s.state.feedSince(s.id, offset, epoch)
}

// copyRecords returns copies of the records, which do not change while they are read without the lock.
func copyRecords(records []*directory.Record) []directory.Record {
	copies := make([]directory.Record, len(records))
	for i, r := range records {
		copies[i] = *r
	}
	return copies
}
