package proxysim

import "time"

// Scenario is the input of a simulation. Its tags are the schema of scenario files (package settingsfile):
// key is what a file calls a field, default what the field is without the key (one without a default must be
// set), and min, max, enum and form bound what the key may be. Keys stay as existing files have them, where
// fields have clearer names; package experiment reads the files and describes the keys to their authors.
//
// A scenario that is built in code is taken as it is, without defaults or bounds. Work is the time that a
// request takes on a core of speed 1.
type Scenario struct {
	// Name is what the scenario is called in results.
	Name string `key:"name" default:"scenario"`
	// Duration is how long requests arrive.
	Duration time.Duration `key:"duration" default:"60s" min:"1ms" max:"10000h"`
	// WarmUp is how long arrivals are not counted at first.
	WarmUp time.Duration `key:"warm_up" default:"1s" min:"0s" max:"10000h"`
	// WarmUpRequests is how many of the first requests are not counted either.
	WarmUpRequests int `key:"warm_up_requests" default:"0" min:"0" max:"1000000000"`
	// Requests is the number of requests after which arrivals end before Duration; 0 for no limit.
	Requests int `key:"requests" default:"0" min:"0" max:"1000000000"`
	// MaxInFlight is the number of requests in flight beyond which the run ends with a warning.
	MaxInFlight int `key:"most_held" default:"2000000" min:"10" max:"100000000"`
	// Halls are the failure domains, in which servers and proxies stand in turn.
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
	// Count is the number of servers at the start.
	Count int `key:"count" default:"10" min:"1" max:"100000"`
	// Cores is the number of cores of a server in a scenario without Kinds.
	Cores int `key:"cores" default:"1" min:"1" max:"1024"`
	// QueueLimit is the number of waiting jobs at which a server rejects further ones; 0 for no limit.
	QueueLimit int `key:"waiting" default:"0" min:"0" max:"100000000"`
	// MaxConns is the number of open connections at which a server refuses further ones; 0 for no limit.
	MaxConns int `key:"connections" default:"0" min:"0" max:"100000000"`
	// HandshakeWork is the work of a new connection, added to that of its first request.
	HandshakeWork time.Duration `key:"handshake" default:"0s" min:"0s" max:"1m"`
	// DropsAbandoned has a server drop waiting jobs whose attempt has been given up.
	DropsAbandoned bool `key:"drops_waiting" default:"false"`

	// ChokeQueue is the number of waiting jobs per core above which a server is overloaded; 0 for never.
	ChokeQueue float64 `key:"crowded" default:"0" min:"0" max:"1000000"`
	// ChokeAfter is how long a server is overloaded before it chokes.
	ChokeAfter time.Duration `key:"choke_after" default:"2s" min:"0s" max:"1h"`
	// ChokeFactor is how many times as long a job takes that starts on a choked server.
	ChokeFactor float64 `key:"choke_slower" default:"2.8" min:"1" max:"1000"`
	// ChokeIdle is how long at least half of a choked server's cores are idle before it recovers.
	ChokeIdle time.Duration `key:"choke_idle" default:"3.7s" min:"0s" max:"1h"`
	// MaxChoke is how long a server chokes at most.
	MaxChoke time.Duration `key:"choke_for" default:"25s" min:"0s" max:"1h"`

	// SlowStartMin is the fraction of its capacity that a server starts with; 1 for no slow start.
	SlowStartMin float64 `key:"cold_start" default:"1" min:"0.001" max:"1"`
	// SlowStartWindow is the time from a server's start to its full capacity, to which it rises linearly.
	SlowStartWindow time.Duration `key:"cold_for" default:"23s" min:"0s" max:"1h"`

	// WarmKeyTTL is how long a key stays warm at a server after its last request; 0 for never warm.
	WarmKeyTTL time.Duration `key:"warm_keys_for" default:"0s" min:"0s" max:"1h"`
	// WarmKeyWork is the fraction of its work that a request for a warm key takes.
	WarmKeyWork float64 `key:"warm_part" default:"0.5" min:"0.001" max:"1"`
	// MaxWarmKeys is the number of keys that a server remembers.
	MaxWarmKeys int `key:"warm_most" default:"64" min:"1" max:"100000000"`
}

// Kind is a hardware kind of servers. The speed of each server is drawn uniformly from MinSpeed to MaxSpeed,
// the same for every policy.
type Kind struct {
	Name string `key:"name" form:"name"`
	// Fraction is the fraction of the servers that are of this kind.
	Fraction float64 `key:"share" min:"0" max:"1"`
	// Cores is the number of cores of a server.
	Cores int `key:"cores" default:"2" min:"1" max:"1024"`
	// MinSpeed is the lowest speed of a core; 1 is the reference.
	MinSpeed float64 `key:"slowest" default:"1" min:"0.0001" max:"10000"`
	// MaxSpeed is the highest speed of a core.
	MaxSpeed float64 `key:"fastest" default:"1" min:"0.0001" max:"10000"`
}

