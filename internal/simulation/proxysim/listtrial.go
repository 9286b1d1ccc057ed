package proxysim

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cresshub/balance"
	"cresshub/internal/cluster/groupstate"
)

// ListTrialOptions are the parameters of a model of how a fleet's proxies learn the list of servers: each by
// a watch of its own on discovery, renewed as the decisions say (package balance), or by the list that the
// owner of the role publishes in the replicated store (groupstate.Follower), where only the owner watches.
type ListTrialOptions struct {
	Proxies          int           // at least 3
	Owner            bool          // there is an owner
	MaxAge           time.Duration // owner.list_max_age; 0 is 4 s
	Poll             time.Duration // owner.list_poll; 0 is 250 ms
	Lease            time.Duration // owner.lease; 0 is 2 s
	Election         time.Duration // ledger.election; 0 is 1 s
	RegistryInterval time.Duration // discovery.ask_within; 0 is 10 s
	DiscoveryTimeout time.Duration // discovery.silence; 0 is 3 s
	Seed             uint64
}

// ListTrialResult is the result of a trial of a minute.
type ListTrialResult struct {
	Trial        string `json:"trial"`
	Proxies      int    `json:"proxies"`
	Owner        bool   `json:"owner"`
	Calls        int    `json:"calls"`   // on discovery, in the minute
	Peak         int    `json:"peak"`    // in the worst second
	SelfFetching int    `json:"alone"`   // proxies that asked discovery at some time, without the owner
	Watches      int    `json:"watches"` // established in the end
	WithoutList  int    `json:"old"`     // proxies without a list in the end
}

// ListTrialNames are the trials that RunListTrial plays.
var ListTrialNames = []string{"quiet", "start", "rolling", "outage", "owner", "group"}

// The kinds of events.
const (
	listPoll     uint8 = iota // a proxy reads the store; a: proxy
	listWatch                 // a timer of a proxy's decisions; a: proxy, b: its incarnation, c: token
	listPublish               // the owner publishes the list; c: term
	listElection              // a member becomes the owner
	listFault                 // a: stage
)

const (
	trialTime   = time.Minute      // what a trial measures
	settleTime  = 30 * time.Second // before it, unless the start is measured
	faultFrom   = 10 * time.Second // of a trial
	faultTo     = 18 * time.Second
	rollingTime = 50 * time.Second // for a restart of all proxies
)

// listProxy is a proxy with the decisions that make its calls.
type listProxy struct {
	agent           *balance.Balancer
	follower        *groupstate.Follower
	incarnation     int32
	selfFetching    bool // may ask discovery
	watching        bool // has a watch on discovery
	listed          bool // has a list
	everSelfFetched bool
}

// listTrial is a trial under way.
type listTrial struct {
	Kernel
	name        string // "" until the measured minute
	opts        ListTrialOptions
	rng         *rand.Rand
	proxies     []listProxy
	owner       int    // -1 while there is none
	term        uint64 // of the owner; events of earlier terms have no effect
	version     uint64 // of the published list
	down        bool   // discovery answers nothing
	leaderless  bool   // the group has no leader
	lastWatchAt int64  // when the owner last had a watch
	calls       []int64
	actions     []balance.Action
}

// withDefaults sets the durations that are 0.
func (o ListTrialOptions) withDefaults() ListTrialOptions {
	o.MaxAge = cmp.Or(o.MaxAge, 4*time.Second)
	o.Poll = cmp.Or(o.Poll, 250*time.Millisecond)
	o.Lease = cmp.Or(o.Lease, 2*time.Second)
	o.Election = cmp.Or(o.Election, time.Second)
	o.RegistryInterval = cmp.Or(o.RegistryInterval, 10*time.Second)
	o.DiscoveryTimeout = cmp.Or(o.DiscoveryTimeout, 3*time.Second)
	return o
}

