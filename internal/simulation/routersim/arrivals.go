package routersim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"cresshub/internal/router/scheduler"
)

// scheduleArrivals draws the requests of a kind, a Poisson process over all proxies with a rate for each load
// step, and schedules them.
func (f *fleet) scheduleArrivals(index int, random *rand.Rand) {
	kind := &f.scenario.Kinds[index]
	sizes := sharedSizes(kind, random)
	number, start := 0, 0.0
	for step, load := range f.scenario.loadSteps() {
		perSecond := kind.PerSecond * f.scenario.RateFactor * load.Factor
		end := start + load.Length.Seconds()
		for at := start + random.ExpFloat64()/perSecond; at <= end; at += random.ExpFloat64() / perSecond {
			r := &clientRequest{fleet: f, kind: kind, step: step, prompt: f.drawRequest(kind, number, sizes, random)}
			p := f.proxies[random.IntN(len(f.proxies))]
			f.clock.after(time.Duration(at*float64(time.Second)), func() { r.begin(p) })
			number++
		}
		start = end
	}
}

// sharedSizes draws the tokens of each thing of each shared segment.
func sharedSizes(kind *Kind, random *rand.Rand) [][]int {
	sizes := make([][]int, len(kind.Shared))
	for i, shared := range kind.Shared {
		for range shared.Things {
			tokens := capped(logNormal(random, shared.Tokens, shared.Spread), shared.Max)
			sizes[i] = append(sizes[i], 1+int(tokens))
		}
	}
	return sizes
}

// drawRequest draws one request. The thing of the last shared segment determines those before it.
func (f *fleet) drawRequest(kind *Kind, number int, sizes [][]int, random *rand.Rand) *scheduler.Request {
	request := &scheduler.Request{Service: f.service, Idempotent: true}
	add := func(id string, tokens int) {
		request.Segments = append(request.Segments, scheduler.Segment{ID: id, Tokens: tokens})
		request.PromptTokens += tokens
	}
	lastThing := random.IntN(kind.Shared[len(kind.Shared)-1].Things)
	for i := range kind.Shared {
		thing := lastThing % len(sizes[i])
		add(fmt.Sprintf("%s.%d.%d", kind.Name, i, thing), sizes[i][thing])
	}
	ownTokens := 1 + int(capped(logNormal(random, kind.Own, kind.Spread), kind.MaxOwn))
	add(fmt.Sprintf("%s.own.%d", kind.Name, number), ownTokens)
	request.OutputTokens = 1 + int(logNormal(random, kind.Output, kind.Spread))
	return request
}

// capped returns a size that is at most a limit, 0 for none.
func capped(size, limit float64) float64 {
	if limit > 0 {
		return min(size, limit)
	}
	return size
}

// logNormal draws a size from a log-normal distribution with a mean; spread is its sigma.
func logNormal(random *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*random.NormFloat64()-spread*spread/2)
}
