// Package daemon runs one client proxy: it wires the parts from a checked configuration, handles signals,
// applies what a changed configuration may change, and returns once all clients are answered.
//
// A process is in one of these states: it waits for a list of servers, serves, drains after SIGTERM or
// SIGINT, or has ended. Beside a predecessor or a successor at the same address (package handover) it has
// half of its limits. New and Run are for one goroutine; the other methods may be called from any.
package daemon

import (
	"context"
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
)

// logCloseTimeout bounds how long the end waits for whoever reads the log.
const logCloseTimeout = 500 * time.Millisecond

// Proxy is one client proxy with its parts.
type Proxy struct {
	cfg           *config.Config // as it is now; of whoever calls New and Run alone
	startConfig   *config.Config // as it was at the start, where what takes a restart stands for good
	log           *logging.Logger
	stats         *stats.Set
	decider       *dispatch.Decider
	pool          *upstream.Pool
	discovery     *discovery.Client
	server        *ingress.Server
	listener      net.Listener
	admin         *adminapi.Door      // nil where there is none
	fleet         *gossip.Fleet       // nil where there is none
	ledger        *ledgerNode         // nil where there is none
	roles         *leaseholder.Runner // nil where there is none
	shutdownTimes atomic.Pointer[config.Shutdown]
	budget        *descriptors.Budget
	bodies        *bodybudget.Budget
	upgrade       upgrade
	serversSince  map[string]time.Time // when servers of the file were first named, by name and address
}

// Follow and Probe are what the decisions may set off by themselves.
func (p *Proxy) Follow() { p.discovery.Follow() }

// Probe asks a server for its load.
func (p *Proxy) Probe(s dispatch.ServerID) {
	p.pool.Probe(s, func(res dispatch.Result, took time.Duration, load []float64) {
		p.decider.Probed(s, res, took, load)
	})
}

// New wires a proxy and listens, or takes the listener over from a predecessor. It serves once Run is called.
// The log goes to w.
func New(cfg *config.Config, w io.Writer) (*Proxy, error) {
	set := cfg.Settings()
	p := &Proxy{cfg: cfg, startConfig: cfg, stats: stats.New(set.ClassNames),
		serversSince: map[string]time.Time{}}
	p.shutdownTimes.Store(&cfg.Shutdown)
	p.log = logging.New(w, logging.Options{
		Format: cfg.Log.Format, Level: logging.ParseLevel(cfg.Log.Level), Repeat: cfg.Log.Repeat,
		Backlog: int(cfg.Log.Backlog),
	})
	log := p.log.With(logging.Name, cfg.Name)
	p.log.Logger = log
	var err error
	if p.decider, err = dispatch.New(set.Settings, cfg.Policy.Travel, p); err != nil {
		return nil, err
	}
	if err := p.inheritOrListen(); err != nil {
		return nil, err
	}
	budget := descriptors.NewBudget(p.descriptors(), cfg.Limits.Clients, cfg.Limits.Crowded)
	p.budget = budget
	p.discovery = discovery.New(cfg.Discovery.Address, cfg.Upstream.DialLimit(), listLimits(cfg),
		discovery.Names{Zones: set.ZoneNames, Kinds: set.KindNames}, budget, p.stats, log)
	p.bodies = bodybudget.NewBudget(p.bodyBytes())
	p.pool = upstream.New(p.discovery, poolLimits(cfg), set.ReportNames, budget, p.bodies, p.stats)
	if err := p.openLedger(); err != nil {
		p.listener.Close()
		return nil, err
	}
	p.server = ingress.New(ingress.Options{
		Decider: p.decider, Pool: p.pool, Name: p.discovery.Name, Classes: set.ClassNames, Tenants: set.TenantNames,
		Limits: cfg.Clients, Drain: p.drainTimes, Budget: budget, Bodies: p.bodies, Stats: p.stats,
		RecordUsage: p.usageRecorder(), Log: log,
	})
	p.server.LogRequests(p.requestLog())
	if err := p.restoreServers(); err != nil {
		return nil, err
	}
	if err := p.openAdmin(); err != nil {
		p.listener.Close()
		return nil, err
	}
	if err := p.joinCluster(); err != nil {
		p.closeLedger()
		if p.fleet != nil {
			p.fleet.Close()
		}
		p.listener.Close()
		if p.admin != nil {
			p.admin.Close()
		}
		return nil, err
	}
	return p, nil
}

// restoreServers gives the decisions the servers known from before: those of the configuration, of the
// predecessor, or of the configuration's file.
func (p *Proxy) restoreServers() error {
	known := p.cfg.Known
	if old := p.upgrade.predecessor; old != nil && len(old.Known) > 0 {
		if old.Discovery == p.cfg.Discovery.Address {
			known = old.Known // as of now; the configuration's is older
		} else { // another deployment's servers, and another numbering of changes
			p.log.Warn("handover: list of the old process ignored", "discovery", old.Discovery)
		}
	}
	if list := p.cfg.ServerList(time.Time{}, p.serversSince); list != nil {
		known = list
	}
	var servers []dispatch.Server
	if known != nil {
		var err error
		if servers, err = p.discovery.Known(known); err != nil {
			return fmt.Errorf("the list of known servers: %w", err)
		}
	}
	p.decider.RestoreList(servers)
	return nil
}

