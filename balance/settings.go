package balance

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Effect says what a second run of a request would do.
type Effect uint8

// The effects of a class.
const (
	Idempotent   Effect = iota // may run any number of times
	Deduplicated               // repeats are dropped inside Class.DedupScope for Class.DedupWindow
	AtMostOnce                 // must never run twice
)

// DedupScope names the servers that drop each other's repeats of a Deduplicated request.
type DedupScope uint8

// The scopes of deduplication.
const (
	DedupFleet DedupScope = iota // every server
	DedupZone                    // the servers of one zone
	DedupCell                    // the servers of one cell of a zone
)

// Class is one kind of request.
type Class struct {
	LatencyTarget time.Duration // a response this soon earns the full value
	TargetPerWork float64       // the target grows by this many times the request's expected work
	Deadline      time.Duration // how long a client waits over all its attempts
	Effect        Effect
	DedupScope    DedupScope
	DedupWindow   time.Duration // how long repeats are dropped, from the first send that may have run
	Value         float64       // of one request answered within its latency target
	LateValue     float64       // fraction of Value earned between latency target and deadline
	Stream        bool          // the response is a stream
}

// Tenant is one of the tenants that share the fleet.
type Tenant struct {
	Fraction    float64 // of the service that the tenant is entitled to
	QuotaPerSec float64 // requests a second, through all balancers together, that are inside its fraction
}

// Costs are deductions, as fractions of the value of all requests offered.
type Costs struct {
	CrossZone float64 // if each request crosses zones once
	Probe     float64 // if there is one probe for each request
	Waste     float64 // if as much work is wasted as was asked for
	LateFail  float64 // if all requests fail, and only after their latency target
}

// ReportField is one value of a load report.
type ReportField uint8

// The values of load reports.
const (
	FieldUnknown     ReportField = iota // a value that this package does not read
	FieldInFlight                       // requests in flight, queued ones included
	FieldQueued                         // requests queued
	FieldUtilization                    // fraction of the processor in use
)

// Settings describe the deployment to a Balancer; they don't change.
//
// Some describe it without being read by any decision: Rank, Peers, Tenants, OverQuotaValue, DrainGrace,
// ResponseGrace, CollapseAfter, DialTimeout, ReportsInResponses, Class.Deadline (Request.Deadline counts),
// Costs.Waste and Costs.LateFail.
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

	OverQuotaValue float64 // value of a request beyond its tenant's fraction, as a fraction of the class's
	ValuePerWork   bool    // Value counts for a unit of work, not for a request

	MustFollow       bool          // the server list comes only when followed
	RegistryInterval time.Duration // the registry must be asked at least this often
	DrainGrace       time.Duration // nothing may be sent later than this after a drain was reported
	ResponseGrace    time.Duration // a final response counts this long after the client's deadline

	SlowStartMin     float64       // fraction of its capacity a server starts with, at least
	SlowStartWindow  time.Duration // a server has its full capacity after this
	CollapseMultiple float64       // more than this multiple of its present capacity ...
	CollapseAfter    time.Duration // ... for this long, and a server in slow start collapses

	MaxAttempts        int
	MayProbe           bool
	MayCancel          bool
	MayHedge           bool // a request may have two attempts outstanding at once
	SendsRetryAfter    bool // clients receive Action.Wait of a Reject
	MaxRetryAfter      time.Duration
	DialTimeout        time.Duration
	KeyAffinity        bool // a server that served a key lately does less work for it
	ReportsInResponses bool // load reports come with outcomes, not with probes alone
}

// validate returns an error that describes the first invalid setting, nil if there is none.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return errors.New("settings: Classes is empty")
	}
	for i, c := range s.Classes {
		if c.LatencyTarget <= 0 || c.Deadline <= 0 || c.DedupWindow < 0 {
			return fmt.Errorf("settings: Classes[%d]: LatencyTarget and Deadline must be above 0, "+
				"DedupWindow not below", i)
		}
		if !isFiniteFromZero(c.Value) || !isFraction(c.LateValue) || !isFiniteFromZero(c.TargetPerWork) {
			return fmt.Errorf("settings: Classes[%d]: Value, LateValue or TargetPerWork out of range", i)
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
			return fmt.Errorf("settings: %s is negative", d.name)
		}
	}
	if !isFraction(s.SlowStartMin) {
		return errors.New("settings: SlowStartMin is not from 0 to 1")
	}
	if !isFiniteFromZero(s.CollapseMultiple) {
		return errors.New("settings: CollapseMultiple is not a number from 0 on")
	}
	return nil
}

// isFraction is false for NaN, like isFiniteFromZero.
func isFraction(x float64) bool { return x >= 0 && x <= 1 }

func isFiniteFromZero(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }
