package proxysim

import "time"

// Scenario is the input of a simulation. Its tags are the schema of scenario files (package settingsfile):
// key is what a file calls a field, default what the field is without the key (one without a default must be
// set), and min, max, enum and form bound what the key may be. Keys stay as existing files have them, where
// fields have clearer names.
//
// The first paragraph of the comment on a field describes the key to the authors of scenario files; further
// ones are for readers of the code. It begins with the key and ends in a period. Package experiment reads the
// files and has the descriptions in its descriptions.go, which a test there writes and checks.
//
// A scenario that is built in code is taken as it is, without defaults or bounds. Work is the time that a
// request takes on a core of speed 1.
type Scenario struct {
	// name: what it is called in results.
	Name string `key:"name" default:"scenario"`
	// duration: arrivals last for so long.
	Duration time.Duration `key:"duration" default:"60s" min:"1ms" max:"10000h"`
	// warm_up: what arrives before this is not counted.
	WarmUp time.Duration `key:"warm_up" default:"1s" min:"0s" max:"10000h"`
	// warm_up_requests: the first so many are not counted either.
	WarmUpRequests int `key:"warm_up_requests" default:"0" min:"0" max:"1000000000"`
	// requests: arrivals end after so many; 0 is no such end.
	Requests int `key:"requests" default:"0" min:"0" max:"1000000000"`
	// most_held: most requests held at once; beyond it the day ends and says so.
	MaxInFlight int `key:"most_held" default:"2000000" min:"10" max:"100000000"`
	// halls: halls, in the order that numbers them.
	Halls []string `key:"halls" default:"hall"`

	Servers   Servers   `key:"servers"`
	Load      Load      `key:"load"`
	Proxies   Proxies   `key:"proxies"`
	Clients   Clients   `key:"clients"`
	Network   Network   `key:"network"`
	Reports   Reports   `key:"reports"`
	Discovery Discovery `key:"discovery"`
	Rules     Rules     `key:"rules"`
	Prices    Prices    `key:"prices"`
	Kinds     []Kind    `key:"kind"`
	Classes   []Class   `key:"class"`
	Tenants   []Tenant  `key:"tenant"`
	Faults    []Fault   `key:"trouble"`
}

// Servers are what all zone servers have in common.
type Servers struct {
	// count: how many there are.
	Count int `key:"count" default:"10" min:"1" max:"100000"`
	// cores: cores of each, where no [[kind]] says otherwise.
	Cores int `key:"cores" default:"1" min:"1" max:"1024"`
	// waiting: places to wait in; what finds them full is turned away unseen; 0 is no bound.
	QueueLimit int `key:"waiting" default:"0" min:"0" max:"100000000"`
	// connections: connections open at once; 0 is no bound.
	MaxConns int `key:"connections" default:"0" min:"0" max:"100000000"`
	// handshake: work that a new connection costs.
	HandshakeWork time.Duration `key:"handshake" default:"0s" min:"0s" max:"1m"`
	// drops_waiting: waiting work of a request that was given up is dropped.
	DropsAbandoned bool `key:"drops_waiting" default:"false"`

	// crowded: more than this many waiting a core, for choke_after, and it chokes; 0 never.
	ChokeQueue float64 `key:"crowded" default:"0" min:"0" max:"1000000"`
	// choke_after: crowded for so long.
	ChokeAfter time.Duration `key:"choke_after" default:"2s" min:"0s" max:"1h"`
	// choke_slower: a choked server is so many times slower.
	ChokeFactor float64 `key:"choke_slower" default:"2.8" min:"1" max:"1000"`
	// choke_idle: until it was mostly idle for so long.
	//
	// It recovers once at least half of its cores have been idle for this long.
	ChokeIdle time.Duration `key:"choke_idle" default:"3.7s" min:"0s" max:"1h"`
	// choke_for: or for so long in all.
	MaxChoke time.Duration `key:"choke_for" default:"25s" min:"0s" max:"1h"`

	// cold_start: part of its capacity that a server starts with; 1 is warm at once.
	SlowStartMin float64 `key:"cold_start" default:"1" min:"0.001" max:"1"`
	// cold_for: warm after this.
	//
	// The capacity rises linearly until then.
	SlowStartWindow time.Duration `key:"cold_for" default:"23s" min:"0s" max:"1h"`

	// warm_keys_for: a key met within this time is warm; 0 is no memory.
	WarmKeyTTL time.Duration `key:"warm_keys_for" default:"0s" min:"0s" max:"1h"`
	// warm_part: part of the work that a warm key needs.
	WarmKeyWork float64 `key:"warm_part" default:"0.5" min:"0.001" max:"1"`
	// warm_most: keys that a server remembers.
	MaxWarmKeys int `key:"warm_most" default:"64" min:"1" max:"100000000"`
}

