package proxysim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cresshub/balance"
	"cresshub/internal/cluster/groupstate"
)

// ListTrialOptions are a model of how a fleet's proxies come by the list of servers: each by a watch of its
// own on discovery, asked anew as the decisions say (package balance), or by the owner's list in the
// replicated store (package chore's Follower), with a watch of the owner's alone.
type ListTrialOptions struct {
	Proxies          int
	Owner            bool
	MaxAge           time.Duration // owner.list_max_age; 0 is 4 s
	Poll             time.Duration // owner.list_poll; 0 is 250 ms
	Lease            time.Duration // owner.lease; 0 is 2 s
	Election         time.Duration // ledger.election; 0 is 1 s
	RegistryInterval time.Duration // discovery.ask_within; 0 is 10 s
	DiscoveryTimeout time.Duration // discovery.silence; 0 is 3 s
	Seed             uint64
}

// ListTrialResult is what a trial of a minute came to.
type ListTrialResult struct {
	Trial        string `json:"trial"`
	Proxies      int    `json:"proxies"`
	Owner        bool   `json:"owner"`
	Calls        int    `json:"calls"`   // on discovery, in the minute
	Peak         int    `json:"peak"`    // in the worst second
	SelfFetching int    `json:"alone"`   // proxies that asked by themselves at some time, the owner left out
	Watches      int    `json:"watches"` // that stand in the end
	WithoutList  int    `json:"old"`     // proxies without a list in the end
}

// ListTrialNames are what may happen in a minute.
var ListTrialNames = []string{"quiet", "start", "rolling", "outage", "owner", "group"}

const (
	listPoll uint8 = iota
	listWatch
	listPublish  // the owner says how the list is
	listElection // somebody becomes the owner
	listFault    // stage in a
)

type listProxy struct {
	agent           *balance.Balancer
	follower        *groupstate.Follower
	incarnation     int32
	selfFetching    bool // asks by itself
	watching        bool
	listed          bool
	everSelfFetched bool
}

type listTrial struct {
	Kernel
	opts       ListTrialOptions
	rng        *rand.Rand
	proxies    []listProxy
	owner      int    // -1 while there is none
	term       uint64 // of the owner: the ticks of the ones before end
	version    uint64
	down       bool // discovery answers nothing
	leaderless bool // the group has no leader
	lastSeen   int64
	calls      []int64
	actions    []balance.Action
}

// RunListTrial plays one trial.
func RunListTrial(trial string, o ListTrialOptions) (ListTrialResult, error) {
	r := ListTrialResult{Trial: trial, Proxies: o.Proxies, Owner: o.Owner}
	if !slices.Contains(ListTrialNames, trial) {
		return r, fmt.Errorf("%q is none of %v", trial, ListTrialNames)
	}
	if o.Proxies < 3 {
		return r, fmt.Errorf("%d proxies; at least 3 are wanted", o.Proxies)
	}
	for d, is := range map[*time.Duration]time.Duration{&o.MaxAge: 4 * time.Second,
		&o.Poll: 250 * time.Millisecond, &o.Lease: 2 * time.Second, &o.Election: time.Second,
		&o.RegistryInterval: 10 * time.Second, &o.DiscoveryTimeout: 3 * time.Second} {
		if *d == 0 {
			*d = is
		}
	}
	s := &listTrial{opts: o, owner: -1, rng: rand.New(rand.NewPCG(o.Seed, 1)),
		proxies: make([]listProxy, o.Proxies)}
	for i := range s.proxies {
		s.start(i)
		s.add(s.randomWithin(o.Poll), listPoll, int32(i), 0, 0)
	}
	s.elect(o.Election + o.Election/2)
	from := int64(0)
	if trial != "start" { // from a settled fleet
		from = int64(30 * time.Second)
		s.run(from, "")
		s.calls = nil
		for i := range s.proxies {
			s.proxies[i].everSelfFetched = false
		}
	}
	at := func(d time.Duration, stage int32) { s.add(from+int64(d), listFault, stage, 0, 0) }
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
		if p.everSelfFetched && i != s.owner {
			r.SelfFetching++
		}
		if !p.listed {
			r.WithoutList++
		}
	}
	return r, nil
}

func (s *listTrial) randomWithin(d time.Duration) int64 { return s.rng.Int64N(int64(d)) }
func (s *listTrial) clock() time.Duration               { return time.Duration(s.now) }

// start starts a proxy's process with no list.
func (s *listTrial) start(i int) {
	p := &s.proxies[i]
	agent, err := balance.New(balance.Settings{Seed: s.rng.Uint64(), Rank: i, Peers: s.opts.Proxies,
		MustFollow: true, RegistryInterval: s.opts.RegistryInterval, Tick: time.Millisecond, MaxAttempts: 1,
		Classes: []balance.Class{{LatencyTarget: time.Second, Deadline: 2 * time.Second, Value: 1}}}, s.clock())
	if err != nil {
		panic(err) // the same settings for all, which a test takes
	}
	*p = listProxy{agent: agent, incarnation: p.incarnation + 1, selfFetching: !s.opts.Owner,
		follower: groupstate.NewFollower(s.clock(), s.opts.MaxAge, time.Duration(s.randomWithin(s.opts.MaxAge)))}
	s.apply(i, agent.List(s.clock(), balance.ListCached, nil, s.actions[:0]))
}

// apply carries out what the decisions want: calls, now or later.
func (s *listTrial) apply(i int, acts []balance.Action) {
	for _, a := range acts {
		switch a.Kind {
		case balance.SetTimer:
			s.add(s.now+int64(a.Wait), listWatch, int32(i), s.proxies[i].incarnation, a.Token)
		case balance.FollowList:
			s.watchDiscovery(i)
		}
	}
}

// watchDiscovery is a proxy's call for a watch.
func (s *listTrial) watchDiscovery(i int) {
	p := &s.proxies[i]
	if !p.selfFetching || p.watching {
		return
	}
	s.calls = append(s.calls, s.now)
	p.everSelfFetched = true
	if s.down {
		s.apply(i, p.agent.List(s.clock(), balance.ListFailed, nil, s.actions[:0]))
		return
	}
	p.watching, p.listed = true, true
	p.agent.List(s.clock(), balance.ListDelta, nil, s.actions[:0])
}

// chooseSource says whether a proxy asks by itself.
func (s *listTrial) chooseSource(i int) {
	p := &s.proxies[i]
	selfFetching := !s.opts.Owner || i == s.owner || !p.follower.Fresh(s.clock())
	if selfFetching == p.selfFetching {
		return
	}
	if p.selfFetching = selfFetching; !selfFetching {
		p.watching = false
		return
	}
	s.watchDiscovery(i)
}

// elect has somebody become the owner after a time, if nobody is by then.
func (s *listTrial) elect(after time.Duration) {
	if s.opts.Owner {
		s.add(s.now+int64(after), listElection, 0, 0, 0)
	}
}

func (s *listTrial) run(end int64, trial string) {
	for len(s.heap) > 0 && s.heap[0].at <= end {
		e, _ := s.next()
		i := int(e.a)
		switch e.kind {
		case listPoll:
			if !s.opts.Owner {
				break
			}
			observed := groupstate.EndpointView{Version: s.version}
			if p := &s.proxies[i]; !s.leaderless && p.follower.Observe(s.clock(), observed, 0) {
				p.listed = true
			}
			s.chooseSource(i)
			s.add(s.now+int64(s.opts.Poll), listPoll, e.a, 0, 0)
		case listWatch:
			if p := &s.proxies[i]; p.incarnation == e.b {
				s.apply(i, p.agent.Timer(s.clock(), e.c, s.actions[:0]))
			}
		case listPublish:
			if e.c == s.term {
				s.publish()
			}
		case listElection:
			if s.owner < 0 && !s.leaderless {
				s.term++
				s.owner = s.rng.IntN(min(3, s.opts.Proxies)) // one of those with a replica
				s.proxies[s.owner].watching = false          // its calls carry the token from now on
				s.proxies[s.owner].selfFetching = false
				s.chooseSource(s.owner)
				s.publish()
			}
		case listFault:
			s.playFault(trial, i)
		}
	}
	s.now = max(s.now, end)
}

// publish has the owner say how the list is, a quarter of its time apart, while it hears discovery.
func (s *listTrial) publish() {
	if s.owner < 0 || s.leaderless {
		return
	}
	p := &s.proxies[s.owner]
	if p.watching {
		s.lastSeen = s.now
	}
	if p.listed && s.now-s.lastSeen <= int64(s.opts.DiscoveryTimeout) {
		s.version++
	}
	s.add(s.now+int64(s.opts.MaxAge/4), listPublish, 0, 0, s.term)
}

func (s *listTrial) playFault(trial string, stage int) {
	takeover := s.opts.Lease + s.opts.Lease/8 // the others wait out the lease and the drift of both clocks
	switch trial {
	case "rolling":
		owned := stage == s.owner
		s.start(stage)
		if owned { // it gave the lease back
			s.owner = -1
			s.elect(s.opts.Lease / 40)
		}
	case "outage":
		s.down = stage == 0
		for i := range s.proxies {
			if p := &s.proxies[i]; s.down && p.watching {
				p.watching = false
				s.apply(i, p.agent.List(s.clock(), balance.ListFailed, nil, s.actions[:0]))
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
		if s.leaderless = stage == 0; s.leaderless {
			s.owner = -1
		} else {
			s.elect(s.opts.Election + s.opts.Election/2)
		}
	}
}
