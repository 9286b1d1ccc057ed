// Package dataplane is the data plane of a node: it takes clients' HTTP/1.1 requests, passes each to servers
// of its route's service, and passes the answer back. Which server a request goes to is decided by package
// pairing. What may be sent again, and what the client is told when nothing more is tried, follows from one
// question: whether the request may have run.
package dataplane

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cresshub/internal/acceptloop"
	"cresshub/internal/bodybudget"
	"cresshub/internal/http1"
	"cresshub/internal/router/agentsettings"
	"cresshub/internal/router/catalog"
	"cresshub/internal/router/fleetconfig"
)

const (
	// bodiesPart is the part of the process's memory that bodies may take.
	bodiesPart = 8
	// reservedDescriptors are left to files. One part of the others in controlPart is left to connections of
	// other processes, servers' heartbeats and operators; clients and servers may have half of the rest each.
	reservedDescriptors  = 200
	controlPart          = 8
	leastDescriptorShare = 16
)

// State is what the data plane reads for each request: immutable snapshots.
type State interface {
	Config() *fleetconfig.Config // nil until a configuration is known
	Servers() *catalog.Table
	Proxies() int // proxies believed live, at least 1
	// Gone tells that a server's address answers for another incarnation.
	Gone(server string)
	// Suspect tells that a server's machine does not acknowledge what is sent to it, or refuses connections.
	Suspect(server string)
}

// Front is the data plane. Its methods are safe for concurrent use.
type Front struct {
	settings *agentsettings.Settings
	state    State
	log      zerolog.Logger
	started  time.Time

	decider  *decider
	budgets  *budgets
	bodies   *bodybudget.Budget
	pool     *pool
	tickets  *ticketReturner
	stats    counters
	calls    callCounts
	observer observer

	deliveries atomic.Uint64 // how many requests were taken to servers

	readTimes *readTimes

	mu       sync.Mutex
	clients  map[*client]struct{}
	changed  chan struct{} // closed and replaced when a client has gone
	draining atomic.Bool
	drained  time.Time // when the drain began
}

// New returns a Front. It opens nothing before Serve.
func New(settings *agentsettings.Settings, state State, log zerolog.Logger) *Front {
	f := &Front{
		settings: settings, state: state, log: log, started: time.Now(),
		budgets: newBudgets(settings.Bounds), bodies: bodybudget.NewBudget(settings.MemoryBytes / bodiesPart),
		readTimes: newReadTimes(), clients: map[*client]struct{}{}, changed: make(chan struct{}),
	}
	f.observer.use(log)
	f.decider = newDecider(settings.Zone, state, f.now)
	listed := func(server string) bool { return f.servers().ByID(server) != nil }
	f.pool = newPool(&f.stats, f.descriptorShare(), listed)
	f.tickets = newTicketReturner(f.pool)
	return f
}

// now is the steady clock that decisions and budgets are told.
func (f *Front) now() time.Duration { return time.Since(f.started) }

func (f *Front) servers() *catalog.Table { return servers(f.state) }

func servers(state State) *catalog.Table {
	if table := state.Servers(); table != nil {
		return table
	}
	return noServers
}

var noServers = catalog.NewTable(0, nil)

func (f *Front) limits() fleetconfig.Limits {
	if config := f.state.Config(); config != nil {
		return config.Limits
	}
	return limitsBefore
}

// limitsBefore hold until a configuration is known. They are wider than any that are likely to be configured:
// a request that the configuration may allow has to be answered 503, and not 413 or 431.
var limitsBefore = fleetconfig.Limits{
	MaxHeaderBytes: 64 << 10, MaxBodyBytes: http1.Largest, HeaderTimeout: 5 * time.Second,
	IdleTimeout: 30 * time.Second,
}

// Serve accepts clients until the listener is closed, and then returns nil.
func (f *Front) Serve(listener net.Listener) error {
	failed := func(err error) {
		f.observer.failures.Warn().Err(err).Msg("front: cannot accept a client, trying again shortly")
	}
	_ = acceptloop.Run(listener, failed, f.accept) // it ends with the listener
	return nil
}

func (f *Front) accept(conn net.Conn) {
	socket, err := newSocket(conn)
	if err != nil {
		conn.Close()
		return
	}
	// An accepted socket is connected already, so the option is all that is missing.
	_ = setUserTimeout(socket.raw, clientTimeout)
	c := &client{front: f, socket: socket}
	if !f.admit(c) {
		conn.Close()
		f.stats.clientsTurnedAway.Add(1)
		f.observer.failures.Warn().Int("most", f.descriptorShare()).Msg("front: too many clients; one was closed")
		return
	}
	f.stats.clients.Add(1)
	go c.run()
}

// admit registers a client unless there are too many.
func (f *Front) admit(c *client) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.clients) >= f.descriptorShare() {
		return false
	}
	f.clients[c] = struct{}{}
	return true
}

func (f *Front) leave(c *client) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.clients, c)
	close(f.changed)
	f.changed = make(chan struct{})
}

// descriptorShare is how many connections there may be to clients, and likewise to servers.
func (f *Front) descriptorShare() int {
	open := f.settings.Descriptors - reservedDescriptors
	return max((open-open/controlPart)/2, leastDescriptorShare)
}

// connectionShare is how many connections this proxy may have to each server of a service, 0 for any number.
func (f *Front) connectionShare(service *fleetconfig.Service) int {
	if service.MaxConnections <= 0 {
		return 0
	}
	return max(service.MaxConnections/max(f.state.Proxies(), 1), leastPerServer)
}