// Kind is a hardware kind of servers. The speed of each server is drawn uniformly from MinSpeed to MaxSpeed,
// the same for every policy.
type Kind struct {
	// name: its name.
	Name string `key:"name" form:"name"`
	// share: part of the servers.
	Fraction float64 `key:"share" min:"0" max:"1"`
	// cores: cores.
	Cores int `key:"cores" default:"2" min:"1" max:"1024"`
	// slowest: least speed of a core; 1 is the yardstick.
	MinSpeed float64 `key:"slowest" default:"1" min:"0.0001" max:"10000"`
	// fastest: highest speed of a core.
	MaxSpeed float64 `key:"fastest" default:"1" min:"0.0001" max:"10000"`
}

// Load is the arrival process.
type Load struct {
	// utilisation: part of what all servers can do, keys cold; used where rate is 0.
	Utilisation float64 `key:"utilisation" default:"0.7" min:"0" max:"100"`
	// rate: requests a second.
	//
	// 0 has Utilisation determine it.
	Rate float64 `key:"rate" default:"0" min:"0" max:"100000000"`
	// arrivals: how arrivals come: each by itself, or in bursts of a proxy.
	//
	// The requests of a burst all arrive at one proxy.
	Arrivals string `key:"arrivals" default:"poisson" enum:"poisson|bursty"`
	// burst: requests in a burst.
	Burst float64 `key:"burst" default:"10" min:"1" max:"1000000"`
	// burst_gap: mean gap in a burst, in mean service times; 0: a proxy's own over the burst.
	//
	// With 0 it is the proxy's mean time between requests over Burst.
	BurstGap float64 `key:"burst_gap" default:"0" min:"0" max:"1000000"`
	// work: how the work of a class varies about its mean.
	WorkDistribution string `key:"work" default:"exponential" enum:"exponential|fixed|uniform|pareto"`
	// spread: for uniform: from 1-spread to 1+spread times the mean.
	WorkSpread float64 `key:"spread" default:"0.3" min:"0" max:"1"`
	// keys: distinct keys; 0 is none.
	Keys int `key:"keys" default:"0" min:"0" max:"100000000"`
	// key_skew: exponent of their popularity.
	//
	// The distribution is Zipf's.
	KeySkew float64 `key:"key_skew" default:"1.1" min:"1.01" max:"10"`
}

// Proxies are the instances of the client proxy.
type Proxies struct {
	// count: how many there are.
	Count int `key:"count" default:"1" min:"1" max:"100000"`
	// skew: 0: all carry alike; 1: the n-th carries 1/n of the first.
	//
	// The n-th proxy, from 1, has the weight n^-Skew.
	Skew float64 `key:"skew" default:"0" min:"0" max:"10"`
}

// Clients is the behavior of callers.
type Clients struct {
	// tries: tries of a request in all.
	MaxAttempts int `key:"tries" default:"1" min:"1" max:"100"`
	// give_up: a try is given up after this part of the class's deadline.
	TimeoutFraction float64 `key:"give_up" default:"1" min:"0.01" max:"1"`
	// wait: wait before another try.
	Backoff time.Duration `key:"wait" default:"0s" min:"0s" max:"1h"`
	// honour: part of the clients that wait as Retry-After says.
	HonorRetryAfter float64 `key:"honour" default:"0" min:"0" max:"1"`
}