// RunListTrial plays a trial, one of ListTrialNames, for a minute of virtual time.
func RunListTrial(trial string, o ListTrialOptions) (ListTrialResult, error) {
	r := ListTrialResult{Trial: trial, Proxies: o.Proxies, Owner: o.Owner}
	if !slices.Contains(ListTrialNames, trial) {
		return r, fmt.Errorf("%q is none of %v", trial, ListTrialNames)
	}
	if o.Proxies < 3 {
		return r, fmt.Errorf("%d proxies; at least 3 are wanted", o.Proxies)
	}
	s := newListTrial(o.withDefaults())
	from := int64(0)
	if trial != "start" { // from a stable fleet
		from = int64(settleTime)
		s.run(from)
		s.calls = nil
		for i := range s.proxies {
			s.proxies[i].everSelfFetched = false
		}
	}
	s.name = trial
	s.scheduleFaults(from)
	s.run(from + int64(trialTime))
	s.measure(&r)
	return r, nil
}

// newListTrial starts all proxies.
func newListTrial(o ListTrialOptions) *listTrial {
	s := &listTrial{opts: o, owner: -1, rng: rand.New(rand.NewPCG(o.Seed, 1)),
		proxies: make([]listProxy, o.Proxies)}
	for i := range s.proxies {
		s.start(i)
		s.add(s.randomWithin(o.Poll), listPoll, int32(i), 0, 0)
	}
	s.elect(o.Election + o.Election/2)
	return s
}

// scheduleFaults queues the faults of the trial, which is measured from a time on.
func (s *listTrial) scheduleFaults(from int64) {
	at := func(d time.Duration, stage int32) { s.add(from+int64(d), listFault, stage, 0, 0) }
	switch s.name {
	case "rolling":
		for i := range s.proxies {
			at(time.Duration(i)*rollingTime/time.Duration(s.opts.Proxies), int32(i))
		}
	case "outage", "group":
		at(faultFrom, 0)
		at(faultTo, 1)
	case "owner":
		at(faultFrom, 0)
	}
}

// measure fills in the result of the measured minute.
func (s *listTrial) measure(r *ListTrialResult) {
	r.Calls = len(s.calls)
	for i, j := 0, 0; i < len(s.calls); i++ {
		for s.calls[i]-s.calls[j] > int64(time.Second) {
			j++
		}
		r.Peak = max(r.Peak, i-j+1)
	}
	for i := range s.proxies {
		proxy := &s.proxies[i]
		if proxy.watching {
			r.Watches++
		}
		if proxy.everSelfFetched && i != s.owner {
			r.SelfFetching++
		}
		if !proxy.listed {
			r.WithoutList++
		}
	}
}

// randomWithin draws a time from 0 to d, in ns.
func (s *listTrial) randomWithin(d time.Duration) int64 { return s.rng.Int64N(int64(d)) }

func (s *listTrial) clock() time.Duration { return time.Duration(s.now) }

// start starts a proxy's process, without a list.
func (s *listTrial) start(i int) {
	proxy := &s.proxies[i]
	agent, err := balance.New(balance.Settings{Seed: s.rng.Uint64(), Rank: i, Peers: s.opts.Proxies,
		MustFollow: true, RegistryInterval: s.opts.RegistryInterval, Tick: time.Millisecond, MaxAttempts: 1,
		Classes: []balance.Class{{LatencyTarget: time.Second, Deadline: 2 * time.Second, Value: 1}}}, s.clock())
	if err != nil {
		panic(err) // the settings are constant but for the seed
	}
	*proxy = listProxy{agent: agent, incarnation: proxy.incarnation + 1, selfFetching: !s.opts.Owner,
		follower: groupstate.NewFollower(s.clock(), s.opts.MaxAge, time.Duration(s.randomWithin(s.opts.MaxAge)))}
	s.apply(i, agent.List(s.clock(), balance.ListCached, nil, s.actions[:0]))
}

// apply carries out the actions of a proxy's decisions: calls, now or later.
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

// watchDiscovery is a proxy's call on discovery for a watch.
func (s *listTrial) watchDiscovery(i int) {
	proxy := &s.proxies[i]
	if !proxy.selfFetching || proxy.watching {
		return
	}
	s.calls = append(s.calls, s.now)
	proxy.everSelfFetched = true
	if s.down {
		s.apply(i, proxy.agent.List(s.clock(), balance.ListFailed, nil, s.actions[:0]))
		return
	}
	proxy.watching, proxy.listed = true, true
	proxy.agent.List(s.clock(), balance.ListDelta, nil, s.actions[:0])
}

// chooseSource switches a proxy between discovery and the published list, by whether that is fresh.
func (s *listTrial) chooseSource(i int) {
	proxy := &s.proxies[i]
	selfFetching := !s.opts.Owner || i == s.owner || !proxy.follower.Fresh(s.clock())
	if selfFetching == proxy.selfFetching {
		return
	}
	if proxy.selfFetching = selfFetching; !selfFetching {
		proxy.watching = false
		return
	}
	s.watchDiscovery(i)
}

// elect has a member become the owner after a time, if there is none by then.
func (s *listTrial) elect(after time.Duration) {
	if s.opts.Owner {
		s.add(s.now+int64(after), listElection, 0, 0, 0)
	}
}

// run plays until a virtual time in ns.
func (s *listTrial) run(end int64) {
	for len(s.heap) > 0 && s.heap[0].at <= end {
		e, _ := s.next()
		s.handle(e)
	}
	s.now = max(s.now, end)
}

// handle handles one event.
func (s *listTrial) handle(e event) {
	switch e.kind {
	case listPoll:
		if s.opts.Owner {
			s.poll(int(e.a))
			s.add(s.now+int64(s.opts.Poll), listPoll, e.a, 0, 0)
		}
	case listWatch:
		if proxy := &s.proxies[e.a]; proxy.incarnation == e.b {
			s.apply(int(e.a), proxy.agent.Timer(s.clock(), e.c, s.actions[:0]))
		}
	case listPublish:
		if e.c == s.term {
			s.publish()
		}
	case listElection:
		if s.owner < 0 && !s.leaderless {
			s.becomeOwner(s.rng.IntN(min(3, s.opts.Proxies))) // one of those with a replica
		}
	case listFault:
		s.playFault(int(e.a))
	}
}

// poll has a proxy read the store.
func (s *listTrial) poll(i int) {
	proxy := &s.proxies[i]
	published := groupstate.EndpointView{Version: s.version}
	if !s.leaderless && proxy.follower.Observe(s.clock(), published, 0) {
		proxy.listed = true
	}
	s.chooseSource(i)
}

// becomeOwner begins a term of a proxy as the owner.
func (s *listTrial) becomeOwner(i int) {
	s.term++
	s.owner = i
	s.proxies[i].watching = false // its calls carry the fencing token from now on
	s.proxies[i].selfFetching = false
	s.chooseSource(i)
	s.publish()
}

// publish has the owner publish the list, at a quarter of its maximum age, while it has a watch.
func (s *listTrial) publish() {
	if s.owner < 0 || s.leaderless {
		return
	}
	proxy := &s.proxies[s.owner]
	if proxy.watching {
		s.lastWatchAt = s.now
	}
	if proxy.listed && s.now-s.lastWatchAt <= int64(s.opts.DiscoveryTimeout) {
		s.version++
	}
	s.add(s.now+int64(s.opts.MaxAge/4), listPublish, 0, 0, s.term)
}

// playFault handles a fault of the trial.
func (s *listTrial) playFault(stage int) {
	takeover := s.opts.Lease + s.opts.Lease/8 // others wait for the lease and the drift of both clocks
	switch s.name {
	case "rolling":
		owned := stage == s.owner
		s.start(stage)
		if owned { // it released the lease
			s.owner = -1
			s.elect(s.opts.Lease / 40)
		}
	case "outage":
		s.down = stage == 0
		for i := range s.proxies {
			if proxy := &s.proxies[i]; s.down && proxy.watching {
				proxy.watching = false
				s.apply(i, proxy.agent.List(s.clock(), balance.ListFailed, nil, s.actions[:0]))
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
