package proxysim

import (
	"math"
	"time"

	"cresshub/balance"
)

// server is one zone server.
type server struct {
	kind, hall, cores, life int32
	speed                   float64
	up, silent, draining    bool
	started                 int64 // 0 is long ago
	running                 []int32
	queue                   []int32 // jobs waiting, from head on
	head                    int
	open                    int32 // connections
	paused                  int64
	debt                    float64 // work of probes not done yet

	crowdedAt, idleAt int64 // since then, 0 where not
	choked, everChoke bool
	chokes            uint64 // stamp

	warm map[uint64]int64 // keys met, with when
	ring []uint64         // keys in the order met
	next int

	reportAt int64
	reported [3]float64

	window  int64 // of what reached it while cold
	reached float64
	fell    bool
}

func (v *server) waiting() int { return len(v.queue) - v.head }
func (v *server) held() int    { return len(v.running) + v.waiting() }

// job is an attempt at a server.
type job struct {
	req, attempt, server, life int32
	work, extra                float64 // ns on a core of speed 1; extra is its connection's
	key                        uint64
	end                        int64
	stamp                      uint32
	used, abandoned            bool
}

func (s *Sim) takeJob(j job) int32 {
	j.used = true
	if n := len(s.free.jobs); n > 0 {
		i := s.free.jobs[n-1]
		s.free.jobs = s.free.jobs[:n-1]
		j.stamp = s.jobs[i].stamp + 1
		s.jobs[i] = j
		return i
	}
	s.jobs = append(s.jobs, j)
	return int32(len(s.jobs) - 1)
}

// end gives a job's place back and has its attempt end so, after that time; never where it says nothing.
func (s *Sim) end(ji int32, res balance.Result, after int64, tells bool) {
	j := &s.jobs[ji]
	q := &s.reqs[j.req]
	q.attempts[j.attempt].job = -1
	q.jobs--
	if tells {
		s.add(s.now+after, evOutcome, j.req, int32(res), uint64(q.gen)<<8|uint64(j.attempt))
	}
	j.used = false
	s.free.jobs = append(s.free.jobs, ji)
	s.release(j.req)
}

// back is one way from a server to the proxy of a job.
func (s *Sim) back(j *job) int64 {
	return s.latency(s.servers[j.server].hall, s.proxies[s.reqs[j.req].proxy].hall)
}

// arrive takes a request in at its server.
func (s *Sim) arrive(ji int32) {
	j := &s.jobs[ji]
	v := &s.servers[j.server]
	back := s.back(j)
	d := &s.demands[s.reqs[j.req].demand]
	switch {
	case v.silent:
		s.end(ji, 0, 0, false)
		return
	case !v.up || v.life != j.life:
		s.end(ji, balance.Reset, back, true)
		return
	}
	s.push(j.server, j.work+j.extra, d.number)
	limit := s.sc.Servers.Waiting
	if v.draining || v.fell || len(v.running) >= int(v.cores) && limit > 0 && v.waiting() >= limit {
		s.tally.turnedAway++
		s.end(ji, balance.Rejected, back, true)
		return
	}
	if len(v.running) < int(v.cores) {
		s.begin(ji)
	} else {
		v.queue = append(v.queue, ji)
	}
	s.board.changed(s, j.server)
	s.board.access(s, s.reqs[j.req].proxy)
	s.watchCrowd(j.server)
}

// push sums up what reaches a cold server. Sent too much for too long, it falls over and stays down.
func (s *Sim) push(i int32, work float64, number int32) {
	v := &s.servers[i]
	c := s.warmth(v)
	if s.sc.Rules.Multiple <= 0 || c >= 1 || v.fell {
		return
	}
	after := int64(s.sc.Rules.After)
	if s.now-v.window > after {
		v.window, v.reached = s.now, 0
	}
	v.reached += work
	can := c * float64(v.cores) * v.speed * float64(after)
	if v.reached > s.sc.Rules.Multiple*can+4*float64(v.cores)*work { // a little slack for chance
		v.fell = true
		s.monitor.broken(s, ColdKept, number, i)
	}
}

// warmth is the part of its capacity that a server has now.
func (s *Sim) warmth(v *server) float64 {
	o := &s.sc.Servers
	if o.ColdStart >= 1 || v.started == 0 || o.ColdFor <= 0 {
		return 1
	}
	return min(1, o.ColdStart+(1-o.ColdStart)*float64(s.now-v.started)/float64(o.ColdFor))
}

