package agent

import (
	"time"

	"github.com/rs/zerolog"

	"cresshub/internal/router/agentsettings"
	"cresshub/internal/router/dataplane"
	"cresshub/internal/router/directory"
	"cresshub/internal/router/transport"
	"cresshub/internal/stallclock"
)

const (
	// maxAcceptLogLinesPerSecond bounds the log lines about connections that could not be accepted.
	maxAcceptLogLinesPerSecond = 2
	// diskOpenTimeout bounds how long the start waits for the disk. The wait is there so that the first status
	// that is sent to other processes normally reflects what is on the disk.
	diskOpenTimeout = 300 * time.Millisecond
)

// Agent is one process of the router fleet. It starts its parts, which do the work, and shuts them down. Each
// part is a type of its own that holds its state and its lock, and has as fields what it depends on: the
// process and the parts that it calls. doc.go describes their goroutines and the order of their locks.
type Agent struct {
	*process

	// Set by New and not changed later.
	acceptLog    zerolog.Logger // limited to maxAcceptLogLinesPerSecond
	endpoint     *transport.Endpoint
	proxy        *dataplane.Proxy // nil if the role does not serve clients
	workload     Workload         // the proxy, or noWorkload if there is none
	assignsRoles bool             // of model servers, while this process is the head of the chain
	metricsPort  int              // 0 for none

	// What the process knows.
	state        *state        // the directory, the configuration in force and the view
	self         *selfRecord   // its own record in the directory
	status       *ownStatus    // the status that it sends to other processes
	lastSeen     *lastSeen     // when others last called it
	knownProxies *knownProxies // addresses of proxies that are or were recently live
	persister    *persister    // saves the state to disk; runs only on a machine with a disk

	// Its exchange with the other processes.
	peers        *peerHandler     // frames on connections that others have opened
	hubs         *hubSet          // links to the hubs
	quorum       *quorum          // whether a majority of the members is reached
	subscription *subscription    // the feed that it follows
	feeds        *feedServer      // the feeds that it serves
	antiEntropy  *antiEntropy     // repairs differences between directories
	failures     *failureDetector // marks servers and other processes lost
	demand       *demandTable     // the demand at each service
	load         *loadTable       // the in-flight load at each server

	// The configuration.
	configStore configStore // its replica, or noConfigStore if the machine has no disk
	configSync  *configSync // receives and sends the configuration in force

	// The endpoints that operators and servers call, and the state that the data plane reads.
	configEndpoint  *configEndpoint
	serverEndpoint  *serverEndpoint
	listEndpoint    *listEndpoint
	metricsEndpoint *metricsEndpoint
	dataplaneState  *dataplaneState
}

// New returns an Agent that is not running yet. Run starts it.
func New(settings *agentsettings.Settings, log zerolog.Logger, options ...Option) (*Agent, error) {
	a := &Agent{
		process:   newProcess(settings, log),
		acceptLog: log.Sample(&zerolog.BurstSampler{Burst: maxAcceptLogLinesPerSecond, Period: time.Second}),
		workload:  noWorkload{},
	}
	for _, option := range options {
		option(a)
	}
	a.endpoint = transport.NewEndpoint(a.network)
	a.endpoint.OnAcceptError = a.acceptFailed
	a.createParts()
	return a, nil
}

// Clock returns the clock that measures the stalls of this process.
func (a *Agent) Clock() *stallclock.Clock { return a.clock }

// Run serves until stop closes, then shuts down and returns. It returns an error, before it starts anything,
// if a listener can't be opened.
func (a *Agent) Run(stop <-chan struct{}) error {
	listeners, err := a.listen()
	if err != nil {
		return err
	}
	done := make(chan struct{})
	go a.clock.Run(done)
	a.startDisk(done)
	a.self.announce(func(*directory.Record) {})
	a.startTasks(done)
	a.serveAll(listeners)
	closeMetrics := a.serveMetrics()
	defer closeMetrics()
	a.log.Info().Str("id", a.id).Str("zone", a.settings.Zone).Strs("seeds", a.seeds()).
		Bool("first_start", a.settings.FirstStart).Str("data_dir", a.settings.DataDir).Msg("agent: started")
	<-stop
	a.shutdown(listeners)
	close(done)
	a.hubs.close()
	a.configStore.close()
	return nil
}

// startDisk starts the configuration store and the persistence of the state, and waits until both have read
// the disk, or for diskOpenTimeout.
func (a *Agent) startDisk(done <-chan struct{}) {
	a.configStore.start(done)
	if a.settings.DataDir == "" {
		return
	}
	loaded := make(chan struct{})
	go a.persister.run(loaded, done)
	timeout := time.NewTimer(diskOpenTimeout)
	defer timeout.Stop()
	for _, opened := range []<-chan struct{}{loaded, a.configStore.opened()} {
		select {
		case <-opened:
		case <-timeout.C:
			a.log.Warn().Msg("agent: starting before the disk is open")
			return
		}
	}
}

// startTasks starts the periodic tasks, which run until done closes.
func (a *Agent) startTasks(done <-chan struct{}) {
	go a.subscription.run(done)
	go a.newViewAnnouncer().run(done)
	go a.failures.run(done)
	go a.antiEntropy.run(done)
	go a.demand.run(done)
	go a.load.report(done)
}
