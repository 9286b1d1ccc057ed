package dataplane

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"cresshub/internal/invariant"
	"cresshub/internal/stallclock"
)

const (
	// minConnectionsPerServer is how many connections a proxy may have to each server, no matter among how many
	// proxies the service's limit is divided.
	minConnectionsPerServer = 2
	// sweepInterval is the time between two checks of the idle connections.
	sweepInterval = time.Second
)

// errConnectionLimit means that the limit of connections, to the server or to all servers, is reached and no
// idle connection can be closed to make room.
var errConnectionLimit = errors.New(
	"connection limit reached, and no connection is idle",
)

// pool manages the connections to servers, by incarnation. It is safe for concurrent use.
type pool struct {
	counters *counters
	clock    *stallclock.Clock
	isListed func(server string) bool // reports whether the server is in the current table
	maxOpen  int                      // limit of connections to all servers together

	mu       sync.Mutex // guards the fields below
	open     int        // connections to all servers together
	servers  map[string]*serverConnections
	sweeping bool // a sweep is scheduled
}

// serverConnections are the connections to one incarnation. The pool has an entry while at least one is open.
type serverConnections struct {
	open int           // in use, idle, or being dialled
	idle []*connection // the most recently used one is last
}

func newPool(counters *counters, clock *stallclock.Clock, maxOpen int,
	isListed func(server string) bool) *pool {
	return &pool{counters: counters, clock: clock, maxOpen: maxOpen, isListed: isListed,
		servers: map[string]*serverConnections{}}
}

// get returns a connection without pending input: the most recently used idle one that is suitable, or else a
// new one. ctx applies to dialling.
func (p *pool) get(ctx context.Context, spec connectionSpec) (*connection, error) {
	for {
		conn, err := p.reserve(spec, time.Now())
		if err != nil {
			return nil, err
		}
		if conn == nil {
			return p.dial(ctx, spec)
		}
		if conn.suitable(spec) && conn.hasNoPendingInput() {
			conn.reused, conn.lastRequest = true, spec.requestNumber
			p.counters.reused.Add(1)
			return conn, nil
		}
		p.discard(conn)
	}
}

// reserve returns an idle connection, or nil after it has reserved a slot for a new one. If all slots are
// taken, the idle connection may be expired or belong to another server; get then discards it and reserves
// again, to use its slot.
func (p *pool) reserve(spec connectionSpec, now time.Time) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.servers[spec.server.ID]
	if conns == nil {
		conns = &serverConnections{}
	}
	if last := len(conns.idle) - 1; last >= 0 && conns.idle[last].fresh(spec, now) {
		return conns.popLast(), nil
	}
	if spec.maxPerServer > 0 && conns.open >= max(spec.maxPerServer, minConnectionsPerServer) {
		if len(conns.idle) == 0 {
			return nil, errConnectionLimit
		}
		return conns.popLast(), nil
	}
	if p.open >= p.maxOpen {
		return p.popAny()
	}
	p.servers[spec.server.ID] = conns
	conns.open++
	p.open++
	return nil, nil
}

// popAny removes an idle connection to any server from the pool and returns it.
func (p *pool) popAny() (*connection, error) {
	for _, conns := range p.servers {
		if len(conns.idle) > 0 {
			return conns.popLast(), nil
		}
	}
	return nil, errConnectionLimit
}

// popLast removes the most recently used connection from the idle ones and returns it.
func (s *serverConnections) popLast() *connection {
	last := len(s.idle) - 1
	conn := s.idle[last]
	s.idle[last] = nil
	s.idle = s.idle[:last]
	return conn
}

// dial opens a connection in a slot that reserve has reserved.
func (p *pool) dial(ctx context.Context, spec connectionSpec) (*connection, error) {
	dialer := net.Dialer{Control: setServerSocketOptions, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", spec.server.Address)
	if err != nil {
		p.releaseSlot(spec.server.ID)
		return nil, err
	}
	socket, err := newSocket(conn, p.clock)
	if err != nil {
		conn.Close()
		p.releaseSlot(spec.server.ID)
		return nil, err
	}
	p.counters.dialled.Add(1)
	return &connection{socket: socket, server: spec.server.ID, lastRequest: spec.requestNumber}, nil
}

// put returns a connection to the pool; keepAlive is how long it may stay idle.
func (p *pool) put(conn *connection, keepAlive time.Duration) {
	if keepAlive <= 0 || conn.hasBufferedInput() {
		p.discard(conn)
		return
	}
	conn.returnEmptyBuffers()
	conn.SetDeadline(time.Time{})
	conn.idleSince = time.Now()
	conn.expiresAt = conn.idleSince.Add(keepAlive)
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.servers[conn.server]
	conns.idle = append(conns.idle, conn)
	p.scheduleSweep()
}

// discard closes a connection and releases its slot.
func (p *pool) discard(conn *connection) {
	_ = conn.Close() // the connection is not used any more, so an error has no consequence
	conn.returnBuffers()
	p.releaseSlot(conn.server)
}

// releaseSlot releases the slot of a connection that is closed or could not be opened.
func (p *pool) releaseSlot(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	conns := p.servers[server]
	if conns.open--; conns.open == 0 {
		delete(p.servers, server)
	}
	invariant.Assert(p.open >= 0 && conns.open >= len(conns.idle), invariant.CountsNotNegative,
		"%d connections, %d to %s of which %d are idle", p.open, conns.open, server, len(conns.idle))
}

// scheduleSweep schedules the next sweep unless one is scheduled already. The caller holds mu, and calls it
// only while there are idle connections.
func (p *pool) scheduleSweep() {
	if !p.sweeping {
		p.sweeping = true
		time.AfterFunc(sweepInterval, p.sweep)
	}
}

// sweep closes idle connections that have expired or whose server is no longer in the table.
func (p *pool) sweep() {
	for _, conn := range p.takeExpired(time.Now()) {
		p.discard(conn)
	}
}

// takeExpired removes the connections that sweep closes from the pool and returns them.
func (p *pool) takeExpired(now time.Time) (expired []*connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweeping = false
	for id, conns := range p.servers {
		unlisted := !p.isListed(id)
		retained := conns.idle[:0]
		for _, conn := range conns.idle {
			if unlisted || !now.Before(conn.expiresAt) {
				expired = append(expired, conn)
				continue
			}
			retained = append(retained, conn)
		}
		clear(conns.idle[len(retained):])
		conns.idle = retained
		if len(retained) > 0 {
			p.scheduleSweep()
		}
	}
	return expired
}
