package dataplane

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cresshub/internal/bodybudget"
	"cresshub/internal/router/agentsettings"
	"cresshub/internal/router/catalog"
	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/stallclock"
)

// State provides what the data plane reads for each request, as immutable snapshots, and takes its reports.
type State interface {
	Config() *fleetconfig.Config // nil until a configuration is known
	Servers() *catalog.Table
	Proxies() int // number of proxies believed live, at least 1
	// ReportReplaced reports that another incarnation answers at a server's address.
	ReportReplaced(server string)
	// Suspect reports that a server's machine does not acknowledge what is sent to it, or refuses
	// connections.
	Suspect(server string)
}

// Proxy is the data plane. Its methods are safe for concurrent use.
type Proxy struct {
	// Set by New and not changed. Each of them synchronizes its own state.
	settings     *agentsettings.Settings
	state        State
	log          zerolog.Logger
	clock        *stallclock.Clock // measures the stalls of this process
	started      time.Time         // the origin of the monotonic clock
	chooser      *lockedChooser
	budgets      *retryBudgets
	bodies       *bodybudget.Budget
	pool         *pool
	handles      *handleReleaser
	prefillTimes *prefillTimes

	counters     counters
	callCounts   callCounts
	observer     observer
	requestCount atomic.Uint64 // round trips so far
	draining     atomic.Bool   // set once, with mu locked

	mu             sync.Mutex           // guards the fields below
	clients        map[*client]struct{} // the connected ones
	clientsChanged chan struct{}        // closed and replaced when a client is removed
	drainStarted   time.Time            // when the drain began
}

// New returns a Proxy. It opens no connection before Serve. The clock may be nil.
func New(settings *agentsettings.Settings, state State, clock *stallclock.Clock, log zerolog.Logger) *Proxy {
	p := &Proxy{
		settings: settings, state: state, clock: clock, log: log, started: time.Now(),
		budgets:      newRetryBudgets(settings.Bounds),
		bodies:       bodybudget.NewBudget(settings.MemoryBytes / bodyMemoryDivisor),
		prefillTimes: newPrefillTimes(), clients: map[*client]struct{}{}, clientsChanged: make(chan struct{}),
	}
	p.observer.setLogger(log)
	p.chooser = newLockedChooser(settings.Zone, state, clock, p.now)
	isListed := func(server string) bool { return p.servers().ByID(server) != nil }
	p.pool = newPool(&p.counters, clock, p.connectionLimit(), isListed)
	p.handles = newHandleReleaser(p.pool)
	return p
}

// now returns the time on the monotonic clock of the scheduler and the retry budgets, which starts with the
// Proxy.
func (p *Proxy) now() time.Duration { return time.Since(p.started) }

func (p *Proxy) servers() *catalog.Table { return servers(p.state) }

// servers returns the newest table of servers, or an empty one if none is known yet.
func servers(state State) *catalog.Table {
	if table := state.Servers(); table != nil {
		return table
	}
	return noServers
}

var noServers = catalog.NewTable(nil)