// Network is the latency between halls, and the timeouts of connections.
type Network struct {
	// within: one way within a hall.
	WithinHall time.Duration `key:"within" default:"0s" min:"0s" max:"1m"`
	// across: one way across halls.
	AcrossHalls time.Duration `key:"across" default:"0s" min:"0s" max:"1m"`
	// jitter: varies by up to this part.
	Jitter float64 `key:"jitter" default:"0" min:"0" max:"1"`
	// dial: a connection that does not stand by then is given up.
	DialTimeout time.Duration `key:"dial" default:"250ms" min:"0s" max:"1m"`
	// idle_close: an idle connection closes after this.
	IdleTimeout time.Duration `key:"idle_close" default:"5s" min:"1ms" max:"1h"`
}

// The models of how loads become known (Reports.Model). All but the first are models of stale load of
// Dahlin's paper.
const (
	reportsProbe      = "probe"      // proxies probe servers, which measure their loads now and then
	reportsFresh      = "fresh"      // the load is known as it is
	reportsPeriodic   = "periodic"   // a board has all loads, and is refreshed every Delay
	reportsContinuous = "continuous" // the load is known as it was a Delay ago
	reportsOnAccess   = "on-access"  // a proxy knows the loads as they were at its request before
)

// The distributions of Reports.DelaySpread and Load.WorkDistribution.
const (
	distributionFixed       = "fixed"
	distributionUniform     = "uniform"
	distributionExponential = "exponential"
	distributionPareto      = "pareto"
)

// arrivalsBursty is the value of Load.Arrivals for bursts.
const arrivalsBursty = "bursty"

// Reports are how the servers' loads become known to the proxies.
type Reports struct {
	// model: probe: as asked for; the others are those of the literature.
	//
	// The others are the models of stale load of Dahlin's paper.
	Model string `key:"model" default:"probe" enum:"probe|fresh|periodic|continuous|on-access"`
	// delay: age in mean service times; on-access: of a proxy's view, sets their count.
	//
	// The model on-access has this as the mean time between requests of a proxy, which determines the number
	// of proxies.
	Delay float64 `key:"delay" default:"1" min:"0" max:"1000000"`
	// spread: for continuous: how the delay varies.
	DelaySpread string `key:"spread" default:"fixed" enum:"fixed|uniform|exponential"`
	// refresh: for probe: a server's figures are made anew so often.
	Refresh time.Duration `key:"refresh" default:"100ms" min:"0s" max:"1h"`
	// noise: for probe: they are wrong by up to this part.
	Noise float64 `key:"noise" default:"0" min:"0" max:"1"`
	// cost: for probe: work that one costs the server.
	ProbeWork time.Duration `key:"cost" default:"0s" min:"0s" max:"1m"`
}

// Discovery is the service that lists servers.
type Discovery struct {
	// delay: a change is told after this.
	Delay time.Duration `key:"delay" default:"0s" min:"0s" max:"1h"`
	// service: time that a call takes, one after the other.
	ServiceTime time.Duration `key:"service" default:"0s" min:"0s" max:"1m"`
	// longest_wait: a call that would wait longer fails; 0 never.
	MaxWait time.Duration `key:"longest_wait" default:"0s" min:"0s" max:"1h"`
	// ask_within: proxies must ask or watch at least so often.
	RegistryInterval time.Duration `key:"ask_within" default:"10s" min:"0s" max:"1h"`
}

// Rules are the parameters of the checked rules.
type Rules struct {
	// slack: how long after its client's deadline an answer counts.
	AnswerGrace time.Duration `key:"slack" default:"20ms" min:"0s" max:"1m"`
	// grace: nothing goes to a draining or gone server later than this after it was told.
	DrainGrace time.Duration `key:"grace" default:"1500ms" min:"0s" max:"1h"`
	// fall_multiple: a cold server sent more than this multiple of its capacity falls over; 0 never.
	CollapseFactor float64 `key:"fall_multiple" default:"0" min:"0" max:"1000000"`
	// fall_after: sent so for this long.
	CollapseAfter time.Duration `key:"fall_after" default:"1500ms" min:"1ms" max:"1h"`
	// attempts: attempts for a request.
	MaxAttempts int `key:"attempts" default:"3" min:"1" max:"100"`
}

