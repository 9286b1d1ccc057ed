package proxysim

import "time"

// about is the type of a blank field before a key, whose tag documents the key.
type about = struct{}

// Scenario is the input of a simulation. Its tags are the one schema of scenario files, which package
// settingsfile reads, checks and documents (docs/SCENARIO.md); a scenario built in code is taken as it is.
// Keys keep the names of existing files where fields have clearer ones.
type Scenario struct {
	_              about         `doc:"what it is called in results"`
	Name           string        `key:"name" default:"scenario"`
	_              about         `doc:"arrivals last for so long"`
	Duration       time.Duration `key:"duration" default:"60s" min:"1ms" max:"10000h"`
	_              about         `doc:"what arrives before this is not counted"`
	WarmUp         time.Duration `key:"warm_up" default:"1s" min:"0s" max:"10000h"`
	_              about         `doc:"the first so many are not counted either"`
	WarmUpRequests int           `key:"warm_up_requests" default:"0" min:"0" max:"1000000000"`
	_              about         `doc:"arrivals end after so many; 0 is no such end"`
	Requests       int           `key:"requests" default:"0" min:"0" max:"1000000000"`
	_              about         `doc:"most requests held at once; beyond it the day ends and says so"`
	MaxInFlight    int           `key:"most_held" default:"2000000" min:"10" max:"100000000"`
	_              about         `doc:"halls, in the order that numbers them"`
	Halls          []string      `key:"halls" default:"hall"`

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
	_          about `doc:"how many there are"`
	Count      int   `key:"count" default:"10" min:"1" max:"100000"`
	_          about `doc:"cores of each, where no [[kind]] says otherwise"`
	Cores      int   `key:"cores" default:"1" min:"1" max:"1024"`
	_          about `doc:"places to wait in; what finds them full is turned away unseen; 0 is no bound"`
	QueueLimit int   `key:"waiting" default:"0" min:"0" max:"100000000"`
	_          about `doc:"connections open at once; 0 is no bound"`
	MaxConns   int   `key:"connections" default:"0" min:"0" max:"100000000"`

	_             about         `doc:"work that a new connection costs"`
	HandshakeWork time.Duration `key:"handshake" default:"0s" min:"0s" max:"1m"`

	_              about `doc:"waiting work of a request that was given up is dropped"`
	DropsAbandoned bool  `key:"drops_waiting" default:"false"`

	_           about         `doc:"more than this many waiting a core, for choke_after, and it chokes; 0 never"`
	ChokeQueue  float64       `key:"crowded" default:"0" min:"0" max:"1000000"`
	_           about         `doc:"crowded for so long"`
	ChokeAfter  time.Duration `key:"choke_after" default:"2s" min:"0s" max:"1h"`
	_           about         `doc:"a choked server is so many times slower"`
	ChokeFactor float64       `key:"choke_slower" default:"2.8" min:"1" max:"1000"`
	_           about         `doc:"until it was mostly idle for so long"`
	ChokeIdle   time.Duration `key:"choke_idle" default:"3.7s" min:"0s" max:"1h"`
	_           about         `doc:"or for so long in all"`
	MaxChoke    time.Duration `key:"choke_for" default:"25s" min:"0s" max:"1h"`

	_               about         `doc:"part of its capacity that a server starts with; 1 is warm at once"`
	SlowStartMin    float64       `key:"cold_start" default:"1" min:"0.001" max:"1"`
	_               about         `doc:"warm after this"`
	SlowStartWindow time.Duration `key:"cold_for" default:"23s" min:"0s" max:"1h"`

	_           about         `doc:"a key met within this time is warm; 0 is no memory"`
	WarmKeyTTL  time.Duration `key:"warm_keys_for" default:"0s" min:"0s" max:"1h"`
	_           about         `doc:"part of the work that a warm key needs"`
	WarmKeyWork float64       `key:"warm_part" default:"0.5" min:"0.001" max:"1"`
	_           about         `doc:"keys that a server remembers"`
	MaxWarmKeys int           `key:"warm_most" default:"64" min:"1" max:"100000000"`
}

// Kind is a hardware kind of servers. Its speed is drawn for each server, the same for every policy.
type Kind struct {
	_        about   `doc:"its name"`
	Name     string  `key:"name" form:"name"`
	_        about   `doc:"part of the servers"`
	Fraction float64 `key:"share" min:"0" max:"1"`
	_        about   `doc:"cores"`
	Cores    int     `key:"cores" default:"2" min:"1" max:"1024"`
	_        about   `doc:"least speed of a core; 1 is the yardstick"`
	MinSpeed float64 `key:"slowest" default:"1" min:"0.0001" max:"10000"`
	_        about   `doc:"highest speed of a core"`
	MaxSpeed float64 `key:"fastest" default:"1" min:"0.0001" max:"10000"`
}

