// Command cresshub is a client proxy: it takes the requests of the application next to it and passes
// each to a zone server that package balance chooses.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"cresshub/internal/config"
	"cresshub/internal/counters"
	"cresshub/internal/decide"
	"cresshub/internal/discovery"
	"cresshub/internal/ingress"
	"cresshub/internal/sockets"
	"cresshub/internal/upstream"
)

func main() {
	// Before anything else: a signal that nobody listens for ends the process.
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	cfg, err := config.Load(os.Getenv, os.ReadFile, false)
	if err == nil {
		log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("name", cfg.Name)
		err = run(cfg, signals, log)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "cresshub:", err)
		os.Exit(1)
	}
}

// network is what the decisions may set off by themselves.
type network struct {
	decider *decide.Decider
	pool    *upstream.Pool
	list    *discovery.Client
}

func (n *network) Follow() { n.list.Follow() }

func (n *network) Probe(s decide.ServerID) {
	n.pool.Probe(s, func(res decide.Result, took time.Duration, load []float64) {
		n.decider.Probed(s, res, took, load)
	})
}

// run serves until SIGTERM or SIGINT, and returns once nothing is owed.
func run(cfg *config.Config, signals <-chan os.Signal, log *slog.Logger) error {
	confine(cfg.Limits)
	set := &cfg.Settings
	count := &counters.Set{}
	budget := sockets.NewBudget(descriptors(cfg.Limits.Sockets))
	dial := set.DialTimeout
	if dial <= 0 {
		dial = 250 * time.Millisecond
	}
	links := &network{}
	decider, err := decide.New(set.Settings, links)
	if err != nil {
		return err
	}
	links.decider = decider
	links.list = discovery.New(cfg.Discovery, dial, discovery.Names{Zones: set.ZoneNames, Kinds: set.KindNames},
		budget, count, log)
	links.pool = upstream.New(links.list, upstream.Limits{
		Dial: dial, Reuse: reuse(set.IdleClose), Probe: dial + 50*time.Millisecond, Report: set.ReportNames,
	}, budget, count)
	server := ingress.New(decider, links.pool, set.ClassNames, set.TenantNames, budget, count, log)

	l, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", cfg.Listen)
	if err != nil {
		return err
	}
	if cfg.Known != nil {
		known, err := links.list.Known(cfg.Known)
		if err != nil {
			return fmt.Errorf("field %q: %w", "known", err)
		}
		decider.Cached(known)
	} else {
		decider.Cached(nil)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go decider.Run(ctx.Done())
	go links.list.Run(ctx, decider, links.pool.Sweep)
	go server.Serve(l)
	log.Info("ready", "listen", l.Addr().String())

	var over chan struct{} // closes when nothing is owed any more
	for ending := false; !ending; {
		select {
		case <-over:
			ending = true
		case sig := <-signals:
			switch {
			case sig == syscall.SIGUSR1:
				count.Log(log, "asked", decide.ResultNames)
			case sig == syscall.SIGHUP: // also while ending: what is owed still needs the list
				reload(links.list, log)
			case over == nil:
				log.Info("ending", "signal", sig.String())
				over = make(chan struct{})
				go func() {
					server.Shutdown(l)
					close(over)
				}()
			}
		}
	}
	count.Log(log, "exit", decide.ResultNames)
	return nil
}

// reload reads the configuration again and follows what may change while the program runs, which is
// where discovery is. A file that cannot be used changes nothing.
func reload(list *discovery.Client, log *slog.Logger) {
	cfg, err := config.Load(os.Getenv, os.ReadFile, true)
	if err != nil {
		log.Error("configuration kept, the new one cannot be used", "err", err)
		return
	}
	log.Info("configuration read again", "discovery", cfg.Discovery)
	list.Move(cfg.Discovery)
}

// reuse is how long an idle connection stays in use: well short of when its server closes it.
func reuse(idleClose time.Duration) time.Duration {
	if idleClose <= 0 {
		return time.Second
	}
	return idleClose * 3 / 4
}

// confine keeps the process within its limits on cores and memory.
func confine(l config.Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	if l.MemoryMB > 0 {
		// A quarter is left to what the runtime does not count: the program's text and kernel buffers.
		debug.SetMemoryLimit(int64(l.MemoryMB) << 20 / 4 * 3)
		debug.SetGCPercent(300) // collecting rarely saves time on a shared core; the limit above binds first
	}
}

// descriptors is how many the process may hold: what it was told or what the system allows, if less.
func descriptors(told int) int {
	var lim syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim); err == nil && lim.Cur < math.MaxInt32 {
		if told <= 0 || int(lim.Cur) < told {
			return int(lim.Cur)
		}
	}
	if told <= 0 {
		return 1024
	}
	return told
}
