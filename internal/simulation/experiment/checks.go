package experiment

import (
	"fmt"
	"math"
)

// The keys that the compared runs vary.
const (
	keyServers = "servers.count"
	keyLoad    = "load.utilisation"
	keyModel   = "reports.model"
	keyDelay   = "reports.delay"
)

// play is one policy on the scenario "queues" with some keys replaced, as a check needs it.
type play struct {
	policy string
	k      int               // proxysim.Options.K
	lambda float64           // proxysim.Options.Lambda
	set    map[string]string // values of the scenario, by key
}

// newPlay returns a play with values of keys, in pairs of a key and a value.
func newPlay(policy string, pairs ...string) play {
	p := play{policy: policy, set: map[string]string{}}
	for i := 0; i+1 < len(pairs); i += 2 {
		p.set[pairs[i]] = pairs[i+1]
	}
	return p
}

// withK returns the play with another number of servers compared.
func (p play) withK(k int) play {
	p.k = k
	return p
}

// withLambda returns the play with another assumed arrival rate.
func (p play) withLambda(lambda float64) play {
	p.lambda = lambda
	return p
}

// and returns the play with one more key replaced; it changes the play's map.
func (p play) and(key, value string) play {
	p.set[key] = value
	return p
}

// The plays of the models of stale load, by their delay in mean service times.

func periodic(policy, delay string) play {
	return newPlay(policy, keyModel, "periodic", keyDelay, delay)
}

func onAccess(policy string) play { return newPlay(policy, keyModel, "on-access", keyDelay, "10") }

func bursty(policy string) play {
	return onAccess(policy).and("load.arrivals", "bursty").and("load.burst", "10")
}

func continuous(policy, spread string) play {
	return newPlay(policy, keyModel, "continuous", keyDelay, "10").and("reports.spread", spread)
}

// Erlang is the mean response time of M/M/c over its service time (Erlang C), for a number of cores.
func Erlang(cores int, load float64) float64 {
	term, sum := 1.0, 0.0
	for k := range cores {
		sum += term
		term *= load * float64(cores) / float64(k+1)
	}
	wait := term / (1 - load)
	return 1 + wait/(sum+wait)/(float64(cores)*(1-load))
}

// TwoChoices is the mean response time over the service time when each of infinitely many queues is chosen
// as the shorter of two: the sum of load^(2^i-2) over i from 1.
func TwoChoices(load float64) (t float64) {
	for i := 1; i < 40; i++ {
		t += math.Pow(load, math.Pow(2, float64(i))-2)
	}
	return t
}

// The ways to derive a check's figure from the mean response times of its plays.

func first(e []Estimate) Estimate { return e[0] }

// slowdown is the second over the first.
func slowdown(e []Estimate) Estimate {
	return Estimate{Mean: e[1].Mean / e[0].Mean, Half: e[0].Half/e[0].Mean + e[1].Half/e[1].Mean}
}

// speedup is the first over the second.
func speedup(e []Estimate) Estimate {
	x := slowdown(e)
	x.Mean = 1 / x.Mean
	return x
}

// bestOther is the lowest of the others over the first.
func bestOther(e []Estimate) Estimate {
	best := Estimate{Mean: math.Inf(1)}
	for _, other := range e[1:] {
		if x := slowdown([]Estimate{e[0], other}); x.Mean < best.Mean {
			best = x
		}
	}
	return best
}

// checkList is a list of checks under construction.
type checkList []*Check

// equal adds a check that holds within a relative bound.
func (l *checkList) equal(name, source string, expected, within float64, combine func([]Estimate) Estimate,
	plays ...play) {
	*l = append(*l, &Check{Name: name, Source: source, Expected: expected, Within: within, combine: combine,
		plays: plays})
}

// atLeast adds a check that holds also above the expected figure.
func (l *checkList) atLeast(name, source string, expected, within float64, plays ...play) {
	l.equal(name, source, expected, within, bestOther, plays...)
	(*l)[len(*l)-1].AtLeast = true
}

// checks returns all checks. Bounds are what the number of requests leaves to chance and, where the text
// gives a rounded figure, its rounding.
func checks() []*Check {
	var l checkList
	l.queueingTheory()
	l.periodicUpdates()
	l.updateOnAccess()
	l.continuousUpdates()
	l.herding()
	return l
}