// Load is the arrival process.
type Load struct {
	_                about   `doc:"part of what all servers can do, keys cold; used where rate is 0"`
	Utilisation      float64 `key:"utilisation" default:"0.7" min:"0" max:"100"`
	_                about   `doc:"requests a second"`
	Rate             float64 `key:"rate" default:"0" min:"0" max:"100000000"`
	_                about   `doc:"how arrivals come: each by itself, or in bursts of a proxy"`
	Arrivals         string  `key:"arrivals" default:"poisson" enum:"poisson|bursty"`
	_                about   `doc:"requests in a burst"`
	Burst            float64 `key:"burst" default:"10" min:"1" max:"1000000"`
	_                about   `doc:"mean gap in a burst, in mean service times; 0: a proxy's own over the burst"`
	BurstGap         float64 `key:"burst_gap" default:"0" min:"0" max:"1000000"`
	_                about   `doc:"how the work of a class varies about its mean"`
	WorkDistribution string  `key:"work" default:"exponential" enum:"exponential|fixed|uniform|pareto"`
	_                about   `doc:"for uniform: from 1-spread to 1+spread times the mean"`
	WorkSpread       float64 `key:"spread" default:"0.3" min:"0" max:"1"`
	_                about   `doc:"distinct keys; 0 is none"`
	Keys             int     `key:"keys" default:"0" min:"0" max:"100000000"`
	_                about   `doc:"exponent of their popularity"`
	KeySkew          float64 `key:"key_skew" default:"1.1" min:"1.01" max:"10"`
}

// Proxies are the instances that balance.
type Proxies struct {
	_     about   `doc:"how many there are"`
	Count int     `key:"count" default:"1" min:"1" max:"100000"`
	_     about   `doc:"0: all carry alike; 1: the n-th carries 1/n of the first"`
	Skew  float64 `key:"skew" default:"0" min:"0" max:"10"`
}

// Clients is the behavior of callers.
type Clients struct {
	_               about         `doc:"tries of a request in all"`
	MaxAttempts     int           `key:"tries" default:"1" min:"1" max:"100"`
	_               about         `doc:"a try is given up after this part of the class's deadline"`
	TimeoutFraction float64       `key:"give_up" default:"1" min:"0.01" max:"1"`
	_               about         `doc:"wait before another try"`
	Backoff         time.Duration `key:"wait" default:"0s" min:"0s" max:"1h"`
	_               about         `doc:"part of the clients that wait as Retry-After says"`
	HonorRetryAfter float64       `key:"honour" default:"0" min:"0" max:"1"`
}

// Network is latency and connections between halls.
type Network struct {
	_           about         `doc:"one way within a hall"`
	WithinHall  time.Duration `key:"within" default:"0s" min:"0s" max:"1m"`
	_           about         `doc:"one way across halls"`
	AcrossHalls time.Duration `key:"across" default:"0s" min:"0s" max:"1m"`
	_           about         `doc:"varies by up to this part"`
	Jitter      float64       `key:"jitter" default:"0" min:"0" max:"1"`
	_           about         `doc:"a connection that does not stand by then is given up"`
	DialTimeout time.Duration `key:"dial" default:"250ms" min:"0s" max:"1m"`
	_           about         `doc:"an idle connection closes after this"`
	IdleTimeout time.Duration `key:"idle_close" default:"5s" min:"1ms" max:"1h"`
}

// Reports are how the servers' loads become known.
type Reports struct {
	_           about         `doc:"probe: as asked for; the others are those of the literature"`
	Model       string        `key:"model" default:"probe" enum:"probe|fresh|periodic|continuous|on-access"`
	_           about         `doc:"age in mean service times; on-access: of a proxy's view, sets their count"`
	Delay       float64       `key:"delay" default:"1" min:"0" max:"1000000"`
	_           about         `doc:"for continuous: how the delay varies"`
	DelaySpread string        `key:"spread" default:"fixed" enum:"fixed|uniform|exponential"`
	_           about         `doc:"for probe: a server's figures are made anew so often"`
	Refresh     time.Duration `key:"refresh" default:"100ms" min:"0s" max:"1h"`
	_           about         `doc:"for probe: they are wrong by up to this part"`
	Noise       float64       `key:"noise" default:"0" min:"0" max:"1"`
	_           about         `doc:"for probe: work that one costs the server"`
	ProbeWork   time.Duration `key:"cost" default:"0s" min:"0s" max:"1m"`
}

// Discovery is the service that lists servers.
type Discovery struct {
	_                about         `doc:"a change is told after this"`
	Delay            time.Duration `key:"delay" default:"0s" min:"0s" max:"1h"`
	_                about         `doc:"time that a call takes, one after the other"`
	ServiceTime      time.Duration `key:"service" default:"0s" min:"0s" max:"1m"`
	_                about         `doc:"a call that would wait longer fails; 0 never"`
	MaxWait          time.Duration `key:"longest_wait" default:"0s" min:"0s" max:"1h"`
	_                about         `doc:"proxies must ask or watch at least so often"`
	RegistryInterval time.Duration `key:"ask_within" default:"10s" min:"0s" max:"1h"`
}

