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

// The trials of the list.
const (
	listTrialQuiet   = "quiet"   // nothing happens
	listTrialStart   = "start"   // all proxies start
	listTrialRolling = "rolling" // all proxies restart, one after the other
	listTrialOutage  = "outage"  // discovery answers nothing for a time
	listTrialOwner   = "owner"   // the owner ends
	listTrialGroup   = "group"   // the group has no leader for a time
)

// ListTrialNames are the trials that RunListTrial plays.
var ListTrialNames = []string{
	listTrialQuiet, listTrialStart, listTrialRolling, listTrialOutage, listTrialOwner, listTrialGroup,
}

// The kinds of events of a listTrial.
const (
	listPoll     uint8 = iota // a proxy reads the store; target: proxy
	listWatch                 // a timer of decisions; target: proxy, detail: its incarnation, stamp: token
	listPublish               // the owner publishes the list; stamp: term
	listElection              // a member becomes the owner
	listFault                 // target: stage
)

const (
	trialTime   = time.Minute      // what a trial measures
	settleTime  = 30 * time.Second // before it, unless the start is measured
	faultFrom   = 10 * time.Second // of a trial
	faultTo     = 18 * time.Second
	rollingTime = 50 * time.Second // for a restart of all proxies
)

// minListProxies is the smallest fleet of a trial.
const minListProxies = 3

// listReplicas is the number of proxies that have a replica of the store, of which one may become the owner.
const listReplicas = 3

// listTrialStream is the stream of random draws of a trial, as the second word of its generator's seed.
const listTrialStream = 1

// The stages of outage, owner and group.
const (
	listFaultBegins int32 = 0
	listFaultEnds   int32 = 1
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

// electionTime is how long the group takes to elect a leader.
func (o *ListTrialOptions) electionTime() time.Duration { return o.Election + o.Election/2 }

// takeoverTime is how long others wait for the lease of an owner that has ended: the lease, and the drift of
// both clocks.
func (o *ListTrialOptions) takeoverTime() time.Duration { return o.Lease + o.Lease/8 }

// releaseTime is how long others take to notice that an owner has released its lease.
func (o *ListTrialOptions) releaseTime() time.Duration { return o.Lease / 40 }

// publishInterval is how often the owner publishes the list.
func (o *ListTrialOptions) publishInterval() time.Duration { return o.MaxAge / 4 }

// RunListTrial plays a trial, one of ListTrialNames, for a minute of virtual time.
func RunListTrial(trial string, o ListTrialOptions) (ListTrialResult, error) {
	r := ListTrialResult{Trial: trial, Proxies: o.Proxies, Owner: o.Owner}
	if !slices.Contains(ListTrialNames, trial) {
		return r, fmt.Errorf("%q is none of %v", trial, ListTrialNames)
	}
	if o.Proxies < minListProxies {
		return r, fmt.Errorf("%d proxies; at least %d are wanted", o.Proxies, minListProxies)
	}
	s := newListTrial(o.withDefaults())
	from := int64(0)
	if trial != listTrialStart { // from a stable fleet
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
	s := &listTrial{opts: o, owner: -1, rng: rand.New(rand.NewPCG(o.Seed, listTrialStream)),
		proxies: make([]listProxy, o.Proxies)}
	for i := range s.proxies {
		s.start(i)
		s.add(s.randomWithin(o.Poll), event{kind: listPoll, target: int32(i)})
	}
	s.elect(o.electionTime())
	return s
}

// scheduleFaults queues the faults of the trial, which is measured from a time on.
func (s *listTrial) scheduleFaults(from int64) {
	at := func(d time.Duration, stage int32) { s.add(from+int64(d), event{kind: listFault, target: stage}) }
	switch s.name {
	case listTrialRolling:
		for i := range s.proxies {
			at(time.Duration(i)*rollingTime/time.Duration(s.opts.Proxies), int32(i))
		}
	case listTrialOutage, listTrialGroup:
		at(faultFrom, listFaultBegins)
		at(faultTo, listFaultEnds)
	case listTrialOwner:
		at(faultFrom, listFaultBegins)
	}
}

// measure fills in the result of the measured minute.
func (s *listTrial) measure(r *ListTrialResult) {
	r.Calls = len(s.calls)
	first := 0 // of the calls in the second that ends with the last one
	for last, at := range s.calls {
		for at-s.calls[first] > int64(time.Second) {
			first++
		}
		r.Peak = max(r.Peak, last-first+1)
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
	for _, action := range acts {
		switch action.Kind {
		case balance.SetTimer:
			s.add(s.now+int64(action.Wait),
				event{kind: listWatch, target: int32(i), detail: s.proxies[i].incarnation, stamp: action.Token})
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
		s.add(s.now+int64(after), event{kind: listElection})
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
			s.poll(int(e.target))
			s.add(s.now+int64(s.opts.Poll), event{kind: listPoll, target: e.target})
		}
	case listWatch:
		if proxy := &s.proxies[e.target]; proxy.incarnation == e.detail {
			s.apply(int(e.target), proxy.agent.Timer(s.clock(), e.stamp, s.actions[:0]))
		}
	case listPublish:
		if e.stamp == s.term {
			s.publish()
		}
	case listElection:
		if s.owner < 0 && !s.leaderless {
			s.becomeOwner(s.rng.IntN(min(listReplicas, s.opts.Proxies)))
		}
	case listFault:
		s.playFault(e.target)
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

// publish has the owner publish the list while it has a watch, and schedules the next time.
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
	s.add(s.now+int64(s.opts.publishInterval()), event{kind: listPublish, stamp: s.term})
}

// playFault handles a fault of the trial. The stage is the proxy for rolling.
func (s *listTrial) playFault(stage int32) {
	switch s.name {
	case listTrialRolling:
		s.restart(int(stage))
	case listTrialOutage:
		s.setOutage(stage == listFaultBegins)
	case listTrialOwner:
		if s.owner >= 0 {
			old := s.owner
			s.owner = -1
			s.start(old)
		}
		s.elect(s.opts.takeoverTime())
	case listTrialGroup:
		if s.leaderless = stage == listFaultBegins; s.leaderless {
			s.owner = -1
		} else {
			s.elect(s.opts.electionTime())
		}
	}
}

// restart restarts a proxy; the owner releases its lease before it ends.
func (s *listTrial) restart(i int) {
	owned := i == s.owner
	s.start(i)
	if owned {
		s.owner = -1
		s.elect(s.opts.releaseTime())
	}
}

// setOutage begins or ends an outage of discovery, which ends all watches.
func (s *listTrial) setOutage(begins bool) {
	s.down = begins
	for i := range s.proxies {
		if proxy := &s.proxies[i]; begins && proxy.watching {
			proxy.watching = false
			s.apply(i, proxy.agent.List(s.clock(), balance.ListFailed, nil, s.actions[:0]))
		}
	}
}
