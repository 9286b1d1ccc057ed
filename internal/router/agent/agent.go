package agent

import (
	"crypto/rand"
	"encoding/hex"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cresshub/internal/router/agentsettings"
	"cresshub/internal/router/dataplane"
	"cresshub/internal/router/directory"
	"cresshub/internal/router/transport"
	"cresshub/internal/segmentlog"
)

// maxAcceptLogLines is how many lines a second are logged of connections that could not be accepted.
const maxAcceptLogLines = 2

// Agent is one process of the router fleet.
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

	state        *state
	configStore  configStore
	demand       *demandTable
	load         *loadTable
	knownProxies *knownProxies
	lastSeen     *lastSeen
	persister    *persister // runs on a machine with a disk only

	configEndpoint *configEndpoint
	serverEndpoint *serverEndpoint
	configSync     *configSync
	failures       *failureDetector
	hubs           *hubSet
	quorum         *quorum
	feeds          *feedServer
	subscription   *subscription
	antiEntropy    *antiEntropy
	seedList       atomic.Pointer[[]string]

	shuttingDown atomic.Bool
	metrics      agentMetrics

	selfMu sync.Mutex
	self   directory.Record // of this process

	lossReports lossReports // of the data plane; guarded by the lock of state
}

// New returns a process that does nothing yet. Run starts it.
func New(settings *agentsettings.Settings, log zerolog.Logger, options ...Option) (*Agent, error) {
	a := &Agent{
		settings: settings, log: log, network: transport.HostNetwork{}, files: segmentlog.OSFS{},
		acceptLog: log.Sample(&zerolog.BurstSampler{Burst: maxAcceptLogLines, Period: time.Second}),
		workload:  noWorkload{}, id: settings.IP + "-" + randomID(), started: time.Now(), state: newState(),
		lastSeen:     newLastSeen(),
		knownProxies: newKnownProxies(),
	}
	for _, option := range options {
		option(a)
	}
	a.endpoint = transport.NewEndpoint(a.network)
	a.endpoint.OnAcceptError = a.acceptFailed
	a.seedList.Store(&settings.Seeds)
	a.self = directory.Record{
		Kind: directory.KindProxy, ID: a.id, State: directory.Ready, Address: settings.IP, Zone: settings.Zone,
		Name: settings.Name, Control: settings.Control,
	}
	a.configStore = newConfigStore(a)
	a.demand = newDemandTable(a)
	a.load = newLoadTable(a)
	a.persister = &persister{agent: a}
	a.configEndpoint = &configEndpoint{agent: a}
	a.serverEndpoint = &serverEndpoint{agent: a}
	a.configSync = &configSync{state: a.state, log: log}
	a.failures = newFailureDetector(a)
	a.hubs = newHubSet(a)
	a.quorum = newQuorum(a)
	a.feeds = newFeedServer(a)
	a.subscription = &subscription{agent: a}
	a.antiEntropy = &antiEntropy{agent: a}
	if settings.Front != "" {
		a.proxy = dataplane.New(settings, (*dataplaneState)(a), log)
		if settings.FirstStart {
			a.proxy.MarkFleetStart()
		}
		a.workload, a.assignsRoles = a.proxy, true
	}
	return a, nil
}

func randomID() string {
	var random [6]byte
	_, _ = rand.Read(random[:]) // it never fails
	return hex.EncodeToString(random[:])
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

// Run serves until stop closes, then shuts down and returns. The error is that of a listener that could not
// be opened; nothing was started then.
func (a *Agent) Run(stop <-chan struct{}) error {
	listeners, err := a.listen()
	if err != nil {
		return err
	}
	done := make(chan struct{})
	a.startDisk(done)
	a.announceSelf(func(*directory.Record) {})
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

// startTasks starts the periodic tasks, which run until done closes.
func (a *Agent) startTasks(done <-chan struct{}) {
	go a.subscription.run(done)
	go newViewAnnouncer(a).run(done)
	go a.failures.run(done)
	go a.antiEntropy.run(done)
	go a.demand.run(done)
	go a.load.report(done)
}
