package routersim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"cresshub/internal/router/scheduler"
)

// planArrivals plans the requests of a kind: a Poisson process over all proxies.
func (f *fleet) planArrivals(index int, random *rand.Rand) {
	kind := &f.scenario.Kinds[index]
	sizes := f.sizes(kind, random)
	perSecond := kind.PerSecond * f.scenario.RateFactor
	at := 0.0
	for number := 0; ; number++ {
		at += random.ExpFloat64() / perSecond
		if at > f.scenario.Length.Seconds() {
			return
		}
		r := f.request(kind, number, sizes, random)
		p := f.proxies[random.IntN(len(f.proxies))]
		f.clock.after(time.Duration(at*float64(time.Second)), func() { p.receive(kind, r) })
	}
}

// sizes draws the tokens of each shared part of each thing.
func (f *fleet) sizes(kind *Kind, random *rand.Rand) [][]int {
	sizes := make([][]int, len(kind.Shared))
	for i, shared := range kind.Shared {
		for range shared.Things {
			sizes[i] = append(sizes[i], 1+int(capped(logNormal(random, shared.Tokens, shared.Spread), shared.Max)))
		}
	}
	return sizes
}

// request draws one request. A thing of the last shared part has the same parts before it each time.
func (f *fleet) request(kind *Kind, number int, sizes [][]int, random *rand.Rand) *scheduler.Request {
	r := &scheduler.Request{Service: f.service, Idempotent: true}
	lastThing := random.IntN(kind.Shared[len(kind.Shared)-1].Things)
	for i := range kind.Shared {
		thing := lastThing % len(sizes[i])
		id := fmt.Sprintf("%s.%d.%d", kind.Name, i, thing)
		r.Segments = append(r.Segments, scheduler.Segment{ID: id, Tokens: sizes[i][thing]})
		r.PromptTokens += sizes[i][thing]
	}
	ownTokens := 1 + int(capped(logNormal(random, kind.Own, kind.Spread), kind.MaxOwn))
	r.Segments = append(r.Segments, scheduler.Segment{ID: fmt.Sprintf("%s.own.%d", kind.Name, number),
		Tokens: ownTokens})
	r.PromptTokens += ownTokens
	r.OutputTokens = 1 + int(logNormal(random, kind.Output, kind.Spread))
	return r
}

// capped returns a size that is at most a bound, 0 for none.
func capped(size, limit float64) float64 {
	if limit > 0 {
		return min(size, limit)
	}
	return size
}

// logNormal draws a size around a mean.
func logNormal(random *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*random.NormFloat64()-spread*spread/2)
}
