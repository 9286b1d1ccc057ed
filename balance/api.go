// Package balance decides, for one client-side load balancer, which server each request goes to.
//
// A Balancer is a state machine without input, output, clock or goroutines. The caller reports each
// event together with its own clock and carries out the actions that the call appends to its buffer.
// The same settings and the same events give the same actions.
//
// This file is the whole interface; the policy files of deploy/balancer.toml hold every decision.
package balance

import "time"

// Effect says what a second run of a request would do.
type Effect uint8

const (
	Idempotent   Effect = iota // may run any number of times
	Deduplicated               // repeats are dropped inside Class.DedupScope for Class.DedupWindow
	AtMostOnce                 // must never run twice
)

// DedupScope names the servers that drop each other's repeats of a Deduplicated request.
type DedupScope uint8

const (
	DedupFleet DedupScope = iota // every server
	DedupZone                    // the servers of one zone
	DedupCell                    // the servers of one cell
)

// Class is one kind of request.
type Class struct {
	LatencyTarget time.Duration // an answer this soon earns the full worth
	TargetPerWork float64       // the aim grows by this many times the request's expected work
	Deadline      time.Duration // how long a client waits over all its tries
	Effect        Effect
	DedupScope    DedupScope
	DedupWindow   time.Duration // how long repeats are dropped, from the first send that may have run
	Value         float64       // of one request answered within its aim
	LateValue     float64       // part of Worth earned between aim and deadline
	Stream        bool          // the answer is a stream
}

// Tenant is one of those who share the fleet.
type Tenant struct {
	Fraction    float64 // part of the service
	QuotaPerSec float64 // requests a second, through all balancers together, inside its share
}

// Costs are deductions, as parts of the worth offered.
type Costs struct {
	CrossZone float64 // every request crossing zones once
	Probe     float64 // one probe a request
	Waste     float64 // as much work wasted as was asked for
	LateFail  float64 // all failing only after the aim
}

// ReportField is one value of a load report.
type ReportField uint8

const (
	FieldUnknown     ReportField = iota // a value this package does not read
	FieldInFlight                       // requests held
	FieldQueued                         // requests waiting
	FieldUtilization                    // fraction of the processor in use
)

// Settings are what a Balancer is told at its start and all that it is told about the deployment.
type Settings struct {
	Seed         uint64
	Rank         int // number of this balancer among its peers
	Peers        int // balancers that send to these servers, this one included
	Zone         int // zone of this balancer
	Tick         time.Duration
	Classes      []Class
	Tenants      []Tenant
	Costs        Costs
	ReportFields []ReportField // order of the values in a load report

	OverQuotaValue float64 // worth of a request beyond its tenant's share, as a part of the class's
	ValuePerWork   bool    // Value counts for a unit of work, not for a request

	MustFollow       bool          // the server list comes only when followed
	RegistryInterval time.Duration // longest silence towards the registry
	DrainGrace       time.Duration // nothing may be sent later than this after a drain was told
	ResponseGrace    time.Duration // a final answer counts this long after the client's deadline

	SlowStartMin     float64       // fraction of its capacity a server starts with, at least
	SlowStartWindow  time.Duration // a server is warm after this
	CollapseMultiple float64       // more than this multiple of its present capacity ...
	CollapseAfter    time.Duration // ... for this long, and a cold server falls over

	MaxAttempts        int
	MayProbe           bool
	MayCancel          bool
	MayHedge           bool // a request may have two attempts out at once
	SendsRetryAfter    bool // clients receive Action.Wait of a Refuse
	MaxRetryAfter      time.Duration
	DialTimeout        time.Duration
	KeyAffinity        bool // a server that met a key lately does less work for it
	ReportsInResponses bool // load reports come with outcomes, not with probes alone
}

// ServerID names a server; it tells nothing else about it.
type ServerID uint32

// ServerState is what the registry knows of a server.
type ServerState uint8

const (
	Up ServerState = iota
	Draining
	Removed
)

// Server is one line of the registry's list.
type Server struct {
	ID      ServerID
	Zone    int
	Kind    int
	Cell    int
	State   ServerState
	Rating  float64
	Started time.Duration // on the caller's clock; 0 means long ago
}

// ListKind says how a list relates to the one before.
type ListKind uint8

const (
	ListCached ListKind = iota // complete, from before a restart
	ListFull                   // complete
	ListDelta                  // the changed lines
	ListFailed                 // following or asking failed; no lines
)

// Request is one try of a client.
type Request struct {
	ID          string
	Class       int
	Tenant      int
	Key         uint64
	HasKey      bool
	Deadline    time.Duration // when the client gives up, on the caller's clock
	Work        time.Duration // expected work on a standard core; 0 where unknown
	ClientRetry bool          // the client marked it as a repeat
}

// Result is how an attempt or a probe ended.
type Result uint8

const (
	Done        Result = iota
	Error              // an error answer; may have run
	Rejected           // turned away unseen
	TimedOut           // may have run
	ConnRefused        // no connection; never ran
	Reset              // connection broke; may have run
	Cancelled          // may have run
	Skipped            // never sent
)

// neverRan tells whether the result proves that the server did not start the request.
func (r Result) neverRan() bool { return r == Rejected || r == ConnRefused || r == Skipped }

// Outcome reports the end of one attempt.
type Outcome struct {
	ID      string
	Attempt int
	Server  ServerID
	Result  Result
	Final   bool // the request has its final answer
	Latency time.Duration
	Report  []float64 // nil where none came; valid during the call
}

// ProbeResult reports the end of one probe.
type ProbeResult struct {
	Server  ServerID
	Result  Result
	Latency time.Duration
	Report  []float64
}

// ActionKind says what an Action asks for.
type ActionKind uint8

const (
	Send       ActionKind = iota // start an attempt of ID on Server, Within; time-out Wait, 0 for none
	Cancel                       // stop waiting for attempt Attempt of ID
	Reject                       // final answer of ID: no, trying again is harmless, after Wait
	Fail                         // final answer of ID: failed, nothing is promised
	Probe                        // ask Server for its load
	SetTimer                     // call Timer with Token after Wait
	FollowList                   // ask the registry for its changes from now on
)

// Action is one thing for the caller to do, in the order given.
type Action struct {
	Kind        ActionKind
	ID          string
	Server      ServerID
	Attempt     int
	Wait        time.Duration
	StartWithin time.Duration // what begins later than this must not begin
	Token       uint64
}
