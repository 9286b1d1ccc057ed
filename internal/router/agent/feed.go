package agent

import (
	"time"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/transport"
)

// feedKeepaliveInterval is how often a feed without changes tells that it is alive.
const feedKeepaliveInterval = 400 * time.Millisecond

// serveFeed sends the changes of this copy to a follower until its connection ends.
func (a *Agent) serveFeed(c *transport.Conn, request *peerproto.Follow, cancel <-chan struct{}) {
	offset, version := uint64(request.Offset), request.Version
	if request.Feed != a.id {
		offset = 0
	}
	epoch := int64(-1)
	keepalive := time.NewTicker(feedKeepaliveInterval)
	defer keepalive.Stop()
	for {
		changed := a.state.nextChange()
		feed := a.nextFeed(offset, epoch)
		if config := a.state.Config(); config != nil && config.Version > version {
			feed.Config, feed.Version = a.configUpdate(config, version), config.Version
		}
		if !c.Send(peerproto.Frame{Kind: peerproto.KindFeed, Body: peerproto.Encode(feed)}) {
			return
		}
		offset, version, epoch = uint64(feed.To), feed.Version, feed.Epoch
		if !a.awaitUpdate(c, cancel, changed, keepalive, offset, version, epoch) {
			return
		}
	}
}

// awaitUpdate returns once there is something to tell a follower, or it is time to tell that there is
// nothing. It returns false when the feed is to end.
func (a *Agent) awaitUpdate(c *transport.Conn, cancel, changed <-chan struct{}, keepalive *time.Ticker,
	offset uint64, version, epoch int64) bool {
	for {
		select {
		case <-c.Closed():
			return false
		case <-cancel:
			return false
		case <-keepalive.C:
			return true
		case <-changed:
			changed = a.state.nextChange()
			if a.hasUpdate(offset, version, epoch) {
				return true
			}
		}
	}
}

func (a *Agent) hasUpdate(offset uint64, version, epoch int64) bool {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	s := a.state
	return s.directory.Offset() != offset || s.version() != version || s.view.epoch != epoch
}

// nextFeed returns what a follower at a place has not heard yet.
func (a *Agent) nextFeed(offset uint64, epoch int64) *peerproto.Feed {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	d := a.state.directory
	if offset > d.Offset() {
		offset = 0
	}
	feed := &peerproto.Feed{Feed: a.id, From: int64(offset), To: int64(d.Offset()), Epoch: a.state.view.epoch}
	feed.Records = copyRecords(d.Since(offset))
	if epoch != a.state.view.epoch {
		feed.Members = a.state.view.members
	}
	feed.Version = a.state.version()
	return feed
}

func copyRecords(records []*directory.Record) []directory.Record {
	values := make([]directory.Record, len(records))
	for i, r := range records {
		values[i] = *r
	}
	return values
}
