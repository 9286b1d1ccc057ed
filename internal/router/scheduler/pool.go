package scheduler

import (
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/fleetconfig"
)

// Guesses that hold until own calls have shown better; each counts for a few samples.
const (
	guessedRead     = 1.0 / 30 // ms to read a token
	guessedSetup    = 10.0     // ms of a read beside its tokens
	guessedTokens   = 4000.0   // tokens that a read has to read
	guessedPace     = 8.0      // ms a token of a request that runs alone
	guessedCrowding = 0.1      // ms that each other running request adds to a token
	guessedOutput   = 16.0     // tokens that a request makes
	guessedService  = 60.0     // ms of a request that is no model's
)

// waited is how much a read counts that took longer than its line says: it has probably waited behind reads
// that nobody told of, and waiting only ever adds.
const waited = 0.05

// pool is what is known of the servers of a service as a whole.
type pool struct {
	popular popularity
	sharing bool    // other proxies tell what they have under way
	age     float64 // T in ms where they do

	service                 *fleetconfig.Service
	table                   *catalog.Table // that the lists below were made from
	plain, readers, writers []*server

	read    *fit // ms that a read takes, by the tokens that it reads
	pace    *fit // ms that a token takes, by the requests that the server runs
	serve   mean // ms that a request takes that is no model's, beside waiting
	tokens  mean // that a read reads
	output  mean // tokens that a request makes
	readUse mean // λ of the readers: the part of their time in which they have work
	runUse  mean // λ of the others

	directLeft  mean // ms of own prompts that a writer still has to read
	directCalls mean // own calls at a writer
}

func newPool(service *fleetconfig.Service) *pool {
	return &pool{
		service: service,
		read:    newFit(guessedSetup, guessedRead, guessedTokens, waited),
		pace:    newFit(guessedPace, guessedCrowding, guessedOutput, 1),
		serve:   mean{guessedService, 1}, tokens: mean{guessedTokens, 1}, output: mean{guessedOutput, 1},
		readUse: mean{1, 1}, runUse: mean{1, 1},
	}
}

// fill makes the lists from a table.
func (p *pool) fill(now time.Duration, table *catalog.Table, servers map[string]*server) {
	p.table, p.plain, p.readers, p.writers = table, p.plain[:0], p.readers[:0], p.writers[:0]
	for _, listed := range table.Service(p.service.Name) {
		s := servers[listed.ID]
		if s == nil {
			s = newServer(now, listed)
			servers[listed.ID] = s
		}
		s.list(now, listed)
		switch listed.Stage {
		case catalog.Reading:
			p.readers = append(p.readers, s)
		case catalog.Writing:
			p.writers = append(p.writers, s)
		default:
			p.plain = append(p.plain, s)
		}
	}
}

// of returns the servers that may take calls of a role.
func (p *pool) of(role Role) []*server {
	switch {
	case p.service.Engine == nil:
		return p.plain
	case role == Read:
		return p.readers
	}
	return p.writers
}

// use is the mean that follows λ for a role.
func (p *pool) use(role Role) *mean {
	if role == Read {
		return &p.readUse
	}
	return &p.runUse
}

// serviceTime is the mean ms that a request of a role takes at a server that runs busy others.
func (p *pool) serviceTime(role Role, busy float64) float64 {
	switch {
	case p.service.Engine == nil:
		return p.serve.value
	case role == Read:
		return p.read.at(p.tokens.value)
	}
	return p.output.value * p.pace.at(busy)
}

// moveTime is the ms that the memory of a prompt takes to a writer; it takes twice as long between zones.
func (p *pool) moveTime(tokens int, between bool) float64 {
	e := p.service.Engine
	if e == nil || e.LinkMbps <= 0 {
		return 0
	}
	const byteBits, millisecondBits = 8, 1000 // of a byte; of a megabit a second in a ms
	bits := float64(tokens) * e.KVBytesPerToken * byteBits
	time := bits / (e.LinkMbps * millisecondBits)
	if between {
		time *= betweenZones
	}
	return time
}

const betweenZones = 2 // moves take so many times as long between zones
