package agent

import (
	"crypto/rand"
	"encoding/hex"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cresshub/internal/router/agentsettings"
	"cresshub/internal/router/dataplane"
	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/transport"
	"cresshub/internal/segmentlog"
)

const (
	// maxAcceptLogLines is how many lines a second are logged of connections that could not be accepted.
	maxAcceptLogLines = 2
	// diskOpenTimeout bounds how long the start waits for the disk, so that the first status that is sent to
	// others normally reflects what is on it.
	diskOpenTimeout = 300 * time.Millisecond
)

// Agent is one process of the router fleet. It starts its parts, which do the work, and shuts them down. Each
// part is a type of its own that holds its state and its lock; doc.go tells how they run at the same time.
type Agent struct {
	// Set by New and not changed later.
	settings     *agentsettings.Settings
	log          zerolog.Logger
	acceptLog    zerolog.Logger // bounded by maxAcceptLogLines
	network      transport.Network
	files        segmentlog.FS
	endpoint     *transport.Endpoint
	id           string // of this process's record in the directory
	started      time.Time
	proxy        *dataplane.Proxy // nil if the role does not serve clients
	workload     Workload         // the proxy, where there is one
	assignsRoles bool             // to model servers, while this process is the head of the chain
	metricsPort  int              // 0 for none

	// What the process knows.
	state        *state        // the directory, the configuration in force and the view
	self         *selfRecord   // its own record in the directory
	lastSeen     *lastSeen     // when others last called it
	knownProxies *knownProxies // addresses that outlive the process
	persister    *persister    // what is saved on disk; runs on a machine with a disk only

	// Its exchange with the other processes.
	peers        *peerHandler     // frames on connections that others have opened
	hubs         *hubSet          // links to the hubs
	quorum       *quorum          // whether a majority of the members is reached
	subscription *subscription    // the feed that it follows
	feeds        *feedServer      // the feeds that it serves
	antiEntropy  *antiEntropy     // repairs differences between directories
	failures     *failureDetector // marks other processes lost
	demand       *demandTable     // the demand at each service
	load         *loadTable       // the in-flight load at each server

	// The configuration.
	configStore configStore // its replica, where the machine has a disk
	configSync  *configSync // the configuration in force, from and to other processes

	// The calls of operators and servers, and of the data plane.
	configEndpoint  *configEndpoint
	serverEndpoint  *serverEndpoint
	listEndpoint    *listEndpoint
	metricsEndpoint *metricsEndpoint
	dataplaneState  *dataplaneState

	// Safe for concurrent use without a lock.
	seedList     atomic.Pointer[[]string]
	shuttingDown atomic.Bool
	metrics      agentMetrics
}

// New returns a process that does nothing yet. Run starts it.
func New(settings *agentsettings.Settings, log zerolog.Logger, options ...Option) (*Agent, error) {
	a := &Agent{
		settings: settings, log: log, network: transport.HostNetwork{}, files: segmentlog.OSFS{},
		acceptLog: log.Sample(&zerolog.BurstSampler{Burst: maxAcceptLogLines, Period: time.Second}),
		workload:  noWorkload{}, id: settings.IP + "-" + randomID(), started: time.Now(),
	}
	for _, option := range options {
		option(a)
	}
	a.endpoint = transport.NewEndpoint(a.network)
	a.endpoint.OnAcceptError = a.acceptFailed
	a.seedList.Store(&settings.Seeds)
	a.createParts()
	if settings.Front != "" {
		a.proxy = dataplane.New(settings, a.dataplaneState, log)
		if settings.FirstStart {
			a.proxy.MarkFleetStart()
		}
		a.workload, a.assignsRoles = a.proxy, true
	}
	return a, nil
}

// createParts creates the parts of the agent. None of them runs yet.
func (a *Agent) createParts() {
	a.state = newState()
	a.self = newSelfRecord(a)
	a.lastSeen = newLastSeen()
	a.knownProxies = newKnownProxies()
	a.persister = &persister{agent: a}

	a.peers = &peerHandler{agent: a}
	a.hubs = newHubSet(a)
	a.quorum = newQuorum(a)
	a.subscription = &subscription{agent: a}
	a.feeds = newFeedServer(a)
	a.antiEntropy = &antiEntropy{agent: a}
	a.failures = newFailureDetector(a)
	a.demand = newDemandTable(a)
	a.load = newLoadTable(a)

	a.configStore = newConfigStore(a)
	a.configSync = &configSync{state: a.state, log: a.log}

	a.configEndpoint = &configEndpoint{agent: a}
	a.serverEndpoint = &serverEndpoint{agent: a}
	a.listEndpoint = &listEndpoint{agent: a}
	a.metricsEndpoint = &metricsEndpoint{agent: a}
	a.dataplaneState = &dataplaneState{agent: a, state: a.state}
}

// Run serves until stop closes, then shuts down and returns. The error is that of a listener that could not
// be opened; nothing was started then.
func (a *Agent) Run(stop <-chan struct{}) error {
	listeners, err := a.listen()
	if err != nil {
		return err
	}
	done := make(chan struct{})
	a.startDisk(done)
	a.self.announce(func(*directory.Record) {})
	a.startTasks(done)
	a.serveAll(listeners)
	closeMetrics := a.metricsEndpoint.serve()
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
	go newViewAnnouncer(a).run(done)
	go a.failures.run(done)
	go a.antiEntropy.run(done)
	go a.demand.run(done)
	go a.load.report(done)
}

// now returns the time on the monotonic clock since the process started.
func (a *Agent) now() time.Duration { return time.Since(a.started) }

// seeds returns the control addresses of some proxies, as last read from the settings file.
func (a *Agent) seeds() []string { return *a.seedList.Load() }

// isHub reports whether this process is a hub itself.
func (a *Agent) isHub() bool {
	view := a.state.currentView()
	if view.epoch == 0 {
		return slices.ContainsFunc(a.seeds(), func(seed string) bool {
			return hostOf(seed) == a.settings.IP
		})
	}
	return view.hasMember(a.settings.IP)
}

// peerAddress returns the address at which the process of a machine listens for other processes.
func (a *Agent) peerAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(a.settings.InnerPorts[0]))
}

func (a *Agent) isShuttingDown() bool { return a.shuttingDown.Load() }

// recordContact records that a process or server has just called.
func (a *Agent) recordContact(id string) { a.lastSeen.record(id, a.now()) }

// hello returns the first message of a connection to another process.
func (a *Agent) hello() []byte { return peerproto.Encode(&peerproto.Hello{ID: a.id}) }

// status returns what this process answers to pings and announcements.
func (a *Agent) status() *peerproto.Status {
	v := a.state.currentView()
	return &peerproto.Status{ID: a.id, Version: a.state.version(), Epoch: v.epoch, Members: v.members,
		HasSnapshot: a.state.isSynced(), ReachesMajority: a.quorum.reachesFleet()}
}

func randomID() string {
	var random [6]byte
	_, _ = rand.Read(random[:]) // it never fails
	return hex.EncodeToString(random[:])
}
