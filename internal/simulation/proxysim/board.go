package proxysim

import (
	"math/rand/v2"
	"sort"
)

// board is the bulletin board of the literature on stale loads: what the proxies know of the servers' loads,
// under the model of the scenario (Reports.Model).
type board struct {
	model        string
	delay        float64       // ns
	loads        []float64     // by server, as of the last refresh
	updates      uint64        // refreshes so far; for continuous: delays drawn
	at           int64         // of the last of them
	sampledDelay float64       // for continuous: the delay of decisions at this time, ns
	history      []loadHistory // by server, for continuous
	rng          *rand.Rand
	horizon      int64 // how far back the history must go
}

const (
	// longestDelay is the delay of the exponential distribution that the history goes back to, in mean delays.
	longestDelay = 20
	// minHistory is how many entries a history has before its older half may be dropped.
	minHistory = 256
)

// loadHistory is a server's load over time.
type loadHistory struct {
	at   []int64
	load []float64
}

func (b *board) init(s *Sim) {
	b.model, b.rng = s.scenario.Reports.Model, s.streams.reports
	b.delay = s.scenario.Reports.Delay * s.meanService
	if b.model == reportsProbe {
		b.delay = float64(s.scenario.Reports.Refresh)
	}
	b.loads = make([]float64, len(s.servers))
	switch {
	case b.model == reportsContinuous:
		b.history = make([]loadHistory, len(s.servers))
		b.horizon = int64(b.delay) + 1
		if s.scenario.Reports.DelaySpread != distributionFixed {
			b.horizon = int64(longestDelay * b.delay)
		}
	case (b.model == reportsPeriodic || b.model == reportsProbe && s.policy != policyModule) && b.delay > 0:
		b.refresh(s)
	}
	if b.model == reportsOnAccess {
		for i := range s.proxies {
			s.proxies[i].loads = make([]float64, len(s.servers))
		}
	}
}

// addServer extends the tables by one server.
func (b *board) addServer(s *Sim) {
	b.loads = append(b.loads, 0)
	if b.history != nil {
		b.history = append(b.history, loadHistory{})
	}
	for i := range s.proxies {
		if s.proxies[i].loads != nil {
			s.proxies[i].loads = append(s.proxies[i].loads, 0)
		}
	}
}

// refresh posts all loads and schedules the next refresh.
func (b *board) refresh(s *Sim) {
	for i := range s.servers {
		b.loads[i] = float64(s.servers[i].inSystem())
	}
	b.updates++
	b.at = s.now
	s.add(s.now+int64(b.delay), event{kind: evBoardRefresh})
}

// readOnAccess has a proxy observe all loads as its request reaches a server; it decides by them the next
// time.
func (b *board) readOnAccess(s *Sim, proxyIndex int32) {
	if b.model != reportsOnAccess {
		return
	}
	for serverIndex := range s.servers {
		s.proxies[proxyIndex].loads[serverIndex] = float64(s.servers[serverIndex].inSystem())
	}
}

// recordLoad adds a server's load to its history where decisions look at the past.
func (b *board) recordLoad(s *Sim, serverIndex int32) {
	if b.history == nil {
		return
	}
	history := &b.history[serverIndex]
	load := float64(s.servers[serverIndex].inSystem())
	if n := len(history.at); n > 0 && history.at[n-1] == s.now {
		history.load[n-1] = load
		return
	}
	if n := len(history.at); n > minHistory && history.at[n/2] < s.now-b.horizon {
		history.at = history.at[:copy(history.at, history.at[n/2:])]
		history.load = history.load[:copy(history.load, history.load[n/2:])]
	}
	history.at, history.load = append(history.at, s.now), append(history.load, load)
}

// load is what a proxy knows of the load of a server.
func (b *board) load(s *Sim, proxyIndex, serverIndex int32) float64 {
	switch b.model {
	case reportsFresh:
		return float64(s.servers[serverIndex].inSystem())
	case reportsOnAccess:
		return s.proxies[proxyIndex].loads[serverIndex]
	case reportsContinuous:
		return b.pastLoad(s, serverIndex)
	}
	if b.delay <= 0 {
		return float64(s.servers[serverIndex].inSystem())
	}
	return b.loads[serverIndex]
}

// pastLoad is a server's load as it was a delay ago. The delay is drawn once for all decisions of one time,
// so that each sees loads of one age.
func (b *board) pastLoad(s *Sim, serverIndex int32) float64 {
	if b.at != s.now || b.updates == 0 {
		b.at = s.now
		b.updates++
		delay := b.delay
		switch s.scenario.Reports.DelaySpread {
		case distributionUniform:
			delay *= 2 * b.rng.Float64()
		case distributionExponential:
			delay *= b.rng.ExpFloat64()
		}
		b.sampledDelay = delay
	}
	history := &b.history[serverIndex]
	then := s.now - int64(b.sampledDelay)
	n := sort.Search(len(history.at), func(k int) bool { return history.at[k] > then })
	if n == 0 {
		return 0
	}
	return history.load[n-1]
}

// staleness is how old the loads are that a proxy decides by, in mean service times.
func (b *board) staleness(s *Sim, proxyIndex int32) float64 {
	switch {
	case b.model == reportsFresh || b.delay <= 0 && b.model != reportsOnAccess:
		return 0
	case b.model == reportsOnAccess: // a proxy knows how often it asks
		return s.proxies[proxyIndex].meanGap / s.meanService
	}
	return b.delay / s.meanService
}

// version rises with each refresh; 0 where every decision sees other loads.
func (b *board) version() uint64 {
	if b.model == reportsPeriodic || b.model == reportsProbe {
		return b.updates
	}
	return 0
}
