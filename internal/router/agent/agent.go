// Package agent is one process of the fleet: it knows the servers and the other processes, takes part in
// keeping the configuration where its machine has a disk, and carries the traffic of clients.
package agent

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cresshub/internal/router/agentsettings"
	"cresshub/internal/router/controlserver"
	"cresshub/internal/router/dataplane"
	"cresshub/internal/router/directory"
	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/router/transport"
	"cresshub/internal/segmentlog"
)

// maxCallBody bounds the body of a call at the control address, in bytes; a configuration may be that large.
const maxCallBody = fleetconfig.MaxDocumentBytes

// maxAcceptLogLines is how many lines a second tell of connections that could not be accepted.
const maxAcceptLogLines = 2

// Agent is one process of the fleet.
type Agent struct {
	settings    *agentsettings.Settings
	log         zerolog.Logger
	acceptLog   zerolog.Logger // bounded in its lines
	network     transport.Network
	files       segmentlog.FS
	endpoint    *transport.Endpoint
	id          string // of this process's record in the directory
	started     time.Time
	state       *state
	configStore configStore
	proxy       *dataplane.Proxy // nil where the role does not serve clients
	workload    Workload         // the front where there is one
	// assignsRoles tells that model servers get their stages from this process while it has that duty.
	assignsRoles   bool
	demand         *demandTable
	load           *loadTable
	shuttingDown   atomic.Bool
	fetchingConfig atomic.Bool // a configuration is being fetched from a hub

	packed      packedConfig
	shown       shownVersion // of the configuration, to operators
	metrics     agentMetrics
	metricsPort int // where the figures are told besides, 0 for nowhere

	seedList     atomic.Pointer[[]string]
	knownProxies *knownProxies

	selfMu sync.Mutex
	self   directory.Record

	hubsMu         sync.Mutex
	hubs           map[string]*hub // by IP
	linksClosed    bool            // the links are closed for good
	lastHubContact time.Duration   // when a hub last answered
	replicated     chan struct{}   // closed when a hub has taken records in

	subscriptionMu sync.Mutex
	subscription   subscription

	followersMu sync.Mutex
	followers   map[*transport.Conn]chan struct{} // ends the feed of a follower

	savedPrefixCount int // how many prompts and their holders were last saved; of the goroutine that saves

	lossReports      int           // of lost servers since lossReportsSince; guarded by the directory's lock
	lossReportsSince time.Duration // when their count began anew

	probesMu sync.Mutex
	probed   map[string]bool // servers that are asked just now whether they live

	lastSeen *lastSeen
	failures failureDetector
}

// New returns a process that does nothing yet.
func New(settings *agentsettings.Settings, log zerolog.Logger, options ...Option) (*Agent, error) {
	a := &Agent{
		settings: settings, log: log, network: transport.HostNetwork{}, files: segmentlog.OSFS{},
		acceptLog: log.Sample(&zerolog.BurstSampler{Burst: maxAcceptLogLines, Period: time.Second}),
		workload:  noWorkload{}, id: settings.IP + "-" + randomID(), started: time.Now(), state: newState(),
		hubs: map[string]*hub{}, replicated: make(chan struct{}), followers: map[*transport.Conn]chan struct{}{},
		lastSeen: newLastSeen(), knownProxies: newKnownProxies(),
		probed: map[string]bool{},
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
	rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// now is the time on the steady clock since the process started.
func (a *Agent) now() time.Duration { return time.Since(a.started) }

// seeds returns the control addresses of some proxies, as the settings file last told.
func (a *Agent) seeds() []string { return *a.seedList.Load() }

func (a *Agent) isShuttingDown() bool { return a.shuttingDown.Load() }

// Run serves until stop closes, and then ends in order.
func (a *Agent) Run(stop <-chan struct{}) error {
	listeners, err := a.listen()
	if err != nil {
		return err
	}
	done := make(chan struct{})
	a.startDisk(done)
	a.announceSelf(func(*directory.Record) {})
	go a.endpoint.Serve(listeners.peers, a)
	go a.runSubscription(done)
	go newViewAnnouncer(a).run(done)
	go a.detectFailures(done)
	go a.runAntiEntropy(done)
	go a.demand.run(done)
	go a.load.report(done)
	a.serveCalls(listeners)
	closeMetrics := a.serveMetrics()
	defer closeMetrics()
	if listeners.front != nil {
		go a.proxy.Serve(listeners.front)
	}
	a.log.Info().Str("id", a.id).Str("zone", a.settings.Zone).Strs("seeds", a.seeds()).
		Bool("first_start", a.settings.FirstStart).Str("data_dir", a.settings.DataDir).Msg("node: started")
	<-stop
	a.shutdown(listeners)
	close(done)
	a.closeLinks()
	a.configStore.close()
	return nil
}

// listeners are where a process is called; those that its role does not serve are nil.
type listeners struct{ peers, front, ready, control net.Listener }

func (a *Agent) listen() (*listeners, error) {
	l := &listeners{}
	for _, each := range []struct {
		listener *net.Listener
		address  string
	}{
		{&l.peers, a.peerAddress(a.settings.IP)}, {&l.control, a.settings.Control},
		{&l.ready, a.settings.Ready}, {&l.front, a.settings.Front},
	} {
		if each.address == "" {
			continue
		}
		listener, err := a.network.Listen(each.address)
		if err != nil {
			return nil, fmt.Errorf("listening: %w; free the address or change it in the settings", err)
		}
		*each.listener = listener
	}
	return l, nil
}

func (a *Agent) serveCalls(l *listeners) {
	if l.control != nil {
		go a.newCallServer(a.handleCall, maxCallBody).Serve(l.control)
	}
	if l.ready != nil {
		go a.newCallServer(a.handleReady, 0).Serve(l.ready)
	}
}

// newCallServer returns a server of calls whose bodies have so many bytes at most.
func (a *Agent) newCallServer(handle controlserver.Handler, maxBody int64) *controlserver.Server {
	return &controlserver.Server{MaxBodyBytes: maxBody, Handler: handle, OnAcceptError: a.acceptFailed,
		OnPanic: a.handlerPanicked}
}
