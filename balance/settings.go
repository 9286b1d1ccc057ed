package balance

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Effect is the effect of running a request more than once.
type Effect uint8

// The effects of a class.
const (
	Idempotent   Effect = iota // may run any number of times
	Deduplicated               // repeats are dropped inside Class.DedupScope for Class.DedupWindow
	AtMostOnce                 // must never run twice
)

// DedupScope is the set of servers that drop each other's repeats of a Deduplicated request.
type DedupScope uint8

// The scopes of deduplication.
const (
	DedupFleet DedupScope = iota // every server
	DedupZone                    // the servers of one zone
	DedupCell                    // the servers of one cell of a zone
)

// Class is one kind of request.
type Class struct {
	LatencyTarget time.Duration // a response within this time earns the full value
	TargetPerWork float64       // the target grows by this many times the request's expected work
	Deadline      time.Duration // how long a client waits in total, over all attempts
	Effect        Effect
	DedupScope    DedupScope
	DedupWindow   time.Duration // how long repeats are dropped, from the first attempt that may have run
	Value         float64       // value of a request answered within its latency target
	LateValue     float64       // fraction of Value earned by a response between latency target and deadline
	Stream        bool          // the response is a stream
}

// Tenant is one of the tenants that share the fleet.
type Tenant struct {
	Fraction    float64 // fraction of the service that the tenant is entitled to
	QuotaPerSec float64 // requests per second, through all balancers together, that are within its fraction
}

// Costs are deductions, as fractions of the value of all requests offered.
type Costs struct {
	CrossZone float64 // if every request crosses zones once
	Probe     float64 // if there is one probe for every request
	Waste     float64 // if as much work is wasted as was requested
	LateFail  float64 // if all requests fail, and only after their latency target
}

// ReportField is one value of a load report.
type ReportField uint8

// The values of load reports.
const (
	FieldUnknown     ReportField = iota // a value that this package ignores
	FieldInFlight                       // requests in flight, queued ones included
	FieldQueued                         // requests queued
	FieldUtilization                    // fraction of the processor in use
)

// Settings describes the deployment to a Balancer; it does not change.
//
// No decision reads Rank, Peers, Tenants, OverQuotaValue, DrainGrace, ResponseGrace, CollapseAfter,
// DialTimeout, ReportsInResponses, Class.Deadline (Request.Deadline counts), Costs.Waste or Costs.LateFail.
type Settings struct {
	Seed         uint64
	Rank         int           // index of this balancer among its peers
	Peers        int           // number of balancers that send to these servers, this one included
	Zone         int           // zone of this balancer
	Tick         time.Duration // minimum wait of a timer, and unit of the margins before deadlines
	Classes      []Class
	Tenants      []Tenant
	Costs        Costs
	ReportFields []ReportField // order of the values in a load report

	OverQuotaValue float64 // value of a request beyond its tenant's fraction, as a fraction of the class's
	ValuePerWork   bool    // Value counts per unit of work, not per request

	MustFollow       bool          // the server list comes only on request (FollowList)
	RegistryInterval time.Duration // the registry must be asked at least this often
	DrainGrace       time.Duration // nothing may be sent later than this after a drain was reported
	ResponseGrace    time.Duration // a final response is still accepted this long after the client's deadline

	SlowStartMin     float64       // minimum fraction of its capacity that a server starts with
	SlowStartWindow  time.Duration // time from its start after which a server has its full capacity
	CollapseMultiple float64       // a load above this multiple of its present capacity ...
	CollapseAfter    time.Duration // ... for this long makes a server in slow start collapse

	MaxAttempts        int
	MayProbe           bool
	MayCancel          bool
	MayHedge           bool // a request may have two attempts outstanding at once
	SendsRetryAfter    bool // clients receive the Wait of a Reject action
	MaxRetryAfter      time.Duration
	DialTimeout        time.Duration
	KeyAffinity        bool // a server that served a key recently does less work for it
	ReportsInResponses bool // load reports come with outcomes, not only with probes
}

// validate returns an error that describes the first invalid setting, or nil if all are valid.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return errors.New("settings: Classes is empty")
	}
	for i, c := range s.Classes {
		if c.LatencyTarget <= 0 || c.Deadline <= 0 || c.DedupWindow < 0 {
			return fmt.Errorf("settings: Classes[%d]: LatencyTarget and Deadline must be positive, "+
				"DedupWindow must not be negative", i)
		}
		if !isFiniteNonNegative(c.Value) || !isFraction(c.LateValue) || !isFiniteNonNegative(c.TargetPerWork) {
			return fmt.Errorf("settings: Classes[%d]: Value, LateValue or TargetPerWork is out of range", i)
		}
	}
	for _, d := range []struct {
		name  string
		value time.Duration
	}{
		{"Tick", s.Tick}, {"RegistryInterval", s.RegistryInterval}, {"DrainGrace", s.DrainGrace},
		{"ResponseGrace", s.ResponseGrace}, {"SlowStartWindow", s.SlowStartWindow},
		{"CollapseAfter", s.CollapseAfter}, {"MaxRetryAfter", s.MaxRetryAfter},
		{"DialTimeout", s.DialTimeout},
	} {
		if d.value < 0 {
			return fmt.Errorf("settings: %s must not be negative", d.name)
		}
	}
	if !isFraction(s.SlowStartMin) {
		return errors.New("settings: SlowStartMin must be from 0 to 1")
	}
	if !isFiniteNonNegative(s.CollapseMultiple) {
		return errors.New("settings: CollapseMultiple must be finite and not negative")
	}
	return nil
}

// isFraction reports whether x is from 0 to 1. Like isFiniteNonNegative it is false for NaN.
func isFraction(x float64) bool { return x >= 0 && x <= 1 }

func isFiniteNonNegative(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }
