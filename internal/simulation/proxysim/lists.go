package proxysim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cresshub/balance"
	"cresshub/internal/cluster/groupstate"
)

// ListsOptions are a model of how a fleet's proxies come by the list of servers: each by a watch of its own
// on discovery, asked anew as the decisions say (package balance), or by the owner's list in the replicated
// store (package chore's Follower), with a watch of the owner's alone.
type ListsOptions struct {
	Proxies   int
	Owner     bool
	MaxAge    time.Duration // owner.list_max_age; 0 is 4 s
	Poll      time.Duration // owner.list_poll; 0 is 250 ms
	Lease     time.Duration // owner.lease; 0 is 2 s
	Election  time.Duration // ledger.election; 0 is 1 s
	AskWithin time.Duration // discovery.ask_within; 0 is 10 s
	Silence   time.Duration // discovery.silence; 0 is 3 s
	Seed      uint64
}

// ListsResult is what a trial of a minute came to.
type ListsResult struct {
	Trial   string `json:"trial"`
	Proxies int    `json:"proxies"`
	Owner   bool   `json:"owner"`
	Calls   int    `json:"calls"`   // on discovery, in the minute
	Peak    int    `json:"peak"`    // in the worst second
	Alone   int    `json:"alone"`   // proxies that asked by themselves at some time, the owner left out
	Watches int    `json:"watches"` // that stand in the end
	Old     int    `json:"old"`     // proxies without a list in the end
}

// ListsTrials are what may happen in a minute.
var ListsTrials = []string{"quiet", "start", "rolling", "outage", "owner", "group"}

const (
	listsPoll uint8 = iota
	listsFollow
	listsTell    // the owner says how the list is
	listsOwner   // somebody becomes the owner
	listsTrouble // stage in a
)

type listsProxy struct {
	agent    *balance.Balancer
	follower *groupstate.Follower
	life     int32
	own      bool // asks by itself
	watching bool
	listed   bool
	alone    bool
}

type lists struct {
	Kernel
	o       ListsOptions
	rnd     *rand.Rand
	proxies []listsProxy
	owner   int    // -1 while there is none
	reign   uint64 // of the owner: the ticks of the ones before end
	version uint64
	down    bool // discovery answers nothing
	stalled bool // the group has no leader
	heard   int64
	calls   []int64
	acts    []balance.Action
}

// ListsTrial plays one trial.
func ListsTrial(trial string, o ListsOptions) (ListsResult, error) {
	r := ListsResult{Trial: trial, Proxies: o.Proxies, Owner: o.Owner}
	if !slices.Contains(ListsTrials, trial) {
		return r, fmt.Errorf("%q is none of %v", trial, ListsTrials)
	}
	if o.Proxies < 3 {
		return r, fmt.Errorf("%d proxies; at least 3 are wanted", o.Proxies)
	}
	for d, is := range map[*time.Duration]time.Duration{&o.MaxAge: 4 * time.Second,
		&o.Poll: 250 * time.Millisecond, &o.Lease: 2 * time.Second, &o.Election: time.Second,
		&o.AskWithin: 10 * time.Second, &o.Silence: 3 * time.Second} {
		if *d == 0 {
			*d = is
		}
	}
	s := &lists{o: o, owner: -1, rnd: rand.New(rand.NewPCG(o.Seed, 1)), proxies: make([]listsProxy, o.Proxies)}
	for i := range s.proxies {
		s.start(i)
		s.add(s.within(o.Poll), listsPoll, int32(i), 0, 0)
	}
	s.elect(o.Election + o.Election/2)
	from := int64(0)
	if trial != "start" { // from a settled fleet
		from = int64(30 * time.Second)
		s.run(from, "")
		s.calls = nil
		for i := range s.proxies {
			s.proxies[i].alone = false
		}
	}
	at := func(d time.Duration, stage int32) { s.add(from+int64(d), listsTrouble, stage, 0, 0) }
	switch trial {
	case "rolling":
		for i := range s.proxies {
			at(time.Duration(i)*(50*time.Second)/time.Duration(o.Proxies), int32(i))
		}
	case "outage", "group":
		at(10*time.Second, 0)
		at(18*time.Second, 1)
	case "owner":
		at(10*time.Second, 0)
	}
	end := from + int64(time.Minute)
	s.run(end, trial)
	r.Calls = len(s.calls)
	for i, j := 0, 0; i < len(s.calls); i++ {
		for s.calls[i]-s.calls[j] > int64(time.Second) {
			j++
		}
		r.Peak = max(r.Peak, i-j+1)
	}
	for i := range s.proxies {
		p := &s.proxies[i]
		if p.watching {
			r.Watches++
		}
		if p.alone && i != s.owner {
			r.Alone++
		}
		if !p.listed {
			r.Old++
		}
	}
	return r, nil
}

func (s *lists) within(d time.Duration) int64 { return s.rnd.Int64N(int64(d)) }
func (s *lists) clock() time.Duration         { return time.Duration(s.now) }

