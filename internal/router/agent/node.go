// Package agent is one process of the fleet: it knows the servers and the other processes, takes part in
// keeping the configuration where its machine has a disk, and carries the traffic of clients.
package agent

import (
	"cmp"
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

// Node is one process of the fleet.
type Node struct {
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
	front       *dataplane.Proxy // nil where the role does not serve clients
	workload    Workload         // the front where there is one
	// sendsStageOrders tells that model servers get their stages from this process while it has that duty.
	sendsStageOrders bool
	demand           *demandTable
	load             *loadTable
	shuttingDown     atomic.Bool
	fetchingConfig   atomic.Bool // a configuration is being fetched from a hub

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

	savedPromptCount int // how many prompts and their holders were last saved; of the goroutine that saves

	lossReports      int           // of lost servers since lossReportsSince; guarded by the directory's lock
	lossReportsSince time.Duration // when their count began anew

	probesMu sync.Mutex
	probed   map[string]bool // servers that are asked just now whether they live

	lastSeenMu     sync.Mutex
	lastSeen       map[string]time.Duration // when a process or server last called this one
	lastSeenPruned time.Duration            // when pruneLastSeen last ran; of the goroutine that watches
	observingSince time.Duration            // silence before it proves nothing; of the goroutine that watches
}

// New returns a process that does nothing yet.
func New(settings *agentsettings.Settings, log zerolog.Logger, options ...Option) (*Node, error) {
	n := &Node{
		settings: settings, log: log, network: transport.HostNetwork{}, files: segmentlog.OSFS{},
		acceptLog: log.Sample(&zerolog.BurstSampler{Burst: maxAcceptLogLines, Period: time.Second}),
		workload:  noWorkload{}, id: settings.IP + "-" + randomID(), started: time.Now(), state: newState(),
		hubs: map[string]*hub{}, replicated: make(chan struct{}), followers: map[*transport.Conn]chan struct{}{},
		lastSeen: map[string]time.Duration{}, knownProxies: newKnownProxies(),
		probed: map[string]bool{},
	}
	for _, option := range options {
		option(n)
	}
	n.endpoint = transport.NewEndpoint(n.network)
	n.endpoint.OnAcceptError = n.acceptFailed
	n.seedList.Store(&settings.Seeds)
	n.self = directory.Record{
		Kind: directory.KindProxy, ID: n.id, State: directory.Ready, Address: settings.IP, Zone: settings.Zone,
		Name: settings.Name, Control: settings.Control,
	}
	n.configStore = newConfigStore(n)
	n.demand = newDemandTable(n)
	n.load = newLoadTable(n)
	if settings.Front != "" {
		n.front = dataplane.New(settings, (*frontState)(n), log)
		if settings.FirstStart {
			n.front.MarkFleetStart()
		}
		n.workload, n.sendsStageOrders = n.front, true
	}
	return n, nil
}

func randomID() string {
	var random [6]byte
	rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// now is the time on the steady clock since the process started.
func (n *Node) now() time.Duration { return time.Since(n.started) }

// seeds returns the control addresses of some proxies, as the settings file last told.
func (n *Node) seeds() []string { return *n.seedList.Load() }

func (n *Node) isShuttingDown() bool { return n.shuttingDown.Load() }

func compareText(a, b string) int { return cmp.Compare(a, b) }

// Run serves until stop closes, and then ends in order.
func (n *Node) Run(stop <-chan struct{}) error {
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	done := make(chan struct{})
	n.startDisk(done)
	n.announceSelf(func(*directory.Record) {})
	go n.endpoint.Serve(listeners.peers, n)
	go n.runSubscription(done)
	go newViewAnnouncer(n).run(done)
	go n.detectFailures(done)
	go n.runAntiEntropy(done)
	go n.demand.measure(done)
	go n.load.report(done)
	n.serveCalls(listeners)
	closeMetrics := n.serveMetrics()
	defer closeMetrics()
	if listeners.front != nil {
		go n.front.Serve(listeners.front)
	}
	n.log.Info().Str("id", n.id).Str("zone", n.settings.Zone).Strs("seeds", n.seeds()).
		Bool("first_start", n.settings.FirstStart).Str("data_dir", n.settings.DataDir).Msg("node: started")
	<-stop
	n.shutdown(listeners)
	close(done)
	n.closeLinks()
	n.configStore.close()
	return nil
}

// listeners are where a process is called; those that its role does not serve are nil.
type listeners struct{ peers, front, ready, control net.Listener }

func (n *Node) listen() (*listeners, error) {
	l := &listeners{}
	for _, each := range []struct {
		listener *net.Listener
		address  string
	}{
		{&l.peers, n.peerAddress(n.settings.IP)}, {&l.control, n.settings.Control},
		{&l.ready, n.settings.Ready}, {&l.front, n.settings.Front},
	} {
		if each.address == "" {
			continue
		}
		listener, err := n.network.Listen(each.address)
		if err != nil {
			return nil, fmt.Errorf("listening: %w; free the address or change it in the settings", err)
		}
		*each.listener = listener
	}
	return l, nil
}

func (n *Node) serveCalls(l *listeners) {
	if l.control != nil {
		go n.newCallServer(n.handleCall, maxCallBody).Serve(l.control)
	}
	if l.ready != nil {
		go n.newCallServer(n.handleReady, 0).Serve(l.ready)
	}
}

// newCallServer returns a server of calls whose bodies have so many bytes at most.
func (n *Node) newCallServer(handle controlserver.Handler, maxBody int64) *controlserver.Server {
	return &controlserver.Server{MaxBodyBytes: maxBody, Handler: handle, OnAcceptError: n.acceptFailed,
		OnPanic: n.handlerPanicked}
}

// frontState is the part of a Node that the front sees.
type frontState Node

var _ dataplane.State = (*frontState)(nil)
