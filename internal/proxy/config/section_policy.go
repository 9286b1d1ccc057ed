package config

import "time"

// The values of Policy.ReportFrom.
const (
	reportFromProbes    = "probe"
	reportFromResponses = "answers"
	reportFromNone      = "none"
)

// The values of Policy.ValuedBy.
const (
	valuedByRequest = "request"
	valuedByWork    = "work"
)

// effectDeduplicated is the value of Class.Effect for balance.Deduplicated; simwire.Effects has all of them.
const effectDeduplicated = "deduplicated"

// Policy is what the balancer knows about the deployment and what it may do; see package balance.
type Policy struct {
	// rank: index of this instance among all instances. Accepted without effect: no decision depends on which
	// of its peers an instance is.
	Rank int `key:"rank" default:"0" min:"0" max:"1000000"`

	// instances: number of instances that send to these servers, this one included. Accepted without effect:
	// load reports of the servers include what the others send.
	Instances int `key:"instances" default:"1" min:"0" max:"1000000"`

	// hall: hall that this instance runs in, one of halls.
	Hall string `key:"hall" default:"" form:"hall"`

	// tick: time resolution of decisions.
	Tick time.Duration `key:"tick" default:"5ms" min:"0s" max:"10s"`

	// travel: a response is sent at the latest this long before the request's deadline, so that it arrives in
	// time.
	ResponseMargin time.Duration `key:"travel" default:"20ms" min:"0s" max:"10s"`

	// attempts: largest number of attempts for one request.
	MaxAttempts int `key:"attempts" default:"3" min:"0" max:"100"`

	// probes: whether servers may be probed for their load.
	MayProbe bool `key:"probes" default:"true"`

	// cancel: whether attempts may be cancelled by closing their connection.
	MayCancel bool `key:"cancel" default:"true"`

	// duplicate: whether an idempotent request may have two attempts in flight at once (hedging).
	MayHedge bool `key:"duplicate" default:"true"`

	// tell_wait: whether rejections have a Retry-After header.
	SendRetryAfter bool `key:"tell_wait" default:"true"`

	// max_wait: longest time that a Retry-After header gives.
	MaxRetryAfter time.Duration `key:"max_wait" default:"1s" min:"0s" max:"1h"`

	// warm_keys: whether a server does less work for a key of which it has had a recent request, so that
	// requests with the same key are sent to the same servers.
	KeyAffinity bool `key:"warm_keys" default:"false"`

	// report: names of the values in a load report, in their order.
	Report []string `key:"report" default:"active,waiting,cpu"`

	// report_from: what carries load reports: responses to probes (probe), responses to requests (answers), or
	// nothing (none).
	ReportFrom string `key:"report_from" default:"probe" enum:"probe|answers|none"`

	// over_share_worth: value of a request beyond its tenant's share, as a fraction of the value of its class.
	// Accepted without effect: decisions do not count the requests of a tenant.
	OverQuotaValue float64 `key:"over_share_worth" default:"0.1" min:"0"`

	// worth_by: whether the worth of a class is for each request or for each unit of a request's work.
	ValuedBy string `key:"worth_by" default:"request" enum:"request|work"`

	// answer_slack: how long after its deadline a response still counts. Accepted without effect: all responses
	// are sent by the deadline.
	ResponseGrace time.Duration `key:"answer_slack" default:"50ms" min:"0s" max:"1m"`
}

// Drain is the rule for servers that are draining.
type Drain struct {
	// grace: no new request goes to a server later than this after discovery listed it as draining. Accepted
	// without effect: no request goes to a server that is listed as draining.
	Grace time.Duration `key:"grace" default:"1500ms" min:"0s" max:"10m"`
}

// SlowStart is how a server's capacity grows after its start, and under which load the server collapses until
// it has its full capacity.
type SlowStart struct {
	// start: fraction of its full capacity that a server has at least when it starts.
	MinFraction float64 `key:"start" default:"0.12" min:"0" max:"1"`

	// warm_after: a server has its full capacity this long after its start.
	Window time.Duration `key:"warm_after" default:"23s" min:"0s" max:"1h"`

	// fall_multiple: a server that has just started collapses when it gets more than this multiple of its
	// present capacity.
	CollapseMultiple float64 `key:"fall_multiple" default:"4" min:"0"`

	// fall_after: how long a server withstands such a load before it collapses. Accepted without effect: a
	// server that has just started never gets more load than fall_multiple.
	CollapseAfter time.Duration `key:"fall_after" default:"1500ms" min:"0s" max:"1h"`
}

// Prices are the costs that the balancer weighs against value, each as a fraction of the value offered.
type Prices struct {
	// cross_hall: cost, as a fraction of the value offered, if each request crosses once from one hall to
	// another.
	CrossHall float64 `key:"cross_hall" default:"0.03" min:"0"`

	// probe: cost, as such a fraction, if there is one probe for each request.
	Probe float64 `key:"probe" default:"0.01" min:"0"`

	// waste: cost, as such a fraction, if as much work is wasted as was requested. Accepted without effect: a
	// budget that is refilled by successes bounds further attempts.
	Waste float64 `key:"waste" default:"0.04" min:"0"`

	// late_fail: cost, as such a fraction, if all requests fail after their latency target. Accepted without
	// effect: the expected wait decides on a rejection, which comes before any attempt.
	LateFail float64 `key:"late_fail" default:"0.033" min:"0"`
}

// Class is one class of requests.
type Class struct {
	// name: name of the class, as in the requests of clients.
	Name string `key:"name" form:"name"`

	// aim: latency target; a response within this time earns the full worth.
	LatencyTarget time.Duration `key:"aim" min:"1us" max:"24h"`

	// aim_stretch: the latency target grows by this many times the request's expected work.
	TargetPerWork float64 `key:"aim_stretch" default:"0" min:"0"`

	// deadline: how long a client waits for the response, including all its retries; at least aim.
	Deadline time.Duration `key:"deadline" min:"1us" max:"24h"`

	// effect: whether executing a request twice is harmless (idempotent), harmless within the window
	// (deduplicated) or harmful (at_most_once).
	Effect string `key:"effect" enum:"idempotent|deduplicated|at_most_once"`

	// group: which servers drop the second execution of a deduplicated request: all, those of one zone or
	// those of one cell.
	DedupScope string `key:"group" default:"all" enum:"all|zone|cell"`

	// window: how long they drop it after the first execution.
	DedupWindow time.Duration `key:"window" default:"0s" min:"0s" max:"24h"`

	// worth: value of one response within the latency target, relative to other classes.
	Value float64 `key:"worth" default:"1" min:"0"`

	// late_worth: fraction of worth that a response between the latency target and the deadline earns.
	LateValue float64 `key:"late_worth" default:"0" min:"0" max:"1"`

	// stream: whether the response is a stream.
	Stream bool `key:"stream" default:"false"`
}

// Tenant is one of the tenants that share the servers.
type Tenant struct {
	// name: name of the tenant, as in the requests of clients.
	Name string `key:"name" form:"name"`

	// share: fraction of the service; all shares add up to at most 1. Accepted without effect: decisions do not
	// count the requests of a tenant.
	Fraction float64 `key:"share" default:"0" min:"0" max:"1"`

	// quota: requests a second within its share, through all instances. Accepted without effect, for the same
	// reason.
	Quota float64 `key:"quota" default:"0" min:"0"`
}
