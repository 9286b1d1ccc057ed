// Package daemon runs one client proxy: it wires the parts from a checked configuration, minds signals,
// takes over what a changed configuration may change, and returns once nothing is owed.
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
	admin         *adminapi.Server    // nil where there is none
	fleet         *gossip.Fleet       // nil where there is none
	ledger        *ledgerNode         // nil where there is none
	roles         *leaseholder.Runner // nil where there is none
	shutdownTimes atomic.Pointer[config.Shutdown]
	budget        *descriptors.Budget
	bodies        *bodybudget.Budget
	handover      handoverState
	firstNamed    map[string]time.Time // when servers of the file were first named, by name and address
}

// Follow and Probe are what the decisions may set off by themselves.
func (p *Proxy) Follow() { p.discovery.Follow() }

// Probe asks a server for its load.
func (p *Proxy) Probe(s dispatch.ServerID) {
	p.pool.Probe(s, func(result dispatch.Result, took time.Duration, load []float64) {
		p.decider.Probed(s, result, took, load)
	})
}

// New wires a proxy and listens; it serves once Run is called. The log goes to w.
func New(cfg *config.Config, w io.Writer) (*Proxy, error) {
	settings := cfg.Settings()
	p := &Proxy{cfg: cfg, startConfig: cfg, stats: stats.New(settings.ClassNames),
		firstNamed: map[string]time.Time{}}
	p.shutdownTimes.Store(&cfg.Shutdown)
	p.log = logging.New(w, logging.Options{
		Format: cfg.Log.Format, Level: logging.ParseLevel(cfg.Log.Level), RepeatRate: cfg.Log.RepeatRate,
		Backlog: int(cfg.Log.Backlog),
	})
	log := p.log.With(logging.Name, cfg.Name)
	p.log.Logger = log
	var err error
	if p.decider, err = dispatch.New(settings.Settings, cfg.Policy.ResponseMargin, p); err != nil {
		return nil, err
	}
	if err := p.inheritOrListen(); err != nil {
		return nil, err
	}
	budget := descriptors.NewBudget(p.descriptorLimit(), cfg.Limits.ClientFraction, cfg.Limits.CrowdedFraction)
	p.budget = budget
	p.discovery = discovery.New(cfg.Discovery.Address, cfg.Upstream.DialLimit(), listLimits(cfg),
		discovery.Names{Zones: settings.ZoneNames, Kinds: settings.KindNames}, budget, p.stats, log)
	p.bodies = bodybudget.NewBudget(p.bodyBytes())
	p.pool = upstream.New(p.discovery, poolLimits(cfg), settings.ReportNames, budget, p.bodies, p.stats)
	if err := p.openLedger(); err != nil {
		p.listener.Close()
		return nil, err
	}
	p.server = ingress.New(ingress.Options{
		Decider: p.decider, Pool: p.pool, Name: p.discovery.Name, Classes: settings.ClassNames,
		Tenants: settings.TenantNames, Limits: cfg.Clients, Drain: p.drainTimes, Budget: budget,
		Bodies: p.bodies, Stats: p.stats,
		RecordUsage: p.usageRecorder(), Log: log,
	})
	p.server.LogRequests(p.requestLog())
	known := cfg.KnownServers
	if old := p.handover.predecessor; old != nil && len(old.Known) > 0 {
		if old.Discovery == cfg.Discovery.Address {
			known = old.Known // as of now; the configuration's is as of some time
		} else { // another deployment's servers, and another count of changes
			log.Warn("list of the old process left aside", "discovery", old.Discovery)
		}
	}
	if list := cfg.ServerList(time.Time{}, p.firstNamed); list != nil {
		known = list
	}
	var servers []dispatch.Server
	if known != nil {
		if servers, err = p.discovery.Restore(known); err != nil {
			return nil, fmt.Errorf("the list of known servers: %w", err)
		}
	}
	p.decider.RestoreList(servers)
	if cfg.Operator != "" {
		listener, err := listen(cfg.Operator, nil)
		if err != nil {
			p.listener.Close()
			return nil, fmt.Errorf("operator: %w", err)
		}
		p.admin = adminapi.New(listener, p, p.stats, log)
	}
	err = p.joinFleet()
	if err == nil {
		err = p.runLedger()
	}
	if err == nil {
		err = p.runRoles()
	}
	if err != nil {
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

func listen(address string, control func(string, string, syscall.RawConn) error) (net.Listener, error) {
	return (&net.ListenConfig{KeepAlive: -1, Control: control}).Listen(context.Background(), "tcp", address)
}

// Ready tells whether the process is ready to serve, and why not.
func (p *Proxy) Ready() (bool, string) {
	switch {
	case !p.server.Serving():
		return false, "sending clients away"
	case !p.handover.serving.Load():
		return false, "not taking clients yet"
	case p.discovery.Listed() == 0:
		return false, "no list of servers yet"
	}
	return true, ""
}

// LameDuck sends clients away for a while, or takes them again.
func (p *Proxy) LameDuck(on bool) {
	p.server.LameDuck(on)
	p.setFleetPhase(on)
}

// Gauges are figures that are true now. What drains is listed and gets nothing, so it counts as skipped.
func (p *Proxy) Gauges() map[string]int {
	known := p.discovery.Listed()
	return map[string]int{
		"known_zone_servers": known, "skipped_zone_servers": known - p.discovery.InService() + p.decider.Avoided(),
	}
}

func (p *Proxy) drainTimes() drain.Times {
	t := *p.shutdownTimes.Load()
	if p.handover.successorServing.Load() {
		// The successor takes what comes from now on. What was never used closes as soon as all that crosses
		// with the signal is here, or its request would have less than its time before the process is killed.
		t.AcceptFor, t.CloseAll = 0, min(t.CloseAll, t.CloseIdle+t.CloseIdle/4)
	}
	return drain.Times{CloseIdle: t.CloseIdle, AcceptFor: t.AcceptFor,
		CloseAll: t.CloseAll, ClosePartial: t.ClosePartial}
}

// Address is where clients connect.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Run serves until SIGTERM or SIGINT and returns once nothing is owed. On SIGHUP reread gives the
// configuration as it is then; on SIGUSR1 the counters are logged.
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

	var done chan struct{} // closes when nothing is owed any more
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
				go func() {
					fleetLeft := make(chan struct{})
					go func() { p.leaveFleet(); close(fleetLeft) }()
					p.server.Shutdown(p.listener)
					p.closeLedger() // once all answers are out and counted
					<-fleetLeft
					close(done)
				}()
			}
		}
	}
	if offer := p.handover.offer.Load(); offer != nil {
		offer.Close()
	}
	p.stats.Log(p.log.Logger, "exit", dispatch.ResultNames)
	p.log.Close(logCloseTimeout)
}

func listLimits(cfg *config.Config) discovery.Limits {
	l := discovery.Limits{WatchTimeout: cfg.Discovery.WatchTimeout, MaxListBytes: int(cfg.Discovery.MaxList)}
	if cfg.Discovery.Mode == "told" && cfg.Discovery.Address != "" {
		// What discovery has binds from then on: a drain has to be heard well within its grace.
		l.MaxReopenDelay = max(cfg.Drain.Grace/4, 20*time.Millisecond)
	}
	return l
}

func poolLimits(cfg *config.Config) upstream.Limits {
	dial := cfg.Upstream.DialLimit()
	return upstream.Limits{Dial: dial, MaxIdle: cfg.Upstream.MaxIdle(),
		DuplicateGuard: cfg.Upstream.DuplicateGuard, Probe: dial + cfg.Upstream.ProbeTimeout,
		BufferTime: cfg.Upstream.BufferTime, Stall: cfg.Upstream.StallTimeout}
}

func (p *Proxy) requestLog() *logging.RequestLog {
	if !p.cfg.Log.Requests {
		return nil
	}
	return logging.NewRequestLog(p.log.Logger, p.cfg.Log.RequestSample, p.cfg.Log.RequestRate)
}
