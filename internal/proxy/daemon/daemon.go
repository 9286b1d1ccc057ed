// Package daemon runs one client proxy. New wires the parts from a checked configuration and opens the
// listeners; Run serves until a signal to shut down, applies the keys of a reread configuration that may
// change, and returns once every request that was accepted has its response.
//
// A Proxy goes through these states: waiting (it listens or has inherited a listener, and waits for its first
// list of servers where it takes over from another process), serving, draining (lame duck, from one call of
// an operator to another) and shutting down (after SIGTERM or SIGINT, for good). Ready is true only while it
// serves and has a list of servers.
//
// New and Run belong to one goroutine, which alone reads and replaces the current configuration. The admin
// API calls Ready, LameDuck and Gauges, the handover's goroutines call the methods of handover.Incumbent, and
// the decider calls Follow and Probe, each from goroutines of their own.
package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"cresshub/internal/bodybudget"
	"cresshub/internal/cluster/gossip"
	"cresshub/internal/cluster/leaseholder"
	"cresshub/internal/proxy/adminapi"
	"cresshub/internal/proxy/config"
	"cresshub/internal/proxy/descriptors"
	"cresshub/internal/proxy/discovery"
	"cresshub/internal/proxy/dispatch"
	"cresshub/internal/proxy/drain"
	"cresshub/internal/proxy/ingress"
	"cresshub/internal/proxy/logging"
	"cresshub/internal/proxy/stats"
	"cresshub/internal/proxy/upstream"
	"cresshub/internal/stallclock"
)

// logCloseTimeout bounds how long Run waits at its end for the remaining log records to be written.
const logCloseTimeout = 500 * time.Millisecond

// Proxy is one client proxy with its parts.
type Proxy struct {
	cfg         *config.Config // the current one; only New and Run use it
	startConfig *config.Config // the one at the start: keys that need a restart keep its values

	log       *logging.Logger
	clock     *stallclock.Clock // detects this process's stalls
	stats     *stats.Set
	decider   *dispatch.Decider
	pool      *upstream.Pool
	discovery *discovery.Client
	server    *ingress.Server
	listener  net.Listener
	admin     *adminapi.Server    // nil without `operator`
	fleet     *gossip.Fleet       // nil without `fleet.bind`
	ledger    *ledgerNode         // nil without `ledger.bind`
	roles     *leaseholder.Runner // nil without `owner.chores`

	budget        *descriptors.Budget
	bodies        *bodybudget.Budget
	shutdownTimes atomic.Pointer[config.Shutdown]
	handover      handoverState
	firstNamed    map[string]time.Time // when each [[server]] was first named; see Config.ServerList
}

// New wires a proxy and opens its listeners; it serves once Run is called. The log goes to w. The error names
// the key of the configuration that can't be applied, most often an address in use.
func New(cfg *config.Config, w io.Writer) (*Proxy, error) {
	settings := cfg.Settings()
	p := &Proxy{cfg: cfg, startConfig: cfg, log: newLogger(cfg, w), stats: stats.New(settings.ClassNames),
		firstNamed: map[string]time.Time{}}
	p.clock = stallclock.New(p.recordStall)
	p.shutdownTimes.Store(&cfg.Shutdown)
	var err error
	if p.decider, err = dispatch.New(settings.Settings, cfg.Policy.ResponseMargin, p); err != nil {
		return nil, err
	}
	if err := p.inheritOrListen(); err != nil {
		return nil, err
	}
	if err := p.wire(); err != nil {
		p.closeAfterFailedStart()
		return nil, err
	}
	return p, nil
}

// minLoggedStall is the shortest stall of this process that is logged.
const minLoggedStall = time.Second

// recordStall counts a stall of this process that has ended, and logs it if it was long.
func (p *Proxy) recordStall(length time.Duration) {
	p.stats.Stalls.Inc()
	if length >= minLoggedStall {
		p.log.Warn("proxy: process stalled", "for", length.Round(time.Millisecond))
	}
}