// queueingTheory adds the checks of exact and asymptotic results.
func (l *checkList) queueingTheory() {
	for _, load := range []float64{0.5, 0.8, 0.9} {
		l.equal(fmt.Sprintf("M/M/1 at %.1f", load), "queueing theory", 1/(1-load), 0.05, first,
			newPlay("random", keyServers, "1", keyLoad, fmt.Sprint(load)))
	}
	for _, cores := range []int{2, 4, 16} {
		l.equal(fmt.Sprintf("M/M/%d at 0.9", cores), "Erlang C", Erlang(cores, 0.9), 0.05, first,
			newPlay("random", keyServers, "1", "servers.cores", fmt.Sprint(cores), keyLoad, "0.9"))
	}
	for _, load := range []float64{0.5, 0.9} {
		l.equal(fmt.Sprintf("random, n = 100 at %.1f", load), "M/M/1", 1/(1-load), 0.03, first,
			newPlay("random", keyLoad, fmt.Sprint(load)))
		l.equal(fmt.Sprintf("two choices, n = 100 at %.1f", load), "mean field, n without bound",
			TwoChoices(load), 0.04, first, newPlay("two-choices", keyLoad, fmt.Sprint(load)))
	}
}

// periodicUpdates adds the checks of the paper's model of periodic updates.
func (l *checkList) periodicUpdates() {
	l.equal("Basic LI against the best k at T = 40", "paper, 5.1: 41% faster", 1.41, 0.06, bestOther,
		periodic("basic-li", "40"), periodic("random", "40"), periodic("two-choices", "40"),
		periodic("k-choices", "40").withK(3))
	l.equal("Basic LI against random at T = 200", "paper, 5.1: 9%", 1.09, 0.04, bestOther,
		periodic("basic-li", "200"), periodic("random", "200"))
	l.atLeast("Basic LI against k at T = 1", "paper, 5.1: at least as good", 1, 0.01,
		periodic("basic-li", "1"), periodic("random", "1"), periodic("two-choices", "1"),
		periodic("k-choices", "1").withK(3))
	l.atLeast("n = 8, T = 10: Basic LI against k", "paper, Figure 4: as for n = 100", 1, 0.01,
		periodic("basic-li", "10").and(keyServers, "8"), periodic("random", "10").and(keyServers, "8"),
		periodic("two-choices", "10").and(keyServers, "8"))
	l.equal("LI-2 over Basic LI, periodic, T = 10", "paper, Figure 14c: nearly identical", 1, 0.12, slowdown,
		periodic("basic-li", "10"), periodic("li-k", "10").withK(2))
	l.equal("Basic LI with lambda 1.0 for 0.9, T = 20", "paper, 5.6: within 1%", 1, 0.02, slowdown,
		periodic("basic-li", "20"), periodic("basic-li", "20").withLambda(1))
}

// updateOnAccess adds the checks of the paper's model of updates on access.
func (l *checkList) updateOnAccess() {
	l.atLeast("on access, T = 10: Basic LI against k", "paper, 5.3: outperforms all", 1, 0.01,
		onAccess("basic-li"), onAccess("random"), onAccess("two-choices"), onAccess("k-choices").withK(3))
	l.equal("on access, T = 10: LI-2 over two choices", "paper, 5.7: similar", 1, 0.08, slowdown,
		onAccess("two-choices"), onAccess("li-k").withK(2))
	l.atLeast("on access, T = 10: LI-3 against k", "paper, 5.7: outperforms all k", 1, 0.01,
		onAccess("li-k").withK(3), onAccess("two-choices"), onAccess("k-choices").withK(3))
	l.atLeast("on access, bursts of 10, T = 10: Basic LI", "paper, 5.4: best or tied", 1, 0.02,
		bursty("basic-li"), bursty("random"), bursty("two-choices"), bursty("k-choices").withK(3))
}

// continuousUpdates adds the checks of the paper's model of continuous updates.
func (l *checkList) continuousUpdates() {
	l.atLeast("continuous, fixed T = 10: Basic LI against k", "paper, 5.2: as good as any", 1, 0.01,
		continuous("basic-li", "fixed"), continuous("random", "fixed"), continuous("two-choices", "fixed"))
	l.atLeast("continuous, exponential T = 10: Basic LI against k", "paper, 5.2: up to 16% behind", 1/1.16, 0.01,
		continuous("basic-li", "exponential"), continuous("random", "exponential"),
		continuous("two-choices", "exponential"))
}

// herding adds the checks of choices by very stale and by fresh loads.
func (l *checkList) herding() {
	l.equal("two choices over random at T = 100", "paper, 2: random is twice as good", 2, 0.25, speedup,
		periodic("two-choices", "100"), periodic("random", "100"))
	l.equal("fresh, lighter load: shortest over random", "paper, 5.1, Figure 3: nearly a factor of two", 2, 0.1,
		slowdown, newPlay("stale-shortest", keyLoad, "0.5"), newPlay("random", keyLoad, "0.5"))
}
