package agent

import (
	"fmt"

	"cresshub/internal/router/dataplane"
)

// This file creates the parts of an Agent and passes to each what it depends on; no part has a reference to
// the Agent.

// createParts creates the parts of the agent, each after the parts that it calls. The hubs and their exchange
// refer to each other, so the exchange is set afterwards. None of the parts runs yet.
func (a *Agent) createParts() {
	p := a.process
	a.state = newState()
	a.self = newSelfRecord(p, a.state)
	a.lastSeen = newLastSeen()
	a.knownProxies = newKnownProxies()
	a.configSync = &configSync{state: a.state, log: a.log}
	a.hubs = newHubSet(p, a.state, a.endpoint)
	a.quorum = newQuorum(p, a.state, a.hubs)
	a.status = &ownStatus{process: p, state: a.state, quorum: a.quorum}
	a.dataplaneState = &dataplaneState{process: p, state: a.state, hubs: a.hubs}
	a.createProxy()

	a.persister = &persister{process: p, state: a.state, knownProxies: a.knownProxies, workload: a.workload}
	a.subscription = &subscription{process: p, state: a.state, hubs: a.hubs, self: a.self,
		configSync: a.configSync}
	a.antiEntropy = &antiEntropy{process: p, state: a.state, hubs: a.hubs, self: a.self}
	a.failures = &failureDetector{process: p, state: a.state, hubs: a.hubs, quorum: a.quorum,
		lastSeen: a.lastSeen, workload: a.workload, probes: newProbeSet()}
	a.demand = newDemandTable(p, a.workload)
	a.load = newLoadTable(p, a.state, a.hubs, a.subscription, a.workload)
	a.feeds = newFeedServer(p, a.state, a.configSync, a.load)
	a.hubs.exchange = &hubExchange{process: p, state: a.state, hubs: a.hubs, quorum: a.quorum,
		subscription: a.subscription, configSync: a.configSync, demand: a.demand, load: a.load}
	a.configStore = a.newConfigStore()
	a.peers = a.newPeerHandler()
	a.createEndpoints()
}

// createProxy creates the data plane, if this process serves clients.
func (a *Agent) createProxy() {
	if a.settings.Front == "" {
		return
	}
	a.proxy = dataplane.New(a.settings, a.dataplaneState, a.clock, a.log)
	if a.settings.FirstStart {
		a.proxy.MarkFleetStart()
	}
	a.workload, a.assignsRoles = a.proxy, true
}

// createEndpoints creates the handlers of calls of operators and servers.
func (a *Agent) createEndpoints() {
	p := a.process
	a.configEndpoint = &configEndpoint{process: p, store: a.configStore, hubs: a.hubs}
	a.serverEndpoint = &serverEndpoint{process: p, state: a.state, quorum: a.quorum, lastSeen: a.lastSeen}
	a.listEndpoint = &listEndpoint{process: p, state: a.state}
	a.metricsEndpoint = &metricsEndpoint{process: p, state: a.state, quorum: a.quorum,
		configStore: a.configStore, endpoint: a.endpoint, proxy: a.proxy}
}

// newPeerHandler returns the handler of frames of other processes.
func (a *Agent) newPeerHandler() *peerHandler {
	return &peerHandler{process: a.process, lastSeen: a.lastSeen, status: a.status.get, hubs: a.hubs,
		self: a.self, feeds: a.feeds, antiEntropy: a.antiEntropy, failures: a.failures, demand: a.demand,
		load: a.load, configSync: a.configSync, configStore: a.configStore}
}

// newConfigStore returns the store of this process. A machine without a disk gets a noConfigStore, unless it
// bootstraps the fleet: then it runs the chain only to propose the first view, of which it is not a member.
func (a *Agent) newConfigStore() configStore {
	if a.settings.DataDir == "" && !a.isBootstrapper() {
		return noConfigStore{}
	}
	return a.newDeferredStore()
}

// newDeferredStore returns the configStore of a process that runs the chain.
func (a *Agent) newDeferredStore() *deferredStore {
	d := &deferredStore{process: a.process, self: a.self, diskOpen: make(chan struct{}),
		openMember: a.openChainMember}
	if a.assignsRoles {
		d.newAssigner = a.newRoleAssigner
	}
	return d
}

// openChainMember opens the disk, if there is one, and restores the state machine from the records on it.
func (a *Agent) openChainMember() (*chainMember, error) {
	m := a.newChainMember()
	records, err := m.disk.open()
	if err == nil {
		err = m.openNode(records)
	}
	if err != nil {
		m.disk.close()
		return nil, fmt.Errorf("opening the chain's state: %w", err)
	}
	return m, nil
}

// newChainMember returns a member of the chain whose disk is not open yet.
func (a *Agent) newChainMember() *chainMember {
	m := &chainMember{
		process: a.process, hubs: a.hubs,
		events: make(chan chainEvent, chainQueueCapacity), ended: make(chan struct{}),
		links:     newChainLinks(a.process, a.endpoint),
		published: newChainPublisher(a.process, a.state, a.configSync),
		disk:      newChainLog(a.process),
	}
	m.requests = newChainRequests(a.process, a.state, m.post)
	if a.isBootstrapper() {
		m.bootstrap = &bootstrapper{state: a.state, now: a.now}
	}
	return m
}

// newRoleAssigner returns the roleAssigner of a member, which assigns roles while the member is the head of
// the chain.
func (a *Agent) newRoleAssigner(member *chainMember) *roleAssigner {
	return &roleAssigner{process: a.process, state: a.state, quorum: a.quorum, demand: a.demand,
		chainRead: member.read, fence: member.published.fence, issuer: member.identity, pending: newPendingOrders()}
}

// newViewAnnouncer returns the viewAnnouncer of this process.
func (a *Agent) newViewAnnouncer() *viewAnnouncer {
	return &viewAnnouncer{process: a.process, state: a.state, hubs: a.hubs, endpoint: a.endpoint,
		knownProxies: a.knownProxies, lastSeen: a.lastSeen, status: a.status.get,
		targets: map[string]*announcementTarget{},
		results: make(chan announcementResult, maxConcurrentAnnouncements)}
}
