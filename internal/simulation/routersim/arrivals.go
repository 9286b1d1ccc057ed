package routersim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"cresshub/internal/router/scheduler"
)

// arrivals plans the requests of a kind: a Poisson process over all proxies.
func (f *fleet) arrivals(kind int, random *rand.Rand) {
	k := &f.scenario.Kinds[kind]
	sizes := f.sizes(k, random)
	perSecond := k.PerSecond * f.scenario.Rate
	at := 0.0
	for number := 0; ; number++ {
		at += random.ExpFloat64() / perSecond
		if at > f.scenario.Length.Seconds() {
			return
		}
		r := f.request(k, number, sizes, random)
		p := f.proxies[random.IntN(len(f.proxies))]
		f.clock.after(time.Duration(at*float64(time.Second)), func() { p.take(k, r) })
	}
}

// sizes draws the tokens of each shared part of each thing.
func (f *fleet) sizes(k *Kind, random *rand.Rand) [][]int {
	sizes := make([][]int, len(k.Shared))
	for i, shared := range k.Shared {
		for range shared.Things {
			sizes[i] = append(sizes[i], 1+int(bounded(logNormal(random, shared.Tokens, shared.Spread), shared.Most)))
		}
	}
	return sizes
}

// request draws one request. A thing of the last shared part has the same parts before it each time.
func (f *fleet) request(k *Kind, number int, sizes [][]int, random *rand.Rand) *scheduler.Request {
	r := &scheduler.Request{Service: f.service, Idempotent: true}
	last := random.IntN(k.Shared[len(k.Shared)-1].Things)
	for i := range k.Shared {
		thing := last % len(sizes[i])
		id := fmt.Sprintf("%s.%d.%d", k.Name, i, thing)
		r.Parts = append(r.Parts, scheduler.Part{ID: id, Tokens: sizes[i][thing]})
		r.PromptTokens += sizes[i][thing]
	}
	own := 1 + int(bounded(logNormal(random, k.Own, k.Spread), k.MostOwn))
	r.Parts = append(r.Parts, scheduler.Part{ID: fmt.Sprintf("%s.own.%d", k.Name, number), Tokens: own})
	r.PromptTokens += own
	r.OutputTokens = 1 + int(logNormal(random, k.Output, k.Spread))
	return r
}

// bounded returns a size that is at most a bound, 0 for none.
func bounded(size, most float64) float64 {
	if most > 0 {
		return min(size, most)
	}
	return size
}

// logNormal draws a size around a mean.
func logNormal(random *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*random.NormFloat64()-spread*spread/2)
}