// newLogger returns a logger that adds the instance's name to every record.
func newLogger(cfg *config.Config, w io.Writer) *logging.Logger {
	log := logging.New(w, logging.Options{
		Format: cfg.Log.Format, Level: logging.ParseLevel(cfg.Log.Level), RepeatRate: cfg.Log.RepeatRate,
		Backlog: int(cfg.Log.Backlog),
	})
	log.Logger = log.With(logging.Name, cfg.Name)
	return log
}

// wire creates the components, each after those that it needs.
func (p *Proxy) wire() error {
	p.newUpstream()
	if err := p.openLedger(); err != nil {
		return err
	}
	p.newIngress()
	if err := p.restoreList(); err != nil {
		return err
	}
	if err := p.openAdmin(); err != nil {
		return err
	}
	if err := p.joinFleet(); err != nil {
		return err
	}
	if err := p.runLedger(); err != nil {
		return err
	}
	return p.runRoles()
}

// newUpstream creates the budgets for descriptors and buffered bodies, the discovery client and the
// connection pool.
func (p *Proxy) newUpstream() {
	cfg, settings := p.cfg, p.cfg.Settings()
	p.budget = descriptors.NewBudget(p.descriptorLimit(), cfg.Limits.ClientFraction, cfg.Limits.CrowdedFraction)
	p.bodies = bodybudget.NewBudget(p.bodyBytes())
	p.discovery = discovery.New(cfg.Discovery.Address, cfg.Upstream.DialLimit(), listLimits(cfg),
		discovery.Names{Zones: settings.ZoneNames, Kinds: settings.KindNames}, p.budget, p.stats, p.log.Logger)
	p.pool = upstream.New(p.discovery, p.clock, poolLimits(cfg), settings.ReportNames, p.budget, p.bodies,
		p.stats)
}

// newIngress creates the server for clients' connections and requests.
func (p *Proxy) newIngress() {
	settings := p.cfg.Settings()
	p.server = ingress.New(ingress.Options{
		Decider: p.decider, Pool: p.pool, ServerName: p.discovery.Name, Classes: settings.ClassNames,
		Tenants: settings.TenantNames, Limits: p.cfg.Clients, DrainTimes: p.drainTimes, Descriptors: p.budget,
		Bodies: p.bodies, Stats: p.stats, Clock: p.clock, RecordUsage: p.usageRecorder(), Log: p.log.Logger,
	})
	p.server.LogRequests(p.requestLog())
}

// restoreList gives the decider its first list of servers.
func (p *Proxy) restoreList() error {
	list := p.firstList()
	if list == nil {
		p.decider.RestoreList(nil)
		return nil
	}
	servers, err := p.discovery.Restore(list)
	if err != nil {
		return fmt.Errorf("restoring the server list: %w", err)
	}
	p.decider.RestoreList(servers)
	return nil
}

// firstList returns the initial list of servers: the configuration's own [[server]] tables, else the
// predecessor's list, which is newer than the platform's, else the platform's; nil if there is none.
func (p *Proxy) firstList() json.RawMessage {
	list := p.cfg.KnownServers
	if predecessor := p.handover.predecessor; predecessor != nil && len(predecessor.ServerList) > 0 {
		if predecessor.DiscoveryAddress == p.cfg.Discovery.Address {
			list = predecessor.ServerList
		} else { // it lists other servers, and its indexes can't be compared with those of this discovery
			p.log.Warn("handover: list of the old process ignored", "discovery", predecessor.DiscoveryAddress)
		}
	}
	if configured := p.cfg.ServerList(time.Time{}, p.firstNamed); configured != nil {
		list = configured
	}
	return list
}

// closeAfterFailedStart closes the listeners, files and connections that New has opened.
func (p *Proxy) closeAfterFailedStart() {
	p.closeLedger()
	if p.fleet != nil {
		p.fleet.Close()
	}
	p.listener.Close()
	if p.admin != nil {
		p.admin.Close()
	}
}

