package scheduler

import (
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/fleetconfig"
)

// Guesses that hold until own calls have shown better; each counts for a few samples.
const (
	initialPrefillMsPerToken    = 1.0 / 30 // ms to read a token
	initialPrefillSetupMs       = 10.0     // ms of a read beside its tokens
	initialPrefillTokens        = 4000.0   // tokens that a read has to read
	initialDecodeMsPerToken     = 8.0      // ms a token of a request that runs alone
	initialDecodeMsPerNeighbour = 0.1      // ms that each other running request adds to a token
	initialOutputTokens         = 16.0     // tokens that a request makes
	initialServiceMs            = 60.0     // ms of a request that is no model's
)

// waited is how much a read counts that took longer than its line says: it has probably waited behind reads
// that nobody told of, and waiting only ever adds.
const queuedSampleWeight = 0.05

// pool is what is known of the servers of a service as a whole.
type servicePool struct {
	popularity    popularity
	peerLoadKnown bool    // other proxies tell what they have under way
	peerLoadAgeMs float64 // T in ms where they do

	service                                     *fleetconfig.Service
	table                                       *catalog.Table // that the lists below were made from
	plainServers, prefillServers, decodeServers []*serverState

	prefillTime        *linearFit // ms that a read takes, by the tokens that it reads
	timePerToken       *linearFit // ms that a token takes, by the requests that the server runs
	plainTime          movingMean // ms that a request takes that is no model's, beside waiting
	prefillTokens      movingMean // that a read reads
	outputTokens       movingMean // tokens that a request makes
	prefillUtilization movingMean // λ of the readers: the part of their time in which they have work
	serveUtilization   movingMean // λ of the others

	directPrefillMs movingMean // ms of own prompts that a writer still has to read
	directCalls     movingMean // own calls at a writer
}

func newServicePool(service *fleetconfig.Service) *servicePool {
	return &servicePool{
		service: service,
		prefillTime: newLinearFit(initialPrefillSetupMs, initialPrefillMsPerToken, initialPrefillTokens,
			queuedSampleWeight),
		timePerToken: newLinearFit(initialDecodeMsPerToken, initialDecodeMsPerNeighbour, initialOutputTokens, 1),
		plainTime:    movingMean{initialServiceMs, 1}, prefillTokens: movingMean{initialPrefillTokens, 1},
		outputTokens:       movingMean{initialOutputTokens, 1},
		prefillUtilization: movingMean{1, 1}, serveUtilization: movingMean{1, 1},
	}
}

// fill makes the lists from a table.
func (p *servicePool) setTable(now time.Duration, table *catalog.Table, servers map[string]*serverState) {
	p.table, p.plainServers, p.prefillServers, p.decodeServers = table, p.plainServers[:0],
		p.prefillServers[:0], p.decodeServers[:0]
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

// of returns the servers that may take calls of a role.
func (p *servicePool) serversFor(role Role) []*serverState {
	switch {
	case p.service.Engine == nil:
		return p.plainServers
	case role == Prefill:
		return p.prefillServers
	}
	return p.decodeServers
}

// use is the mean that follows λ for a role.
func (p *servicePool) utilization(role Role) *movingMean {
	if role == Prefill {
		return &p.prefillUtilization
	}
	return &p.serveUtilization
}

// serviceTime is the mean ms that a request of a role takes at a server that runs busy others.
func (p *servicePool) serviceTime(role Role, inFlight float64) float64 {
	switch {
	case p.service.Engine == nil:
		return p.plainTime.value
	case role == Prefill:
		return p.prefillTime.at(p.prefillTokens.value)
	}
	return p.outputTokens.value * p.timePerToken.at(inFlight)
}

// transferTime is the ms that the memory of a prompt takes to a writer; it takes twice as long between zones.
func (p *servicePool) transferTime(tokens int, crossZone bool) float64 {
	engine := p.service.Engine
	if engine == nil || engine.LinkMbps <= 0 {
		return 0
	}
	const byteBits, millisecondBits = 8, 1000 // of a byte; of a megabit a second in a ms
	bits := float64(tokens) * engine.KVBytesPerToken * byteBits
	transfer := bits / (engine.LinkMbps * millisecondBits)
	if crossZone {
		transfer *= crossZoneFactor
	}
	return transfer
}

const crossZoneFactor = 2 // moves take so many times as long between zones
