package balance

// What a Balancer remembers, and the check of its settings. Every decision is in the policy files.

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Balancer decides for one client process. It is not safe for concurrent use.
type Balancer struct {
	set      Settings
	rng      *rand.Rand
	servers  []*server // listed and up, in the order they were first listed
	byID     map[ServerID]*server
	requests map[string]*request
	bySeq    map[uint64]*request
	seq      uint64

	service  []estimate   // by class
	byKind   [][]estimate // by class and kind of machine
	hinted   []estimate   // expected work told with the requests, by class
	parallel float64      // requests a server works on at once
	rating   float64      // mean rating of the servers listed
	budget   float64      // further attempts allowed now
	delay    float64      // what requests lately met beyond their service time, in seconds
	delayAt  time.Duration
	asking   float64 // how long probes take, in seconds
	strange  *server // the last one that did what its report did not foretell
	doubt    float64 // part of late outcomes that fresh reports did not foretell
	failed   int     // calls to the registry failed in a row

	keys heat
	busy float64 // part of the servers asked lately that were not idle

	rows   []*server // scratch
	shares []share   // scratch
}

// server is one line of the list with what this balancer has seen of it.
type server struct {
	Server
	held, waiting float64       // at the last report
	reported      time.Duration // when it came
	hasReport     bool
	epoch         int // counts reports, to tell which attempts the last one cannot have seen
	since         int // own attempts out that were sent after the last report
	out           int // own attempts out

	failures  int           // in a row
	ejections int           // in a row without a success between
	ejected   time.Duration // no traffic until then
	suspect   bool          // ejected before, and no success since
	cut       bool          // it could not be reached when last tried
	classes   []health      // by class

	probing bool
	asked   time.Duration // when its probe set off
	waiters []*request    // requests held until its probe returns
}

// health is what a server does with one class.
type health struct {
	out       int           // own attempts out
	since     time.Duration // nothing was served since then, while some were out
	failures  int           // in a row
	ejections int           // in a row without a success between
	ejected   time.Duration // none of this class until then
}

type attempt struct {
	to     *server
	sent   time.Duration
	epoch  int
	level  float64 // requests met there, as far as known
	fresh  bool    // a report of that moment told the level
	calm   bool    // and that nothing waited
	ended  bool
	mayRun bool // it may have run, as far as is known

	uploading bool // its request is not whole yet, and not counted in its class's health
}

type request struct {
	Request
	seq      uint64
	came     time.Duration
	attempts []attempt
	out      int // attempts without an outcome
	sample   []*server
	home     *server // where its key is likeliest warm
	pending  int     // probes it waits for
	probed   bool
	blind    bool    // sent without asking
	holds    int     // times it was held for lack of servers
	luck     float64 // from 0 to 1; the less, the sooner it is refused
	heat     float64 // part of all requests that its key has
	cell     int     // where its key is likeliest warm
	boost    float64 // how much that cell is preferred, 0 where it is not
	over     bool
	spent    bool // not held any more, so no other attempt can be made
}

type share struct {
	s      *server
	weight float64 // capacity now, relative
	level  float64 // load a request meets there, by weight
	cap    float64 // most it may be given
	p      float64
	fixed  bool
	index  int // of the row before it was sorted, where Fill asks
}

func check(s *Settings) error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("settings: Classes is empty")
	}
	for i, c := range s.Classes {
		if c.Aim <= 0 || c.Deadline <= 0 || c.Window < 0 {
			return fmt.Errorf("settings: Classes[%d]: Aim and Deadline must be above 0, Window not below", i)
		}
		if !(c.Worth >= 0) || math.IsInf(c.Worth, 0) || !(c.LateWorth >= 0 && c.LateWorth <= 1) ||
			!(c.AimStretch >= 0) || math.IsInf(c.AimStretch, 0) {
			return fmt.Errorf("settings: Classes[%d]: Worth, LateWorth or AimStretch out of range", i)
		}
	}
	for name, d := range map[string]time.Duration{"Tick": s.Tick, "AskWithin": s.AskWithin,
		"DrainGrace": s.DrainGrace, "AnswerSlack": s.AnswerSlack, "ColdFor": s.ColdFor,
		"FallAfter": s.FallAfter, "MaxBackoff": s.MaxBackoff, "DialTimeout": s.DialTimeout} {
		if d < 0 {
			return fmt.Errorf("settings: %s is negative", name)
		}
	}
	if !(s.ColdStart >= 0 && s.ColdStart <= 1) {
		return fmt.Errorf("settings: ColdStart is not from 0 to 1")
	}
	if !(s.FallMultiple >= 0) || math.IsInf(s.FallMultiple, 0) {
		return fmt.Errorf("settings: FallMultiple is not a number from 0 on")
	}
	return nil
}

// mix scatters the bits of a key and a server.
func mix(x uint64) uint64 {
	x = (x ^ x>>31) * 0x7fb5d329728ea185
	x = (x ^ x>>27) * 0x81dadef4bc2dd44d
	return x ^ x>>33
}

// tried tells whether an attempt went to s.
func (r *request) tried(s *server) bool {
	for i := range r.attempts {
		if r.attempts[i].to == s {
			return true
		}
	}
	return false
}

func (b *Balancer) drop(id ServerID) {
	if s := b.byID[id]; s != nil {
		delete(b.byID, id)
		b.servers = slices.DeleteFunc(b.servers, func(o *server) bool { return o == s })
	}
}

func (b *Balancer) forget(r *request) {
	r.over = true
	delete(b.bySeq, r.seq)
	if r.out == 0 {
		delete(b.requests, r.ID)
	}
}

const (
	timerHold = iota
	timerFollow
	timerCopy
)

func (b *Balancer) timer(wait time.Duration, kind int, seq uint64) Action {
	return Action{Kind: SetTimer, Wait: max(wait, b.set.Tick), Token: seq<<2 | uint64(kind)}
}

// jitter spreads a wait over half to one and a half of it.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + b.rng.Float64()) * float64(d))
}

// unlucky draws once for a request and tells, each time it is asked, whether it is among such a part.
func (r *request) unlucky(rng *rand.Rand, part float64) bool {
	if r.luck == 0 {
		r.luck = 1 - rng.Float64()
	}
	return r.luck < part
}
