package scheduler

import (
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/fleetconfig"
)

// Initial estimates, which the measurements of own calls replace. Each has the weight of a few samples.
const (
	initialPrefillMsPerToken            = 1.0 / 30
	initialPrefillSetupMs               = 10.0   // fixed part of a prefill's time
	initialPrefillTokens                = 4000.0 // uncached tokens of a prefill
	initialDecodeMsPerToken             = 8.0    // for a request that runs alone
	initialDecodeMsPerConcurrentRequest = 0.1    // added to the time per token by each other running request
	initialOutputTokens                 = 16.0
	initialServiceMs                    = 60.0 // of a request to a service without a model
)

// queuedSampleWeight is the weight of a prefill that took longer than its estimate. It has probably waited in
// a queue that was not reported, and such a wait can only lengthen its time.
const queuedSampleWeight = 0.05

// servicePool is what this proxy knows about all servers of a service together. Its lists point to the states
// of the single servers in Scheduler.servers.
type servicePool struct {
	service *fleetconfig.Service

	table          *catalog.Table // from which the lists below were built
	plainServers   []*serverState // of a service without a model
	prefillServers []*serverState
	decodeServers  []*serverState

	peerLoadKnown bool    // the other proxies report what they have in flight
	peerLoadAgeMs float64 // T in arrivals.go if peerLoadKnown
	popularity    prefixPopularity

	prefillTime        *linearFit // ms of a prefill as a function of its uncached tokens
	timePerToken       *linearFit // ms per output token as a function of the server's requests in flight
	plainServiceTime   movingMean // ms of a request to a service without a model, without queueing
	prefillTokens      movingMean // uncached tokens of a prefill
	outputTokens       movingMean // output tokens of a request
	prefillUtilization movingMean // u of the prefill servers: the fraction of time in which they are busy
	serveUtilization   movingMean // u of the others: the fraction of their slots in use

	directPrefillMs movingMean // ms of prefill work that this proxy's own calls have at a decode server
	directCalls     movingMean // this proxy's own calls at a decode server

	ejections int64 // number of ejections of servers so far
}

// newServicePool returns a pool with the initial estimates and no servers.
func newServicePool(service *fleetconfig.Service) *servicePool {
	return &servicePool{
		service: service,
		prefillTime: newLinearFit(initialPrefillSetupMs, initialPrefillMsPerToken, initialPrefillTokens,
			queuedSampleWeight),
		timePerToken: newLinearFit(initialDecodeMsPerToken, initialDecodeMsPerConcurrentRequest,
			initialOutputTokens, 1),
		plainServiceTime:   movingMean{initialServiceMs, 1},
		prefillTokens:      movingMean{initialPrefillTokens, 1},
		outputTokens:       movingMean{initialOutputTokens, 1},
		prefillUtilization: movingMean{1, 1},
		serveUtilization:   movingMean{1, 1},
	}
}

// setTable rebuilds the lists of servers from a table and adds states for servers that are new.
func (p *servicePool) setTable(now time.Duration, table *catalog.Table, servers map[string]*serverState) {
	p.table = table
	p.plainServers, p.prefillServers, p.decodeServers =
		p.plainServers[:0], p.prefillServers[:0], p.decodeServers[:0]
	for _, listed := range table.Service(p.service.Name) {
		server := servers[listed.ID]
		if server == nil {
			server = newServerState(now, listed)
			servers[listed.ID] = server
		}
		server.updateListing(now, listed)
		switch listed.Role {
		case catalog.Prefill:
			p.prefillServers = append(p.prefillServers, server)
		case catalog.Decode:
			p.decodeServers = append(p.decodeServers, server)
		default:
			p.plainServers = append(p.plainServers, server)
		}
	}
}

// serversFor returns the servers that take calls of a role. Serve calls of a model service go to decode
// servers.
func (p *servicePool) serversFor(role Role) []*serverState {
	switch {
	case p.service.Engine == nil:
		return p.plainServers
	case role == Prefill:
		return p.prefillServers
	}
	return p.decodeServers
}

// utilization returns the observed utilization (u in arrivals.go) of the servers for a role.
func (p *servicePool) utilization(role Role) *movingMean {
	if role == Prefill {
		return &p.prefillUtilization
	}
	return &p.serveUtilization
}

// serviceTime returns the mean time in ms of a call of a role at a server with inFlight requests in flight.
func (p *servicePool) serviceTime(role Role, inFlight float64) float64 {
	switch {
	case p.service.Engine == nil:
		return p.plainServiceTime.value
	case role == Prefill:
		return p.prefillTime.at(p.prefillTokens.value)
	}
	return p.outputTokens.value * p.timePerToken.at(inFlight)
}

// transferTime returns the time in ms of the transfer of a prompt's prefix cache to a decode server. It
// returns 0 if the speed of the links is unknown.
func (p *servicePool) transferTime(tokens int, crossZone bool) float64 {
	engine := p.service.Engine
	if engine == nil || engine.LinkMbps <= 0 {
		return 0
	}
	const bitsPerByte, bitsPerMsAtOneMbps = 8, 1000
	bits := float64(tokens) * engine.KVBytesPerToken * bitsPerByte
	transferMs := bits / (engine.LinkMbps * bitsPerMsAtOneMbps)
	if crossZone {
		transferMs *= crossZoneFactor
	}
	return transferMs
}

const crossZoneFactor = 2 // a transfer between zones takes this many times as long as one within a zone