// Load is the arrival process.
type Load struct {
	// Utilisation is the work that arrives as a fraction of the servers' capacity without warm keys, where Rate
	// is 0.
	Utilisation float64 `key:"utilisation" default:"0.7" min:"0" max:"100"`
	// Rate is the number of requests per second; 0 has Utilisation determine it.
	Rate float64 `key:"rate" default:"0" min:"0" max:"100000000"`
	// Arrivals is the process: of single requests (poisson), or of bursts, each at one proxy (bursty).
	Arrivals string `key:"arrivals" default:"poisson" enum:"poisson|bursty"`
	// Burst is the number of requests in a burst.
	Burst float64 `key:"burst" default:"10" min:"1" max:"1000000"`
	// BurstGap is the mean time between the requests of a burst, in mean service times; 0 for the proxy's mean
	// time between requests over Burst.
	BurstGap float64 `key:"burst_gap" default:"0" min:"0" max:"1000000"`
	// WorkDistribution is the distribution of the work of a class about its mean.
	WorkDistribution string `key:"work" default:"exponential" enum:"exponential|fixed|uniform|pareto"`
	// WorkSpread is the half width of the uniform distribution, as a fraction of the mean.
	WorkSpread float64 `key:"spread" default:"0.3" min:"0" max:"1"`
	// Keys is the number of distinct keys; 0 for requests without keys.
	Keys int `key:"keys" default:"0" min:"0" max:"100000000"`
	// KeySkew is the exponent of the Zipf distribution of the keys.
	KeySkew float64 `key:"key_skew" default:"1.1" min:"1.01" max:"10"`
}

// Proxies are the instances of the client proxy.
type Proxies struct {
	// Count is the number of proxies.
	Count int `key:"count" default:"1" min:"1" max:"100000"`
	// Skew is the exponent of the proxies' loads: the n-th proxy, from 1, has the weight n^-Skew.
	Skew float64 `key:"skew" default:"0" min:"0" max:"10"`
}

// Clients is the behavior of callers.
type Clients struct {
	// MaxAttempts is the number of attempts that a client makes at its proxy, the first one included.
	MaxAttempts int `key:"tries" default:"1" min:"1" max:"100"`
	// TimeoutFraction is the timeout of an attempt, as a fraction of its class's deadline.
	TimeoutFraction float64 `key:"give_up" default:"1" min:"0.01" max:"1"`
	// Backoff is the time before another attempt.
	Backoff time.Duration `key:"wait" default:"0s" min:"0s" max:"1h"`
	// HonorRetryAfter is the fraction of the clients that wait for as long as Retry-After says.
	HonorRetryAfter float64 `key:"honour" default:"0" min:"0" max:"1"`
}

// Network is the latency between halls, and the timeouts of connections.
type Network struct {
	// WithinHall is the one-way latency within a hall.
	WithinHall time.Duration `key:"within" default:"0s" min:"0s" max:"1m"`
	// AcrossHalls is the one-way latency between two halls.
	AcrossHalls time.Duration `key:"across" default:"0s" min:"0s" max:"1m"`
	// Jitter is the largest deviation of a latency, as a fraction of it, either way.
	Jitter float64 `key:"jitter" default:"0" min:"0" max:"1"`
	// DialTimeout is how long a proxy attempts to connect.
	DialTimeout time.Duration `key:"dial" default:"250ms" min:"0s" max:"1m"`
	// IdleTimeout is how long an idle connection stays open.
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
	// Model is how: by probes, or as one of the models of stale load of Dahlin's paper.
	Model string `key:"model" default:"probe" enum:"probe|fresh|periodic|continuous|on-access"`
	// Delay is the age of the loads in the models of the paper, in mean service times. For on-access it is the
	// mean time between requests of a proxy, which determines the number of proxies.
	Delay float64 `key:"delay" default:"1" min:"0" max:"1000000"`
	// DelaySpread is the distribution of the delay for continuous.
	DelaySpread string `key:"spread" default:"fixed" enum:"fixed|uniform|exponential"`
	// Refresh is how often a server measures the load that it reports to probes.
	Refresh time.Duration `key:"refresh" default:"100ms" min:"0s" max:"1h"`
	// Noise is the largest error of a load reported to a probe, as a fraction of it, either way.
	Noise float64 `key:"noise" default:"0" min:"0" max:"1"`
	// ProbeWork is the work of answering a probe.
	ProbeWork time.Duration `key:"cost" default:"0s" min:"0s" max:"1m"`
}

// Discovery is the service that lists servers.
type Discovery struct {
	// Delay is the time from a change to its delivery.
	Delay time.Duration `key:"delay" default:"0s" min:"0s" max:"1h"`
	// ServiceTime is the time of a call; calls are handled one after the other.
	ServiceTime time.Duration `key:"service" default:"0s" min:"0s" max:"1m"`
	// MaxWait is the wait beyond which a call fails; 0 for no limit.
	MaxWait time.Duration `key:"longest_wait" default:"0s" min:"0s" max:"1h"`
	// RegistryInterval is the longest time that a proxy may go without a call or a watch.
	RegistryInterval time.Duration `key:"ask_within" default:"10s" min:"0s" max:"1h"`
}