// begin puts a job on a core.
func (s *Sim) begin(ji int32) {
	j := &s.jobs[ji]
	v := &s.servers[j.server]
	q := &s.reqs[j.req]
	d := &s.demands[q.demand]
	s.monitor.note(s, "runs", d.number, j.server)
	if d.runs++; d.runs > 1 && s.sc.Classes[d.class].Unsafe {
		s.monitor.broken(s, NeverTwice, d.number, j.server)
	}
	q.ran = true
	work := j.work
	if s.meets(v, j.key) {
		work *= s.sc.Servers.WarmPart
	}
	took := (work + j.extra + v.debt) / (v.speed * s.warmth(v))
	v.debt = 0
	if v.choked {
		took *= s.sc.Servers.ChokeSlow
	}
	j.end = max(s.now, v.paused) + int64(took)
	v.running = append(v.running, ji)
	s.add(j.end, evWorked, ji, v.life, uint64(j.stamp))
}

// meets tells whether a key is warm and remembers it; who was met longest ago is forgotten first.
func (s *Sim) meets(v *server, key uint64) bool {
	o := &s.sc.Servers
	if o.WarmFor <= 0 || key == 0 {
		return false
	}
	if v.warm == nil {
		v.warm, v.ring = make(map[uint64]int64, o.WarmMost), make([]uint64, o.WarmMost)
	}
	at, met := v.warm[key]
	if !met {
		if old := v.ring[v.next]; old != 0 {
			delete(v.warm, old)
		}
		v.ring[v.next] = key
		v.next = (v.next + 1) % len(v.ring)
	}
	v.warm[key] = s.now
	return met && s.now-at <= int64(o.WarmFor)
}

// worked ends a job on its core and gives the core to the next.
func (s *Sim) worked(ji, life int32, stamp uint64) {
	j := &s.jobs[ji]
	if !j.used || uint64(j.stamp) != stamp {
		return
	}
	i := j.server
	v := &s.servers[i]
	if v.life != life {
		return
	}
	if v.paused > s.now { // it stood still meanwhile: what is left is done after that
		j.end = max(j.end, v.paused)
	}
	if j.end > s.now {
		s.add(j.end, evWorked, ji, life, stamp)
		return
	}
	for n, r := range v.running {
		if r == ji {
			v.running[n] = v.running[len(v.running)-1]
			v.running = v.running[:len(v.running)-1]
			break
		}
	}
	if j.abandoned {
		s.tally.wasted += j.work
	}
	s.end(ji, balance.Done, s.back(j), !v.silent)
	for v.waiting() > 0 && len(v.running) < int(v.cores) {
		next := v.queue[v.head]
		if v.head++; v.head > 64 && 2*v.head > len(v.queue) {
			v.queue = v.queue[:copy(v.queue, v.queue[v.head:])]
			v.head = 0
		}
		if s.jobs[next].abandoned && s.sc.Servers.Drops {
			s.end(next, 0, 0, false)
			continue
		}
		s.begin(next)
	}
	s.board.changed(s, i)
	s.watchCrowd(i)
}

// watchCrowd follows whether a server is crowded or idle, and chokes it or frees it when that has lasted.
func (s *Sim) watchCrowd(i int32) {
	o := &s.sc.Servers
	v := &s.servers[i]
	if o.Crowded <= 0 {
		return
	}
	if float64(v.waiting()) > o.Crowded*float64(v.cores) {
		if v.crowdedAt == 0 && !v.choked {
			v.crowdedAt = s.now
			v.chokes++
			s.add(s.now+int64(o.ChokeAfter), evChoke, i, 0, v.chokes)
		}
	} else {
		v.crowdedAt = 0
	}
	if idle := v.held()*2 <= int(v.cores); !idle {
		v.idleAt = 0
	} else if v.choked && v.idleAt == 0 {
		v.idleAt = s.now
		s.add(s.now+int64(o.ChokeIdle), evChoke, i, 1, uint64(s.now))
	}
}

