package scheduler

import (
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/fleetconfig"
)

// Estimates that hold until own calls have shown better ones; each counts for a few samples.
const (
	initialPrefillMsPerToken    = 1.0 / 30
	initialPrefillSetupMs       = 10.0   // of a prefill, beside its tokens
	initialPrefillTokens        = 4000.0 // uncached tokens of a prefill
	initialDecodeMsPerToken     = 8.0    // of a request that runs alone
	initialDecodeMsPerNeighbour = 0.1    // that each other running request adds to a token
	initialOutputTokens         = 16.0
	initialServiceMs            = 60.0 // of a request to a service without a model
)

// queuedSampleWeight is the weight of a prefill that took longer than its estimate: it has probably waited
// in a queue that was not reported, and a wait can only lengthen it.
const queuedSampleWeight = 0.05

// servicePool is what this proxy knows about all servers of a service together. Its servers' own states are
// in Scheduler.servers, which the lists here share.
type servicePool struct {
	service *fleetconfig.Service

	table          *catalog.Table // that the lists below were made from
	plainServers   []*serverState // of a service without a model
	prefillServers []*serverState
	decodeServers  []*serverState

	peerLoadKnown bool    // the other proxies report what they have in flight
	peerLoadAgeMs float64 // T of expectedArrivals where they do
	popularity    prefixPopularity

	prefillTime        *linearFit // ms of a prefill, by its uncached tokens
	timePerToken       *linearFit // ms of an output token, by the requests that the server runs
	plainTime          movingMean // ms of a request to a service without a model, beside waiting
	prefillTokens      movingMean // uncached tokens of a prefill
	outputTokens       movingMean // of a request
	prefillUtilization movingMean // u of the prefill servers: the fraction of time in which they have work
	serveUtilization   movingMean // u of the others: the fraction of their slots in use

	directPrefillMs movingMean // that a decode server still has to work on this proxy's own prompts
	directCalls     movingMean // own calls at a decode server

	ejections int64 // of servers, so far
}

// newServicePool returns a pool without servers and with the initial estimates.
func newServicePool(service *fleetconfig.Service) *servicePool {
	return &servicePool{
		service: service,
		prefillTime: newLinearFit(initialPrefillSetupMs, initialPrefillMsPerToken, initialPrefillTokens,
			queuedSampleWeight),
		timePerToken: newLinearFit(initialDecodeMsPerToken, initialDecodeMsPerNeighbour, initialOutputTokens,
			1),
		plainTime:          movingMean{initialServiceMs, 1},
		prefillTokens:      movingMean{initialPrefillTokens, 1},
		outputTokens:       movingMean{initialOutputTokens, 1},
		prefillUtilization: movingMean{1, 1},
		serveUtilization:   movingMean{1, 1},
	}
}

// setTable fills the lists of servers from a table.
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

// serversFor returns the servers that take calls of a role; a model's Serve calls go to decode servers.
func (p *servicePool) serversFor(role Role) []*serverState {
	switch {
	case p.service.Engine == nil:
		return p.plainServers
	case role == Prefill:
		return p.prefillServers
	}
	return p.decodeServers
}

// utilization returns u of arrivals.go for a role.
func (p *servicePool) utilization(role Role) *movingMean {
	if role == Prefill {
		return &p.prefillUtilization
	}
	return &p.serveUtilization
}

// serviceTime returns the mean ms that a request of a role takes at a server with that many in flight.
func (p *servicePool) serviceTime(role Role, inFlight float64) float64 {
	switch {
	case p.service.Engine == nil:
		return p.plainTime.value
	case role == Prefill:
		return p.prefillTime.at(p.prefillTokens.value)
	}
	return p.outputTokens.value * p.timePerToken.at(inFlight)
}

// transferTime returns the ms that the prefix cache of a prompt takes to a decode server, 0 if the speed
// of links is unknown.
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

const crossZoneFactor = 2 // transfers between zones take that many times as long
