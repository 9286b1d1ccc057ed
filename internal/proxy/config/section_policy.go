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

// Policy is what the balancer knows of the deployment and may do; see package balance.
type Policy struct {
	// rank: number of this instance among all. Accepted without effect: no decision depends on which of its
	// peers an instance is.
	Rank int `key:"rank" default:"0" min:"0" max:"1000000"`

	// instances: instances that send to these servers, this one included. Accepted without effect: load reports
	// of the servers include what the others send.
	Instances int `key:"instances" default:"1" min:"0" max:"1000000"`

	// hall: hall of this instance, one of halls.
	Hall string `key:"hall" default:"" form:"hall"`

	// tick: granularity of decisions.
	Tick time.Duration `key:"tick" default:"5ms" min:"0s" max:"10s"`

	// travel: a request is answered this long before its deadline, so that the response arrives in time.
	ResponseMargin time.Duration `key:"travel" default:"20ms" min:"0s" max:"10s"`

	// attempts: largest number of attempts for one request.
	MaxAttempts int `key:"attempts" default:"3" min:"0" max:"100"`

	// probes: servers may be probed for their load.
	MayProbe bool `key:"probes" default:"true"`

	// cancel: attempts may be cancelled by closing their connection.
	MayCancel bool `key:"cancel" default:"true"`

	// duplicate: an idempotent request may have two attempts under way at once (hedging).
	MayHedge bool `key:"duplicate" default:"true"`

	// tell_wait: rejections carry Retry-After.
	SendRetryAfter bool `key:"tell_wait" default:"true"`

	// max_wait: longest Retry-After.
	MaxRetryAfter time.Duration `key:"max_wait" default:"1s" min:"0s" max:"1h"`

	// warm_keys: a server does less work for a key that it has met lately, so that requests of one key go to
	// the same servers.
	KeyAffinity bool `key:"warm_keys" default:"false"`

	// report: the values in a load report, in their order.
	Report []string `key:"report" default:"active,waiting,cpu"`

	// report_from: what carries load reports: probe for the responses to probes, answers for those to
	// requests, none.
	ReportFrom string `key:"report_from" default:"probe" enum:"probe|answers|none"`

	// over_share_worth: value of a request beyond its tenant's share, as a fraction of its class's. Accepted
	// without effect: decisions do not count what a tenant has had.
	OverQuotaValue float64 `key:"over_share_worth" default:"0.1" min:"0"`

	// worth_by: what the value of a class is for: one request, or one unit of a request's work.
	ValuedBy string `key:"worth_by" default:"request" enum:"request|work"`

	// answer_slack: how long after its deadline a response still counts. Accepted without effect: all responses
	// are sent by the deadline.
	ResponseGrace time.Duration `key:"answer_slack" default:"50ms" min:"0s" max:"1m"`
}

// Drain is the rule on servers that drain.
type Drain struct {
	// grace: no new request goes to a server later than this after discovery listed it as draining. Accepted
	// without effect: none goes there once the list says so.
	Grace time.Duration `key:"grace" default:"1500ms" min:"0s" max:"10m"`
}

// SlowStart is how a server warms up after its start, and what it bears meanwhile.
type SlowStart struct {
	// start: fraction of its capacity that a server has at least when it starts.
	MinFraction float64 `key:"start" default:"0.12" min:"0" max:"1"`

	// warm_after: a server has its full capacity this long after its start.
	Window time.Duration `key:"warm_after" default:"23s" min:"0s" max:"1h"`

	// fall_multiple: a server that has just started collapses when it gets more than this multiple of its
	// present capacity.
	CollapseMultiple float64 `key:"fall_multiple" default:"4" min:"0"`

	// fall_after: how long it bears that before it collapses. Accepted without effect: a server that has just
	// started never gets more than fall_multiple.
	CollapseAfter time.Duration `key:"fall_after" default:"1500ms" min:"0s" max:"1h"`
}

// Prices are what the balancer weighs against value, each as a fraction of the value offered.
type Prices struct {
	// cross_hall: fraction of the value offered that it costs when each request crosses halls once.
	CrossHall float64 `key:"cross_hall" default:"0.03" min:"0"`

	// probe: the same for one probe a request.
	Probe float64 `key:"probe" default:"0.01" min:"0"`

	// waste: the same for as much work wasted as was asked for. Accepted without effect: a budget that successes
	// fill bounds further attempts.
	Waste float64 `key:"waste" default:"0.04" min:"0"`

	// late_fail: the same for all requests failing only after their latency target. Accepted without effect: the
	// expected wait decides on a rejection, which comes before any attempt.
	LateFail float64 `key:"late_fail" default:"0.033" min:"0"`
}

// Class is one class of requests.
type Class struct {
	// name: name of the class, as clients give it.
	Name string `key:"name" form:"name"`

	// aim: latency target: a response this soon earns the full worth.
	LatencyTarget time.Duration `key:"aim" min:"1us" max:"24h"`

	// aim_stretch: the latency target grows by this many times the request's expected work.
	TargetPerWork float64 `key:"aim_stretch" default:"0" min:"0"`

	// deadline: how long a client waits over all its retries; it is beyond aim.
	Deadline time.Duration `key:"deadline" min:"1us" max:"24h"`

	// effect: what a second run of a request does: nothing (idempotent), nothing within the window
	// (deduplicated), or harm (at_most_once).
	Effect string `key:"effect" enum:"idempotent|deduplicated|at_most_once"`

	// group: which servers drop the second run of a deduplicated request: all, those of one zone or those of
	// one cell.
	DedupScope string `key:"group" default:"all" enum:"all|zone|cell"`

	// window: how long they drop it.
	DedupWindow time.Duration `key:"window" default:"0s" min:"0s" max:"24h"`

	// worth: value of one response within its latency target, in relation to other classes.
	Value float64 `key:"worth" default:"1" min:"0"`

	// late_worth: fraction of the worth that a response between latency target and deadline earns.
	LateValue float64 `key:"late_worth" default:"0" min:"0" max:"1"`

	// stream: the response is a stream.
	Stream bool `key:"stream" default:"false"`
}

// Tenant is one of those who share the servers.
type Tenant struct {
	// name: name of the tenant, as clients give it.
	Name string `key:"name" form:"name"`

	// share: fraction of the service; all shares add up to 1 at most. Accepted without effect: decisions do not
	// count what a tenant has had.
	Fraction float64 `key:"share" default:"0" min:"0" max:"1"`

	// quota: requests a second inside its share, through all instances. Accepted without effect: the same.
	Quota float64 `key:"quota" default:"0" min:"0"`
}
