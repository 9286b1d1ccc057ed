package proxysim

import (
	"math/rand/v2"
	"sort"
)

// board is what is known of the servers' loads: as in the literature on stale loads, or as reports are
// refreshed.
type board struct {
	model   string
	delay   float64 // ns
	loads   []float64
	written uint64  // times it was
	at      int64   // the last time
	drawn   float64 // for continuous: the delay of this moment's decision, ns
	history []trail // by server, for continuous
	rng     *rand.Rand
	reach   int64 // how far back the history must go
}

// trail is a server's load over time.
type trail struct {
	at   []int64
	load []float64
}

func (b *board) init(s *Sim) {
	b.model, b.rng = s.sc.Reports.Model, s.streams.reports
	b.delay = s.sc.Reports.Delay * s.serv
	if b.model == "probe" {
		b.delay = float64(s.sc.Reports.Refresh)
	}
	b.loads = make([]float64, len(s.servers))
	switch {
	case b.model == "continuous":
		b.history = make([]trail, len(s.servers))
		b.reach = int64(b.delay) + 1
		if s.sc.Reports.Spread != "fixed" {
			b.reach = int64(20 * b.delay)
		}
	case (b.model == "periodic" || b.model == "probe" && s.policy != "module") && b.delay > 0:
		b.write(s)
	}
	if b.model == "on-access" {
		for i := range s.proxies {
			s.proxies[i].loads = make([]float64, len(s.servers))
		}
	}
}

// grow makes room for one server more.
func (b *board) grow(s *Sim) {
	b.loads = append(b.loads, 0)
	if b.history != nil {
		b.history = append(b.history, trail{})
	}
	for i := range s.proxies {
		if s.proxies[i].loads != nil {
			s.proxies[i].loads = append(s.proxies[i].loads, 0)
		}
	}
}

// write posts all loads, and comes again after the period.
func (b *board) write(s *Sim) {
	for i := range s.servers {
		b.loads[i] = float64(s.servers[i].held())
	}
	b.written++
	b.at = s.now
	s.add(s.now+int64(b.delay), evBoard, 0, 0, 0)
}

// access has a proxy see all loads as its request comes to the server; it decides by them the next time.
func (b *board) access(s *Sim, i int32) {
	if b.model != "on-access" {
		return
	}
	for j := range s.servers {
		s.proxies[i].loads[j] = float64(s.servers[j].held())
	}
}

// changed notes a server's load where the past is looked up.
func (b *board) changed(s *Sim, i int32) {
	if b.history == nil {
		return
	}
	t := &b.history[i]
	load := float64(s.servers[i].held())
	if n := len(t.at); n > 0 && t.at[n-1] == s.now {
		t.load[n-1] = load
		return
	}
	if n := len(t.at); n > 256 && t.at[n/2] < s.now-b.reach {
		t.at = t.at[:copy(t.at, t.at[n/2:])]
		t.load = t.load[:copy(t.load, t.load[n/2:])]
	}
	t.at, t.load = append(t.at, s.now), append(t.load, load)
}

// load is what a proxy knows of a server's.
func (b *board) load(s *Sim, i, j int32) float64 {
	switch b.model {
	case "fresh":
		return float64(s.servers[j].held())
	case "on-access":
		return s.proxies[i].loads[j]
	case "continuous":
		return b.past(s, j)
	}
	if b.delay <= 0 {
		return float64(s.servers[j].held())
	}
	return b.loads[j]
}

// past is a server's load as it was a delay ago. The delay is drawn once for a decision: all that is seen
// then is of one age.
func (b *board) past(s *Sim, j int32) float64 {
	if b.at != s.now || b.written == 0 {
		b.at = s.now
		b.written++
		d := b.delay
		switch s.sc.Reports.Spread {
		case "uniform":
			d *= 2 * b.rng.Float64()
		case "exponential":
			d *= b.rng.ExpFloat64()
		}
		b.drawn = d
	}
	t := &b.history[j]
	then := s.now - int64(b.drawn)
	n := sort.Search(len(t.at), func(k int) bool { return t.at[k] > then })
	if n == 0 {
		return 0
	}
	return t.load[n-1]
}

// age is how old the loads are that a proxy decides by, in mean service times.
func (b *board) age(s *Sim, i int32) float64 {
	switch {
	case b.model == "fresh" || b.delay <= 0 && b.model != "on-access":
		return 0
	case b.model == "on-access": // a proxy knows how often it asks
		return s.proxies[i].gap / s.serv
	}
	return b.delay / s.serv
}

// version rises with each new board; 0 where every decision sees another.
func (b *board) version() uint64 {
	if b.model == "periodic" || b.model == "probe" {
		return b.written
	}
	return 0
}