// openAdmin listens for operators where the configuration says so.
func (p *Proxy) openAdmin() error {
	if p.cfg.Operator == "" {
		return nil
	}
	listener, err := listen(p.cfg.Operator, nil)
	if err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	p.admin = adminapi.New(listener, p, p.stats, p.log.Logger)
	return nil
}

// joinCluster starts what this proxy shares with the others, where the configuration says so.
func (p *Proxy) joinCluster() error {
	if err := p.joinFleet(); err != nil {
		return err
	}
	if err := p.runLedger(); err != nil {
		return err
	}
	return p.runRoles()
}

func listen(address string, control func(string, string, syscall.RawConn) error) (net.Listener, error) {
	return (&net.ListenConfig{KeepAlive: -1, Control: control}).Listen(context.Background(), "tcp", address)
}

// Ready reports whether the process is ready to serve, and otherwise why not.
func (p *Proxy) Ready() (bool, string) {
	switch {
	case !p.server.Serving():
		return false, "sending clients away"
	case !p.upgrade.serving.Load():
		return false, "not taking clients yet"
	case p.discovery.Held() == 0:
		return false, "no list of servers yet"
	}
	return true, ""
}

// LameDuck drains clients, or serves them again.
func (p *Proxy) LameDuck(on bool) {
	p.server.LameDuck(on)
	p.setFleetPhase(on)
}

// Gauges returns the present values by the name of their metric. A draining server is listed and gets
// nothing, so it counts as skipped.
func (p *Proxy) Gauges() map[string]int {
	known := p.discovery.Held()
	return map[string]int{
		"known_zone_servers":   known,
		"skipped_zone_servers": known - p.discovery.InService() + p.decider.Avoided(),
	}
}

func (p *Proxy) drainTimes() drain.Times {
	t := *p.shutdownTimes.Load()
	if p.upgrade.successorServing.Load() {
		// The successor takes what comes from now on. What was never used closes as soon as all that crosses
		// with the signal is here, or its request would have less than its time before the process is killed.
		t.Accept, t.CloseAll = 0, min(t.CloseAll, t.CloseIdle+t.CloseIdle/4)
	}
	return drain.Times{CloseIdle: t.CloseIdle, Accept: t.Accept, CloseAll: t.CloseAll, CloseHalf: t.CloseHalf}
}

// Address returns the address at which clients connect.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Run serves until SIGTERM or SIGINT and returns once all clients are answered. On SIGHUP it applies the
// configuration that reread returns; on SIGUSR1 it logs the counters.
func (p *Proxy) Run(signals <-chan os.Signal, reread func() (*config.Config, error)) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.decider.Run(ctx.Done())
	go p.discovery.Run(ctx, p.decider, p.pool.Sweep)
	go p.acceptClients()
	if p.admin != nil {
		go p.admin.Serve()
		defer p.admin.Close()
	}

	var done chan struct{} // nil until shutdown begins, closed once it is over
	for ending := false; !ending; {
		select {
		case <-done:
			ending = true
		case sig := <-signals:
			switch {
			case sig == syscall.SIGUSR1:
				p.stats.Log(p.log.Logger, "asked", dispatch.ResultNames)
			case sig == syscall.SIGHUP: // also while ending: what is owed still needs the list
				p.reload(reread())
			case done == nil:
				p.log.Info("ending", "signal", sig.String())
				done = make(chan struct{})
				go func() { p.shutdown(); close(done) }()
			}
		}
	}
	if offer := p.upgrade.offer.Load(); offer != nil {
		offer.Close()
	}
	p.stats.Log(p.log.Logger, "exit", dispatch.ResultNames)
	p.log.Close(logCloseTimeout)
}

// shutdown leaves the fleet, drains clients and ends this proxy's part in the ledger. It returns once all
// clients are answered.
func (p *Proxy) shutdown() {
	fleetLeft := make(chan struct{})
	go func() { p.leaveFleet(); close(fleetLeft) }()
	p.server.Shutdown(p.listener)
	p.closeLedger() // once all answers are out and counted
	<-fleetLeft
}

func listLimits(cfg *config.Config) discovery.Limits {
	l := discovery.Limits{Silence: cfg.Discovery.Silence, MaxList: int(cfg.Discovery.MaxList)}
	if cfg.Discovery.Mode == "told" && cfg.Discovery.Address != "" {
		// What discovery has binds from then on: a drain has to be heard well within its grace.
		l.Again = max(cfg.Drain.Grace/4, 20*time.Millisecond)
	}
	return l
}

func poolLimits(cfg *config.Config) upstream.Limits {
	dial := cfg.Upstream.DialLimit()
	return upstream.Limits{Dial: dial, MaxIdle: cfg.Upstream.ReuseLimit(),
		DuplicateGuard: cfg.Upstream.Rest, Probe: dial + cfg.Upstream.Probe,
		BufferTime: cfg.Upstream.Hold, Stall: cfg.Upstream.Stall}
}

func (p *Proxy) requestLog() *logging.Requests {
	if !p.cfg.Log.Requests {
		return nil
	}
	return logging.NewRequests(p.log.Logger, p.cfg.Log.Sample, p.cfg.Log.Rate)
}
