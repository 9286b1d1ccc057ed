package routerstandin

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// LoadOptions describe the requests of all clients together.
type LoadOptions struct {
	Kinds   []*Kind
	Clients []*Client
	Rate    float64 // requests a second
	Seed    uint64
}

// Load sends requests at an even rate whatever becomes of them (open loop).
type Load struct {
	options LoadOptions
	tally   *Tally
	number  *atomic.Int64
}

// NewLoad returns a load that sends nothing yet. Requests are numbered by number, which several loads may
// share.
func NewLoad(options LoadOptions, number *atomic.Int64) *Load {
	return &Load{options: options, tally: NewTally(options.Kinds), number: number}
}

// Tally returns what has become of the requests so far.
func (l *Load) Tally() *Tally { return l.tally }

// Run sends requests until stop is closed, then waits for those in flight, which end at once with ctx.
func (l *Load) Run(ctx context.Context, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(l.options.Seed, 1))
	ticker := time.NewTicker(time.Duration(float64(time.Second) / l.options.Rate))
	defer ticker.Stop()
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-stop:
			return
		case <-ticker.C:
		}
		request := NewRequest(l.kindAt(random.Float64()), int(l.number.Add(1)))
		client := l.options.Clients[random.IntN(len(l.options.Clients))]
		l.tally.recordAsked(request.Kind)
		inFlight.Go(func() { l.tally.add(client.Do(ctx, request)) })
	}
}

// kindAt returns the kind at a position between 0 and 1 of the cumulated fractions.
func (l *Load) kindAt(position float64) *Kind {
	for _, kind := range l.options.Kinds {
		if position -= kind.Fraction; position < 0 {
			return kind
		}
	}
	return l.options.Kinds[0]
}