// Rules are the parameters of the checked rules.
type Rules struct {
	_           about         `doc:"how long after its client's deadline an answer counts"`
	AnswerGrace time.Duration `key:"slack" default:"20ms" min:"0s" max:"1m"`
	_           about         `doc:"nothing goes to a draining or gone server later than this after it was told"`
	DrainGrace  time.Duration `key:"grace" default:"1500ms" min:"0s" max:"1h"`

	_              about   `doc:"a cold server sent more than this multiple of its capacity falls over; 0 never"`
	CollapseFactor float64 `key:"fall_multiple" default:"0" min:"0" max:"1000000"`

	_             about         `doc:"sent so for this long"`
	CollapseAfter time.Duration `key:"fall_after" default:"1500ms" min:"1ms" max:"1h"`
	_             about         `doc:"attempts for a request"`
	MaxAttempts   int           `key:"attempts" default:"3" min:"1" max:"100"`
}

// Prices are what is deducted from the service, as the task states them.
type Prices struct {
	_              about   `doc:"each request crossing halls once"`
	CrossHall      float64 `key:"cross_hall" default:"0" min:"0" max:"1"`
	_              about   `doc:"a new connection for each request"`
	Handshake      float64 `key:"handshake" default:"0" min:"0" max:"1"`
	_              about   `doc:"one probe a request"`
	Probe          float64 `key:"probe" default:"0" min:"0" max:"1"`
	_              about   `doc:"as much work wasted as was asked for"`
	Waste          float64 `key:"waste" default:"0" min:"0" max:"1"`
	_              about   `doc:"all failing only after the wanted time"`
	LateFail       float64 `key:"late_fail" default:"0" min:"0" max:"1"`
	_              about   `doc:"all servers choking"`
	Choke          float64 `key:"choke" default:"0" min:"0" max:"1"`
	_              about   `doc:"worth of a request beyond its tenant's share"`
	OverQuotaValue float64 `key:"over_share" default:"0.1" min:"0" max:"1"`
}

// Class is a request class.
type Class struct {
	_             about         `doc:"its name"`
	Name          string        `key:"name" form:"name"`
	_             about         `doc:"part of the requests"`
	Fraction      float64       `key:"share" default:"1" min:"0" max:"1"`
	_             about         `doc:"mean work, on a core of speed 1"`
	Work          time.Duration `key:"work" min:"1us" max:"1h"`
	_             about         `doc:"wanted within; 0 is no aim"`
	LatencyTarget time.Duration `key:"aim" default:"0s" min:"0s" max:"10000h"`
	_             about         `doc:"given up after; 0 never"`
	Deadline      time.Duration `key:"deadline" default:"0s" min:"0s" max:"10000h"`
	_             about         `doc:"worth of one served within its aim"`
	Value         float64       `key:"worth" default:"1" min:"0" max:"1000000"`
	_             about         `doc:"must not run twice"`
	AtMostOnce    bool          `key:"never_twice" default:"false"`
}

// Tenant is a tenant with its quota.
type Tenant struct {
	_        about   `doc:"its name"`
	Name     string  `key:"name" form:"name"`
	_        about   `doc:"part of the requests"`
	Fraction float64 `key:"share" min:"0" max:"1"`
	_        about   `doc:"requests a second within its share; 0 is no bound"`
	Quota    float64 `key:"quota" default:"0" min:"0" max:"100000000"`
}

// Fault is an injected fault.
type Fault struct {
	_             about         `doc:"what"`
	Type          string        `key:"what" enum:"burst|pauses|hall_loss|shrink|discovery_stale|rolling|crash"`
	_             about         `doc:"from then on"`
	At            time.Duration `key:"at" min:"0s" max:"10000h"`
	_             about         `doc:"for so long"`
	Duration      time.Duration `key:"for" default:"0s" min:"0s" max:"10000h"`
	_             about         `doc:"burst: times the usual load; pauses, shrink, rolling: part of the servers"`
	Size          float64       `key:"size" default:"0.3" min:"0" max:"1000"`
	_             about         `doc:"pauses: how long each is"`
	PauseDuration time.Duration `key:"pause" default:"200ms" min:"0s" max:"1h"`
	_             about         `doc:"pauses: a round each so often; shrink, rolling: time to drain"`
	Interval      time.Duration `key:"every" default:"2s" min:"1ms" max:"1h"`
	_             about         `doc:"hall_loss: which hall"`
	Hall          string        `key:"hall" default:""`
	_             about         `doc:"hall_loss: nothing is answered, rather than processes dying"`
	Unresponsive  bool          `key:"silent" default:"false"`
	_             about         `doc:"hall_loss: its proxies are lost too"`
	Proxies       bool          `key:"proxies" default:"false"`
	_             about         `doc:"discovery_stale: further behind by"`
	Lag           time.Duration `key:"behind" default:"5s" min:"0s" max:"1h"`
}