// choke begins it where the crowd has lasted, and ends it where the idleness has, or after its time.
func (s *Sim) choke(i int32, ends bool, stamp uint64) {
	v := &s.servers[i]
	switch {
	case ends && v.choked && (uint64(v.idleAt) == stamp && v.idleAt != 0 || stamp == v.chokes<<1|1<<63):
		v.choked, v.crowdedAt, v.idleAt = false, 0, 0
		s.watchCrowd(i)
	case !ends && !v.choked && v.crowdedAt != 0 && v.chokes == stamp:
		v.choked, v.everChoke = true, true
		s.add(s.now+int64(s.sc.Servers.ChokeFor), evChoke, i, 1, v.chokes<<1|1<<63)
	}
}

// pair is the idle connections of a proxy to a server: when each was parked, the last at the end.
type pair struct{ idle []int64 }

func (s *Sim) pair(i, to int32) *pair { return &s.pairs[int(i)*s.registry.most+int(to)] }

// reuse takes the connection parked last.
func (s *Sim) reuse(i, to int32) bool {
	p := s.pair(i, to)
	if len(p.idle) == 0 || !s.servers[to].up {
		return false
	}
	p.idle = p.idle[:len(p.idle)-1]
	return true
}

// park keeps a connection for the next attempt, or closes it.
func (s *Sim) park(i, to int32, again bool) {
	if !again {
		s.servers[to].open--
		return
	}
	p := s.pair(i, to)
	p.idle = append(p.idle, s.now)
	s.add(s.now+int64(s.sc.Network.Idle), evIdle, i, to, 0)
}

// age closes connections that have rested too long.
func (s *Sim) age(i, to int32) {
	p := s.pair(i, to)
	n := 0
	for n < len(p.idle) && p.idle[n] <= s.now-int64(s.sc.Network.Idle) {
		n++
	}
	if n > 0 {
		p.idle = p.idle[:copy(p.idle, p.idle[n:])]
		s.servers[to].open -= int32(n)
	}
}

// probeAnswer is one on its way back.
type probeAnswer struct {
	server, life int32
	sent         int64
	res          balance.Result
	row          [3]float64
}

// probe is at its server. Under a model of the literature it is told what the board says.
func (s *Sim) probe(to, i, life int32) {
	v := &s.servers[to]
	p := &s.proxies[i]
	way := s.latency(v.hall, p.hall)
	a := probeAnswer{server: to, life: life, sent: s.now - way}
	after := way
	switch {
	case v.silent:
		a.res, after = balance.TimedOut, int64(s.sc.Network.Dial)
	case !v.up:
		a.res = balance.ConnRefused
	default:
		v.debt += float64(s.sc.Reports.Cost)
		if a.row = s.report(v); s.sc.Reports.Model != "probe" {
			a.row[0] = s.board.load(s, i, to)
			a.row[1] = max(a.row[0]-float64(v.cores), 0)
		}
	}
	n := int32(len(s.answers))
	if k := len(s.free.answers); k > 0 {
		n = s.free.answers[k-1]
		s.free.answers = s.free.answers[:k-1]
		s.answers[n] = a
	} else {
		s.answers = append(s.answers, a)
	}
	s.add(s.now+after, evProbed, n, i, 0)
}

// report is what a server says of its load: made anew now and then, a little wrong.
func (s *Sim) report(v *server) [3]float64 {
	if refresh := int64(s.sc.Reports.Refresh); v.reportAt == 0 || s.now-v.reportAt >= refresh {
		v.reportAt = max(s.now, 1)
		noise := func(x float64) float64 {
			if s.sc.Reports.Noise > 0 {
				x *= 1 + s.sc.Reports.Noise*(2*s.streams.reports.Float64()-1)
			}
			return math.Round(x)
		}
		v.reported = [3]float64{noise(float64(v.held())), noise(float64(v.waiting())),
			float64(len(v.running)) / float64(v.cores)}
	}
	return v.reported
}

func (s *Sim) probed(n, i int32) {
	a := s.answers[n]
	s.free.answers = append(s.free.answers, n)
	p := &s.proxies[i]
	if !p.alive || p.life != a.life {
		return
	}
	var row []float64
	if a.res == balance.Done {
		row = a.row[:]
	}
	s.do(i, p.agent.Probed(time.Duration(s.now), balance.ProbeResult{
		Server: balance.ServerID(a.server + 1), Result: a.res, Latency: time.Duration(s.now - a.sent), Report: row,
	}, s.acts[:0]))
}
