package routerstandin

import "fmt"

// Rule names what can be broken, in the words of the system's rules.
type Rule string

// The rules that the stand-ins can see.
const (
	Mixed   Rule = "MIXED"   // an answer is not the request's own, or not whole
	Unasked Rule = "UNASKED" // a server runs what no client sent
	Twice   Rule = "TWICE"   // what must run once runs again
	Refused Rule = "REFUSED" // a refusal promised that the request has not run, and it has
	Denied  Rule = "DENIED"  // proper requests end with a 4xx of the proxy's own
	Route   Rule = "ROUTE"   // a service runs what no configuration lets it run
	Drain   Rule = "DRAIN"   // a server that leaves is sent to for too long
	Lost    Rule = "LOST"    // planned work costs a request that was read
	Config  Rule = "CONFIG"  // an older, a refused or another configuration is in force
	Budget  Rule = "BUDGET"  // too many repeats reach a service
	Order   Rule = "ORDER"   // a stream lacks a piece, has one twice or joins two runs
	Recover Rule = "RECOVER" // nothing is served after all processes were lost and came back
	One     Rule = "ONE"     // two give orders to one server
	Tries   Rule = "TRIES"   // one try is sent to more servers than its route allows
	Acks    Rule = "ACKS"    // a proper change or departure is not acknowledged in time
	Fault   Rule = "FAULT"   // a process of the fleet ended by itself
	// Invariant: a process of the fleet saw a promise broken.
	Invariant Rule = "INVARIANT"
)

// Rules lists all rules in the order in which they are shown.
var Rules = []Rule{
	Mixed, Unasked, Twice, Refused, Denied, Route, Drain, Lost, Config, Budget, Order, Recover, One, Tries, Acks,
	Fault, Invariant,
}

// mostDetails is how many breaks of a rule are told in words.
const mostDetails = 5

// Verdict tells of one rule how often it was broken.
type Verdict struct {
	Rule    Rule     `json:"rule"`
	Breaks  int      `json:"breaks"`
	Details []string `json:"details,omitempty"` // of the first breaks
}

// verdicts counts breaks by rule.
type verdicts map[Rule]*Verdict

func newVerdicts() verdicts {
	v := verdicts{}
	for _, rule := range Rules {
		v[rule] = &Verdict{Rule: rule}
	}
	return v
}

func (v verdicts) broken(rule Rule, format string, args ...any) {
	verdict := v[rule]
	verdict.Breaks++
	if len(verdict.Details) < mostDetails {
		verdict.Details = append(verdict.Details, fmt.Sprintf(format, args...))
	}
}

// list returns a copy in the order of Rules.
func (v verdicts) list() []Verdict {
	var all []Verdict
	for _, rule := range Rules {
		verdict := *v[rule]
		verdict.Details = append([]string(nil), verdict.Details...)
		all = append(all, verdict)
	}
	return all
}
