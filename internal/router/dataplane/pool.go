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
	// defaultIdleTime is how long a connection stays idle whose server does not announce a time; it would
	// announce whole seconds.
	defaultIdleTime = 900 * time.Millisecond
	// maxIdleTime bounds how long a connection stays idle, whatever its server announces.
	maxIdleTime = 30 * time.Second
	// maxIdleTimeUnsafe bounds it for requests that must not be sent twice: if the server closes the connection
	// while the request is on its way, nobody knows whether it ran.
	maxIdleTimeUnsafe = 4 * time.Second
	// keepAliveMargin is subtracted from the time that a server announces.
	keepAliveMargin = 500 * time.Millisecond
	// minPerServer is how many connections to a server a proxy may have however many proxies there are.
	minPerServer  = 2
	sweepInterval = time.Second
)

// errNoConnectionFree means that as many connections are in use as the limits allow.
var errNoConnectionFree = errors.New(
	"all connections that this proxy may have to the server are in use; use another",
)

// connection is a connection to a server's incarnation. One call at a time uses it.
type connection struct {
	*socket
	server      string
	reused      bool        // it has carried a request before
	lastRequest uint64      // number of the last request on it, 0 for one of the proxy's own
	largeBody   atomic.Bool // its last request has a large body
	idleSince   time.Time
	expiresAt   time.Time
}

// pool keeps the connections to servers, by incarnation. It is safe for concurrent use.
type pool struct {
	counters *counters
	isListed func(server string) bool
	maxOpen  int // to all servers together

	mu       sync.Mutex
	open     int
	servers  map[string]*serverConnections
	sweeping bool
}

type serverConnections struct {
	open int           // in use, idle, or being dialled
	idle []*connection // the one used last at the end
}

func newPool(counters *counters, maxOpen int, isListed func(server string) bool) *pool {
	return &pool{counters: counters, maxOpen: maxOpen, isListed: isListed,
		servers: map[string]*serverConnections{}}
}

// connectionSpec is what a call needs of its connection.
type connectionSpec struct {
	server       *catalog.Server
	maxPerServer int           // connections of this proxy to the server, 0 if there is no bound
	maxIdle      time.Duration // for how long the connection may have been idle
	// requestNumber is the number of the client's request, 0 for one of the proxy's own. The connection
	// must not have carried it before: a server that answers twice would answer the second call with the
	// first one's response.
	requestNumber uint64
}

// get returns a quiet connection: the one used last, or else a new one, whose dialling ctx bounds.
func (p *pool) get(ctx context.Context, spec connectionSpec) (*connection, error) {
	for {
		conn, err := p.reserve(spec, time.Now())
		if err != nil {
			return nil, err
		}
		if conn == nil {
			return p.dial(ctx, spec)
		}
		if conn.suitable(spec) && conn.quiet() {
			conn.reused, conn.lastRequest = true, spec.requestNumber
			p.counters.reused.Add(1)
			return conn, nil
		}
		p.discard(conn)
	}
}

// suitable reports whether an idle connection may carry the call.
func (c *connection) suitable(spec connectionSpec) bool {
	repeated := spec.requestNumber != 0 && c.lastRequest == spec.requestNumber
	return c.server == spec.server.ID && !repeated && c.fresh(spec, time.Now())
}

// fresh reports whether an idle connection is young enough for the call.
func (c *connection) fresh(spec connectionSpec, now time.Time) bool {
	return now.Before(c.expiresAt) && now.Sub(c.idleSince) <= spec.maxIdle
}

// reserve returns an idle connection, or nil after it has reserved a slot for a new one. Where all slots
// are taken the idle connection may be too old, or to another server: to be closed for its slot.
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
	if spec.maxPerServer > 0 && conns.open >= max(spec.maxPerServer, minPerServer) {
		if len(conns.idle) == 0 {
			return nil, errNoConnectionFree
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

// popAny returns an idle connection to any server.
func (p *pool) popAny() (*connection, error) {
	for _, conns := range p.servers {
		if len(conns.idle) > 0 {
			return conns.popLast(), nil
		}
	}
	return nil, errNoConnectionFree
}

func (s *serverConnections) popLast() *connection {
	last := len(s.idle) - 1
	conn := s.idle[last]
	s.idle[last] = nil
	s.idle = s.idle[:last]
	return conn
}

func (p *pool) dial(ctx context.Context, spec connectionSpec) (*connection, error) {
	dialer := net.Dialer{Control: controlServer, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", spec.server.Address)
	if err != nil {
		p.releaseSlot(spec.server.ID)
		return nil, err
	}
	socket, err := newSocket(conn)
	if err != nil {
		conn.Close()
		p.releaseSlot(spec.server.ID)
		return nil, err
	}
	p.counters.dialled.Add(1)
	return &connection{socket: socket, server: spec.server.ID, lastRequest: spec.requestNumber}, nil
}

// put returns a connection to the pool; keepAlive is how long the server keeps it open.
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
	_ = conn.Close() // nothing is left to be done for a connection that is given up
	conn.returnBuffers()
	p.releaseSlot(conn.server)
}

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

// scheduleSweep schedules the next sweep, as long as there are idle connections.
func (p *pool) scheduleSweep() {
	if !p.sweeping {
		p.sweeping = true
		time.AfterFunc(sweepInterval, p.sweep)
	}
}

// sweep closes connections that have been idle for too long, or whose server has left the table.
func (p *pool) sweep() {
	for _, conn := range p.takeExpired(time.Now()) {
		p.discard(conn)
	}
}

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