// Prices are the deductions from the service, as the task states them. Each is that of the case named here,
// and in proportion for less or more.
type Prices struct {
	// cross_hall: each request crossing halls once.
	CrossHall float64 `key:"cross_hall" default:"0" min:"0" max:"1"`
	// handshake: a new connection for each request.
	Handshake float64 `key:"handshake" default:"0" min:"0" max:"1"`
	// probe: one probe a request.
	Probe float64 `key:"probe" default:"0" min:"0" max:"1"`
	// waste: as much work wasted as was asked for.
	Waste float64 `key:"waste" default:"0" min:"0" max:"1"`
	// late_fail: all failing only after the wanted time.
	LateFail float64 `key:"late_fail" default:"0" min:"0" max:"1"`
	// choke: all servers choking.
	Choke float64 `key:"choke" default:"0" min:"0" max:"1"`
	// over_share: worth of a request beyond its tenant's share.
	OverQuotaValue float64 `key:"over_share" default:"0.1" min:"0" max:"1"`
}

// Class is a request class.
type Class struct {
	// name: its name.
	Name string `key:"name" form:"name"`
	// share: part of the requests.
	Fraction float64 `key:"share" default:"1" min:"0" max:"1"`
	// work: mean work, on a core of speed 1.
	Work time.Duration `key:"work" min:"1us" max:"1h"`
	// aim: wanted within; 0 is no aim.
	LatencyTarget time.Duration `key:"aim" default:"0s" min:"0s" max:"10000h"`
	// deadline: given up after; 0 never.
	Deadline time.Duration `key:"deadline" default:"0s" min:"0s" max:"10000h"`
	// worth: worth of one served within its aim.
	Value float64 `key:"worth" default:"1" min:"0" max:"1000000"`
	// never_twice: must not run twice.
	AtMostOnce bool `key:"never_twice" default:"false"`
}

// Tenant is a tenant with its quota.
type Tenant struct {
	// name: its name.
	Name string `key:"name" form:"name"`
	// share: part of the requests.
	Fraction float64 `key:"share" min:"0" max:"1"`
	// quota: requests a second within its share; 0 is no bound.
	Quota float64 `key:"quota" default:"0" min:"0" max:"100000000"`
}

// The types of faults.
const (
	FaultBurst          = "burst"           // more requests arrive
	FaultPauses         = "pauses"          // servers stop for a time, again and again
	FaultHallLoss       = "hall_loss"       // the servers of a hall end or answer nothing
	FaultShrink         = "shrink"          // servers drain and end, one after the other
	FaultDiscoveryStale = "discovery_stale" // discovery tells changes later
	FaultRolling        = "rolling"         // as shrink, and another server starts for each
	FaultCrash          = "crash"           // the first server ends
)

// Fault is an injected fault.
type Fault struct {
	// what: what.
	//
	// It is one of the types of faults.
	Type string `key:"what" enum:"burst|pauses|hall_loss|shrink|discovery_stale|rolling|crash"`
	// at: from then on.
	At time.Duration `key:"at" min:"0s" max:"10000h"`
	// for: for so long.
	Duration time.Duration `key:"for" default:"0s" min:"0s" max:"10000h"`
	// size: burst: times the usual load; pauses, shrink, rolling: part of the servers.
	Size float64 `key:"size" default:"0.3" min:"0" max:"1000"`
	// pause: pauses: how long each is.
	PauseDuration time.Duration `key:"pause" default:"200ms" min:"0s" max:"1h"`
	// every: pauses: a round each so often; shrink, rolling: time to drain.
	Interval time.Duration `key:"every" default:"2s" min:"1ms" max:"1h"`
	// hall: hall_loss: which hall.
	Hall string `key:"hall" default:""`
	// silent: hall_loss: nothing is answered, rather than processes dying.
	Unresponsive bool `key:"silent" default:"false"`
	// proxies: hall_loss: its proxies are lost too.
	Proxies bool `key:"proxies" default:"false"`
	// behind: discovery_stale: further behind by.
	Lag time.Duration `key:"behind" default:"5s" min:"0s" max:"1h"`
}
