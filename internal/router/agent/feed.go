package agent

import (
	"time"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/transport"
)

// feedInterval is how often a feed without changes tells that it is alive.
const feedInterval = 400 * time.Millisecond

// serveFeed sends the changes of this copy to a follower until its connection ends.
func (n *Node) serveFeed(c *transport.Conn, request *peerproto.Follow, cancel <-chan struct{}) {
	place, version := uint64(request.Offset), request.Version
	if request.Feed != n.id {
		place = 0
	}
	epoch := int64(-1)
	ticker := time.NewTicker(feedInterval)
	defer ticker.Stop()
	for {
		changed := n.state.next()
		piece := n.feedPiece(place, epoch)
		if config := n.state.Config(); config != nil && config.Version > version {
			piece.Config, piece.Version = n.newsOfConfig(config, version), config.Version
		}
		if !c.Send(peerproto.Frame{Kind: peerproto.KindFeed, Body: peerproto.Encode(piece)}) {
			return
		}
		place, version, epoch = uint64(piece.To), piece.Version, piece.Epoch
		if !n.awaitNews(c, cancel, changed, ticker, place, version, epoch) {
			return
		}
	}
}

// awaitNews returns once there is something to tell a follower, or it is time to tell that there is
// nothing. It returns false when the feed is to end.
func (n *Node) awaitNews(c *transport.Conn, cancel, changed <-chan struct{}, ticker *time.Ticker,
	place uint64, version, epoch int64) bool {
	for {
		select {
		case <-c.Closed():
			return false
		case <-cancel:
			return false
		case <-ticker.C:
			return true
		case <-changed:
			changed = n.state.next()
			if n.hasNews(place, version, epoch) {
				return true
			}
		}
	}
}

func (n *Node) hasNews(place uint64, version, epoch int64) bool {
	n.state.mu.Lock()
	defer n.state.mu.Unlock()
	s := n.state
	return s.directory.Offset() != place || s.version() != version || s.view.epoch != epoch
}

// feedPiece returns what a follower at a place has not heard yet.
func (n *Node) feedPiece(place uint64, epoch int64) *peerproto.Feed {
	n.state.mu.Lock()
	defer n.state.mu.Unlock()
	d := n.state.directory
	if place > d.Offset() {
		place = 0
	}
	piece := &peerproto.Feed{Feed: n.id, From: int64(place), To: int64(d.Offset()), Epoch: n.state.view.epoch}
	piece.Records = valuesOf(d.Since(place))
	if epoch != n.state.view.epoch {
		piece.Members = n.state.view.members
	}
	piece.Version = n.state.version()
	return piece
}

func valuesOf(records []*directory.Record) []directory.Record {
	values := make([]directory.Record, len(records))
	for i, r := range records {
		values[i] = *r
	}
	return values
}