// listen opens a TCP listener; control, if not nil, sets options of its socket.
func listen(address string, control func(string, string, syscall.RawConn) error) (net.Listener, error) {
	return (&net.ListenConfig{KeepAlive: -1, Control: control}).Listen(context.Background(), "tcp", address)
}

// Follow starts watching discovery for changes of the server list; the decider calls it.
func (p *Proxy) Follow() { p.discovery.Follow() }

// Probe asks a server for its load and reports the result to the decider, which calls it.
func (p *Proxy) Probe(s dispatch.ServerID) {
	p.pool.Probe(s, func(result dispatch.Result, latency time.Duration, load []float64) {
		p.decider.Probed(s, result, latency, load)
	})
}

// Address returns the address at which clients connect.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Run serves until SIGTERM or SIGINT and returns once every accepted request has its response. On SIGHUP it
// applies the configuration that reread returns, on SIGUSR1 it logs the counters. It is called once.
func (p *Proxy) Run(signals <-chan os.Signal, reread func() (*config.Config, error)) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.clock.Run(ctx.Done())
	go p.decider.Run(ctx.Done())
	go p.discovery.Run(ctx, p.decider, p.pool.CloseStaleIdle)
	go p.acceptClients()
	if p.admin != nil {
		go p.admin.Serve()
		defer p.admin.Close()
	}

	p.handleSignals(signals, reread)

	if offer := p.handover.offer.Load(); offer != nil {
		offer.Close()
	}
	p.stats.Log(p.log.Logger, "exit", dispatch.ResultNames)
	p.log.Close(logCloseTimeout)
}

// handleSignals acts on signals until the shutdown that one of them began is complete.
func (p *Proxy) handleSignals(signals <-chan os.Signal, reread func() (*config.Config, error)) {
	var done <-chan struct{} // nil until a shutdown begins
	for {
		select {
		case <-done:
			return
		case sig := <-signals:
			switch {
			case sig == syscall.SIGUSR1:
				p.stats.Log(p.log.Logger, "asked", dispatch.ResultNames)
			case sig == syscall.SIGHUP: // also during a shutdown: requests in flight still need the list
				p.reload(reread())
			case done == nil:
				p.log.Info("proxy: shutting down", "signal", sig.String())
				done = p.shutdown()
			}
		}
	}
}

// shutdown begins the final drain; the channel closes once every accepted request has its response.
func (p *Proxy) shutdown() <-chan struct{} {
	done := make(chan struct{})
	go func() {
		fleetLeft := make(chan struct{})
		go func() { p.leaveFleet(); close(fleetLeft) }()
		p.server.Shutdown(p.listener)
		p.closeLedger() // after all responses were written and counted
		<-fleetLeft
		close(done)
	}()
	return done
}

// drainTimes returns the times of a drain that begins or is in progress now.
func (p *Proxy) drainTimes() drain.Times {
	configured := p.shutdownTimes.Load()
	times := drain.Times{
		CloseIdle: configured.CloseIdle, AcceptFor: configured.AcceptFor,
		CloseAll: configured.CloseAll, ClosePartial: configured.ClosePartial,
	}
	if p.handover.successorServing.Load() {
		// The successor accepts new connections from now on. An idle connection closes as soon as a request that
		// was sent before its client noticed the drain must have arrived: a later request might not have its
		// full time before the process is killed.
		times.AcceptFor = 0
		times.CloseAll = min(times.CloseAll, times.CloseIdle+times.CloseIdle/4)
	}
	return times
}

// requestLog returns the request log that the configuration asks for, nil if requests are not logged.
func (p *Proxy) requestLog() *logging.RequestLog {
	if !p.cfg.Log.Requests {
		return nil
	}
	return logging.NewRequestLog(p.log.Logger, p.cfg.Log.RequestSample, p.cfg.Log.RequestRate)
}