// Rules are the parameters of the checked rules.
type Rules struct {
	// AnswerGrace is how long after its deadline a request may still be answered.
	AnswerGrace time.Duration `key:"slack" default:"20ms" min:"0s" max:"1m"`
	// DrainGrace is how long a proxy may go on sending to a server after the news that it drains or is gone.
	DrainGrace time.Duration `key:"grace" default:"1500ms" min:"0s" max:"1h"`
	// CollapseFactor is the multiple of its capacity in work that a server in slow start collapses beyond; 0
	// for never.
	CollapseFactor float64 `key:"fall_multiple" default:"0" min:"0" max:"1000000"`
	// CollapseAfter is the window over which that work is summed.
	CollapseAfter time.Duration `key:"fall_after" default:"1500ms" min:"1ms" max:"1h"`
	// MaxAttempts is the number of attempts that a proxy may make for a request.
	MaxAttempts int `key:"attempts" default:"3" min:"1" max:"100"`
}

// Prices are the deductions from the service, as the task states them. Each is that of the case named here,
// and in proportion for less or more.
type Prices struct {
	// CrossHall is for one attempt per request in another hall.
	CrossHall float64 `key:"cross_hall" default:"0" min:"0" max:"1"`
	// Handshake is for one new connection per request.
	Handshake float64 `key:"handshake" default:"0" min:"0" max:"1"`
	// Probe is for one probe per request.
	Probe float64 `key:"probe" default:"0" min:"0" max:"1"`
	// Waste is for as much wasted work as was asked for.
	Waste float64 `key:"waste" default:"0" min:"0" max:"1"`
	// LateFail is for all requests ending after their latency targets.
	LateFail float64 `key:"late_fail" default:"0" min:"0" max:"1"`
	// Choke is for all servers having choked.
	Choke float64 `key:"choke" default:"0" min:"0" max:"1"`
	// OverQuotaValue is the fraction of its value that a request beyond its tenant's quota has.
	OverQuotaValue float64 `key:"over_share" default:"0.1" min:"0" max:"1"`
}

// Class is a request class.
type Class struct {
	Name string `key:"name" form:"name"`
	// Fraction is the fraction of the requests that are of this class.
	Fraction float64 `key:"share" default:"1" min:"0" max:"1"`
	// Work is the mean work of a request.
	Work time.Duration `key:"work" min:"1us" max:"1h"`
	// LatencyTarget is the time within which an answer has its full value; 0 for none.
	LatencyTarget time.Duration `key:"aim" default:"0s" min:"0s" max:"10000h"`
	// Deadline is the time after which the client gives up; 0 for never.
	Deadline time.Duration `key:"deadline" default:"0s" min:"0s" max:"10000h"`
	// Value is the value of an answer within the latency target.
	Value float64 `key:"worth" default:"1" min:"0" max:"1000000"`
	// AtMostOnce requires that a request never begins to run twice.
	AtMostOnce bool `key:"never_twice" default:"false"`
}

// Tenant is a tenant with its quota.
type Tenant struct {
	Name string `key:"name" form:"name"`
	// Fraction is the fraction of the requests that are this tenant's.
	Fraction float64 `key:"share" min:"0" max:"1"`
	// Quota is the number of requests per second that have their full value; 0 for no limit.
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
	// Type is one of the types of faults.
	Type string `key:"what" enum:"burst|pauses|hall_loss|shrink|discovery_stale|rolling|crash"`
	// At is when the fault begins.
	At time.Duration `key:"at" min:"0s" max:"10000h"`
	// Duration is how long it lasts.
	Duration time.Duration `key:"for" default:"0s" min:"0s" max:"10000h"`
	// Size is the factor on the arrival rate for burst, and the fraction of the servers that are affected for
	// pauses, shrink and rolling.
	Size float64 `key:"size" default:"0.3" min:"0" max:"1000"`
	// PauseDuration is the length of each of the pauses.
	PauseDuration time.Duration `key:"pause" default:"200ms" min:"0s" max:"1h"`
	// Interval is the time between two rounds of pauses, and the time that a server drains for shrink and
	// rolling.
	Interval time.Duration `key:"every" default:"2s" min:"1ms" max:"1h"`
	// Hall is the hall of hall_loss.
	Hall string `key:"hall" default:""`
	// Unresponsive has the servers of hall_loss answer nothing; otherwise their processes end.
	Unresponsive bool `key:"silent" default:"false"`
	// Proxies has hall_loss end the hall's proxies, too.
	Proxies bool `key:"proxies" default:"false"`
	// Lag is the further delay of discovery for discovery_stale.
	Lag time.Duration `key:"behind" default:"5s" min:"0s" max:"1h"`
}
