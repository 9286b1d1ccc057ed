package dataplane

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cresshub/internal/invariant"
	"cresshub/internal/router/catalog"
)

const (
	// idleUntold is how long a connection stays idle whose server does not tell; it would tell whole seconds.
	idleUntold = 900 * time.Millisecond
	// idleMost bounds how long a connection stays idle, whatever its server tells.
	idleMost = 30 * time.Second
	// idleUnsafe bounds it for requests that must not be sent twice: a server that closes while the request is
	// on the way leaves open whether it ran.
	idleUnsafe = 4 * time.Second
	// idleMargin is taken off the time that a server tells.
	idleMargin = 500 * time.Millisecond
	// leastPerServer is the share of a server's connections that a proxy has however many proxies there are.
	leastPerServer = 2
	sweepSpan      = time.Second
)

// errNoPlace says that the proxy has its share of a server's connections in use.
var errNoPlace = errors.New("all connections that this proxy may have to the server are in use; use another")

// connection is one to a server's incarnation.
type connection struct {
	*socket
	server  string
	reused  bool        // it has carried a request before
	request uint64      // number of the last request that it carried, 0 for one of the proxy's own
	large   atomic.Bool // its last request has a large body
	since   time.Time
	expires time.Time
}

// pool keeps connections to servers, by incarnation.
type pool struct {
	stats  *counters
	listed func(server string) bool
	most   int // connections to all servers together

	mu       sync.Mutex
	open     int
	peers    map[string]*peerState
	sweeping bool
}

type peerState struct {
	open int           // in use, idle, and being dialled
	idle []*connection // the last used at the end
}

func newPool(stats *counters, most int, listed func(server string) bool) *pool {
	return &pool{stats: stats, most: most, listed: listed, peers: map[string]*peerState{}}
}

// want is what a call asks of its connection.
type want struct {
	server *catalog.Server
	most   int           // connections that this proxy may have to the server, 0 where there is no bound
	idle   time.Duration // the longest that the connection may have been idle
	// request is the number of the client's request, 0 for one of the proxy's own. The connection must not have
	// carried it before: a server that answers twice would answer the second call with the first one's answer.
	request uint64
}

// take returns a connection that is quiet: the one used last, or else a new one, which ctx bounds.
func (p *pool) take(ctx context.Context, w want) (*connection, error) {
	for {
		c, err := p.reserve(w, time.Now())
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx, w)
		}
		if c.suits(w) && c.quiet() {
			c.reused, c.request = true, w.request
			p.stats.reused.Add(1)
			return c, nil
		}
		p.drop(c)
	}
}

// suits tells whether an idle connection may carry the call.
func (c *connection) suits(w want) bool {
	again := w.request != 0 && c.request == w.request
	return c.server == w.server.ID && !again && c.fresh(w, time.Now())
}

// fresh tells whether an idle connection may carry the call, as far as its age tells.
func (c *connection) fresh(w want, now time.Time) bool {
	return now.Before(c.expires) && now.Sub(c.since) <= w.idle
}

// reserve returns an idle connection, or nil and the place for a new one. Where there is no place the idle
// connection may be too old, or one to another server: to be closed for a place.
func (p *pool) reserve(w want, now time.Time) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[w.server.ID]
	if peer == nil {
		peer = &peerState{}
	}
	if last := len(peer.idle) - 1; last >= 0 && peer.idle[last].fresh(w, now) {
		return peer.popLast(), nil
	}
	if w.most > 0 && peer.open >= max(w.most, leastPerServer) {
		if len(peer.idle) == 0 {
			return nil, errNoPlace
		}
		return peer.popLast(), nil
	}
	if p.open >= p.most {
		return p.popAny()
	}
	p.peers[w.server.ID] = peer
	peer.open++
	p.open++
	return nil, nil
}

// popAny returns an idle connection to any server.
func (p *pool) popAny() (*connection, error) {
	for _, peer := range p.peers {
		if len(peer.idle) > 0 {
			return peer.popLast(), nil
		}
	}
	return nil, errNoPlace
}

func (s *peerState) popLast() *connection {
	last := len(s.idle) - 1
	c := s.idle[last]
	s.idle[last] = nil
	s.idle = s.idle[:last]
	return c
}

func (p *pool) dial(ctx context.Context, w want) (*connection, error) {
	dialer := net.Dialer{Control: controlServer, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", w.server.Address)
	if err != nil {
		p.free(w.server.ID)
		return nil, err
	}
	socket, err := newSocket(conn)
	if err != nil {
		conn.Close()
		p.free(w.server.ID)
		return nil, err
	}
	p.stats.dialled.Add(1)
	return &connection{socket: socket, server: w.server.ID, request: w.request}, nil
}

// keep takes a connection back for the next call; alive is how long the server keeps it.
func (p *pool) keep(c *connection, alive time.Duration) {
	if alive <= 0 || c.holdsInput() {
		p.drop(c)
		return
	}
	c.rest()
	c.SetDeadline(time.Time{})
	c.since = time.Now()
	c.expires = c.since.Add(alive)
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[c.server]
	peer.idle = append(peer.idle, c)
	p.sweepLater()
}

// drop closes a connection.
func (p *pool) drop(c *connection) {
	c.Close()
	c.release()
	p.free(c.server)
}

func (p *pool) free(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	peer := p.peers[server]
	if peer.open--; peer.open == 0 {
		delete(p.peers, server)
	}
	invariant.Assert(p.open >= 0 && peer.open >= len(peer.idle), invariant.CountsNotNegative,
		"%d connections, %d to %s of which %d are idle", p.open, peer.open, server, len(peer.idle))
}

// sweepLater has the idle connections looked through once in a while, as long as there are any.
func (p *pool) sweepLater() {
	if !p.sweeping {
		p.sweeping = true
		time.AfterFunc(sweepSpan, p.sweep)
	}
}

// sweep closes connections that have been idle for too long, or whose server has left the table.
func (p *pool) sweep() {
	for _, c := range p.stale(time.Now()) {
		p.drop(c)
	}
}

func (p *pool) stale(now time.Time) (stale []*connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweeping = false
	for id, peer := range p.peers {
		gone := !p.listed(id)
		kept := peer.idle[:0]
		for _, c := range peer.idle {
			if gone || !now.Before(c.expires) {
				stale = append(stale, c)
				continue
			}
			kept = append(kept, c)
		}
		clear(peer.idle[len(kept):])
		peer.idle = kept
		if len(kept) > 0 {
			p.sweepLater()
		}
	}
	return stale
}
