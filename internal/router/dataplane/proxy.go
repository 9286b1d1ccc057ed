// Package dataplane is the data plane of a process of the router fleet: it accepts clients' HTTP/1.1
// requests, forwards each to servers of its route's service, and relays the response back.
//
// A client's connection (client) is served by one goroutine. Each request gets a round trip (roundTrip),
// which makes one or more calls (call), each an attempt at one server over a pooled connection (pool),
// until one of them is answered or nothing more may be tried. Package scheduler chooses the servers; a
// chooser serializes its use. A request to a service of model servers may be split: one call has a server
// prefill the prompt and returns a handle of the prefix cache (kvHandle), a second one has another server
// decode from it. A stream that breaks off is resumed at another server within the same response (relay,
// eventOrder). Retries are paid for from a budget by service (retryBudgets), as in Finagle and Envoy.
//
// What may be sent again, and what the client is answered when nothing more is tried, follows from one
// question: whether the request may have run (execution). docs/design/request-path.md lists the faults
// that this covers.
//
// Proxy's exported methods may be called by any goroutine. A roundTrip, its calls and its relay belong to
// the client's goroutine; only stop is called by others, when the client disconnects or the process ends.
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
	// Bodies may take the process's memory divided by bodyMemoryDivisor.
	bodyMemoryDivisor = 8
	// reservedDescriptors are left to files. The others divided by controlDivisor are left to other
	// processes, servers' heartbeats and operators; clients and servers may have half of the rest each.
	reservedDescriptors = 200
	controlDivisor      = 8
	minConnectionLimit  = 16
)

// State is what the data plane reads for each request, as immutable snapshots, and what it reports back.
type State interface {
	Config() *fleetconfig.Config // nil until a configuration is known
	Servers() *catalog.Table
	Proxies() int // proxies believed live, at least 1
	// ReportReplaced reports that another incarnation answers at a server's address.
	ReportReplaced(server string)
	// Suspect reports that a server's machine does not acknowledge what is sent to it, or refuses
	// connections.
	Suspect(server string)
}

// Proxy is the data plane. Its methods are safe for concurrent use.
type Proxy struct {
	settings *agentsettings.Settings
	state    State
	log      zerolog.Logger
	started  time.Time

	chooser    *lockedChooser
	budgets    *retryBudgets
	bodies     *bodybudget.Budget
	pool       *pool
	handles    *handleReleaser
	counters   counters
	callCounts callCounts
	observer   observer

	requestCount atomic.Uint64 // round trips so far

	prefillTimes *prefillTimes

	mu             sync.Mutex
	clients        map[*client]struct{}
	clientsChanged chan struct{} // closed and replaced when a client has disconnected
	draining       atomic.Bool
	drainStarted   time.Time // when the drain began
}

// New returns a Proxy. It opens nothing before Serve.
func New(settings *agentsettings.Settings, state State, log zerolog.Logger) *Proxy {
	p := &Proxy{
		settings: settings, state: state, log: log, started: time.Now(),
		budgets:      newRetryBudgets(settings.Bounds),
		bodies:       bodybudget.NewBudget(settings.MemoryBytes / bodyMemoryDivisor),
		prefillTimes: newPrefillTimes(), clients: map[*client]struct{}{}, clientsChanged: make(chan struct{}),
	}
	p.observer.setLogger(log)
	p.chooser = newLockedChooser(settings.Zone, state, p.now)
	listed := func(server string) bool { return p.servers().ByID(server) != nil }
	p.pool = newPool(&p.counters, p.connectionLimit(), listed)
	p.handles = newHandleReleaser(p.pool)
	return p
}

// now is the steady clock of the scheduler and the retry budgets.
func (p *Proxy) now() time.Duration { return time.Since(p.started) }

func (p *Proxy) servers() *catalog.Table { return servers(p.state) }

func servers(state State) *catalog.Table {
	if table := state.Servers(); table != nil {
		return table
	}
	return noServers
}

var noServers = catalog.NewTable(0, nil)

func (p *Proxy) limits() fleetconfig.Limits {
	if config := p.state.Config(); config != nil {
		return config.Limits
	}
	return defaultLimits
}

// defaultLimits hold until a configuration is known. They are wider than any that are likely to be
// configured: a request that the configuration may allow has to be answered 503, and not 413 or 431.
var defaultLimits = fleetconfig.Limits{
	MaxHeaderBytes: 64 << 10, MaxBodyBytes: http1.MaxBodyLength, HeaderTimeout: 5 * time.Second,
	IdleTimeout: 30 * time.Second,
}

// Serve accepts clients until the listener is closed, and then returns nil.
func (p *Proxy) Serve(listener net.Listener) error {
	logFailure := func(err error) {
		p.observer.failureLog.Warn().Err(err).Msg("front: accept failed, retrying")
	}
	_ = acceptloop.Run(listener, logFailure, p.accept) // it ends with the listener
	return nil
}

func (p *Proxy) accept(conn net.Conn) {
	socket, err := newSocket(conn)
	if err != nil {
		conn.Close()
		return
	}
	// An accepted socket is connected already, so the option is all that is missing.
	_ = setUserTimeout(socket.raw, clientTimeout)
	client := &client{proxy: p, socket: socket}
	if !p.addClient(client) {
		conn.Close()
		p.counters.clientsRejected.Add(1)
		p.observer.failureLog.Warn().Int("most", p.connectionLimit()).
			Msg("front: connection limit reached, client closed")
		return
	}
	p.counters.clients.Add(1)
	go client.run()
}

// addClient registers a client unless there are too many.
func (p *Proxy) addClient(client *client) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.clients) >= p.connectionLimit() {
		return false
	}
	p.clients[client] = struct{}{}
	return true
}

func (p *Proxy) removeClient(client *client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.clients, client)
	close(p.clientsChanged)
	p.clientsChanged = make(chan struct{})
}

// connectionLimit is how many connections there may be to clients, and likewise to servers.
func (p *Proxy) connectionLimit() int {
	available := p.settings.Descriptors - reservedDescriptors
	return max((available-available/controlDivisor)/2, minConnectionLimit)
}

// serverConnectionQuota is how many connections this proxy may have to each server of a service, 0 for any
// number. The service's limit is divided among the live proxies.
func (p *Proxy) serverConnectionQuota(service *fleetconfig.Service) int {
	if service.MaxConnections <= 0 {
		return 0
	}
	return max(service.MaxConnections/max(p.state.Proxies(), 1), minPerServer)
}