// start starts a proxy's process with no list.
func (s *lists) start(i int) {
	p := &s.proxies[i]
	agent, err := balance.New(balance.Settings{Seed: s.rnd.Uint64(), Rank: i, Peers: s.o.Proxies,
		MustFollow: true, RegistryInterval: s.o.AskWithin, Tick: time.Millisecond, MaxAttempts: 1,
		Classes: []balance.Class{{LatencyTarget: time.Second, Deadline: 2 * time.Second, Value: 1}}}, s.clock())
	if err != nil {
		panic(err) // the same settings for all, which a test takes
	}
	*p = listsProxy{agent: agent, life: p.life + 1, own: !s.o.Owner,
		follower: groupstate.NewFollower(s.clock(), s.o.MaxAge, time.Duration(s.within(s.o.MaxAge)))}
	s.do(i, agent.List(s.clock(), balance.ListCached, nil, s.acts[:0]))
}

// do carries out what the decisions want: calls, now or later.
func (s *lists) do(i int, acts []balance.Action) {
	for _, a := range acts {
		switch a.Kind {
		case balance.SetTimer:
			s.add(s.now+int64(a.Wait), listsFollow, int32(i), s.proxies[i].life, a.Token)
		case balance.FollowList:
			s.call(i)
		}
	}
}

// call is a proxy's call for a watch.
func (s *lists) call(i int) {
	p := &s.proxies[i]
	if !p.own || p.watching {
		return
	}
	s.calls = append(s.calls, s.now)
	p.alone = true
	if s.down {
		s.do(i, p.agent.List(s.clock(), balance.ListFailed, nil, s.acts[:0]))
		return
	}
	p.watching, p.listed = true, true
	p.agent.List(s.clock(), balance.ListDelta, nil, s.acts[:0])
}

// feed says whether a proxy asks by itself.
func (s *lists) feed(i int) {
	p := &s.proxies[i]
	own := !s.o.Owner || i == s.owner || !p.follower.Fresh(s.clock())
	if own == p.own {
		return
	}
	if p.own = own; !own {
		p.watching = false
		return
	}
	s.call(i)
}

// elect has somebody become the owner after a time, if nobody is by then.
func (s *lists) elect(after time.Duration) {
	if s.o.Owner {
		s.add(s.now+int64(after), listsOwner, 0, 0, 0)
	}
}

func (s *lists) run(end int64, trial string) {
	for len(s.heap) > 0 && s.heap[0].at <= end {
		e, _ := s.next()
		i := int(e.a)
		switch e.kind {
		case listsPoll:
			if !s.o.Owner {
				break
			}
			told := groupstate.EndpointView{Version: s.version}
			if p := &s.proxies[i]; !s.stalled && p.follower.Observe(s.clock(), told, 0) {
				p.listed = true
			}
			s.feed(i)
			s.add(s.now+int64(s.o.Poll), listsPoll, e.a, 0, 0)
		case listsFollow:
			if p := &s.proxies[i]; p.life == e.b {
				s.do(i, p.agent.Timer(s.clock(), e.c, s.acts[:0]))
			}
		case listsTell:
			if e.c == s.reign {
				s.tell()
			}
		case listsOwner:
			if s.owner < 0 && !s.stalled {
				s.reign++
				s.owner = s.rnd.IntN(min(3, s.o.Proxies)) // one of those with a replica
				s.proxies[s.owner].watching = false       // its calls carry the token from now on
				s.proxies[s.owner].own = false
				s.feed(s.owner)
				s.tell()
			}
		case listsTrouble:
			s.trouble(trial, i)
		}
	}
	s.now = max(s.now, end)
}

// tell has the owner say how the list is, a quarter of its time apart, while it hears discovery.
func (s *lists) tell() {
	if s.owner < 0 || s.stalled {
		return
	}
	p := &s.proxies[s.owner]
	if p.watching {
		s.heard = s.now
	}
	if p.listed && s.now-s.heard <= int64(s.o.Silence) {
		s.version++
	}
	s.add(s.now+int64(s.o.MaxAge/4), listsTell, 0, 0, s.reign)
}

func (s *lists) trouble(trial string, stage int) {
	takeover := s.o.Lease + s.o.Lease/8 // the others wait out the lease and the drift of both clocks
	switch trial {
	case "rolling":
		owned := stage == s.owner
		s.start(stage)
		if owned { // it gave the lease back
			s.owner = -1
			s.elect(s.o.Lease / 40)
		}
	case "outage":
		s.down = stage == 0
		for i := range s.proxies {
			if p := &s.proxies[i]; s.down && p.watching {
				p.watching = false
				s.do(i, p.agent.List(s.clock(), balance.ListFailed, nil, s.acts[:0]))
			}
		}
	case "owner":
		if s.owner >= 0 {
			old := s.owner
			s.owner = -1
			s.start(old)
		}
		s.elect(takeover)
	case "group":
		if s.stalled = stage == 0; s.stalled {
			s.owner = -1
		} else {
			s.elect(s.o.Election + s.o.Election/2)
		}
	}
}
