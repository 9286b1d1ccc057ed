package routerstandin

import "fmt"

// Rule names what can be broken, in the words of the system's rules.
type Rule string

// The rules that the stand-ins can see.
const (
	RuleMixed    Rule = "MIXED"   // an answer is not the request's own, or not whole
	RuleUnasked  Rule = "UNASKED" // a server runs what no client sent
	RuleTwice    Rule = "TWICE"   // what must run once runs again
	RuleRefused  Rule = "REFUSED" // a refusal promised that the request has not run, and it has
	RuleDenied   Rule = "DENIED"  // proper requests end with a 4xx of the proxy's own
	RuleRoute    Rule = "ROUTE"   // a service runs what no configuration lets it run
	RuleDrain    Rule = "DRAIN"   // a server that leaves is sent to for too long
	RuleLost     Rule = "LOST"    // planned work costs a request that was read
	RuleConfig   Rule = "CONFIG"  // an older, a refused or another configuration is in force
	RuleBudget   Rule = "BUDGET"  // too many repeats reach a service
	RuleOrder    Rule = "ORDER"   // a stream lacks a piece, has one twice or joins two runs
	RuleRecover  Rule = "RECOVER" // nothing is served after all processes were lost and came back
	RuleOne      Rule = "ONE"     // two give orders to one server
	RuleAttempts Rule = "TRIES"   // one try is sent to more servers than its route allows
	RuleAcks     Rule = "ACKS"    // a proper change or departure is not acknowledged in time
	RuleFault    Rule = "FAULT"   // a process of the fleet ended by itself
	// RuleInvariant: a process of the fleet saw a promise broken.
	RuleInvariant Rule = "INVARIANT"
)

// Rules lists all rules in the order in which they are shown.
var Rules = []Rule{
	RuleMixed, RuleUnasked, RuleTwice, RuleRefused, RuleDenied, RuleRoute, RuleDrain, RuleLost, RuleConfig,
	RuleBudget, RuleOrder, RuleRecover, RuleOne, RuleAttempts, RuleAcks,
	RuleFault, RuleInvariant,
}

// maxDetails is how many breaks of a rule are told in words.
const maxDetails = 5

// Verdict tells of one rule how often it was broken.
type Verdict struct {
	Rule       Rule     `json:"rule"`
	Violations int      `json:"breaks"`
	Details    []string `json:"details,omitempty"` // of the first breaks
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

func (v verdicts) record(rule Rule, format string, args ...any) {
	verdict := v[rule]
	verdict.Violations++
	if len(verdict.Details) < maxDetails {
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
