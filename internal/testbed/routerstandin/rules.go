package routerstandin

import "fmt"

// Rule is a rule of the system, by the name that the operators' pages give it.
type Rule string

// The rules that the stand-ins can observe, each with what violates it.
const (
	RuleMixed    Rule = "MIXED"   // an answer is not the request's own, or incomplete
	RuleUnasked  Rule = "UNASKED" // a server runs what no client sent
	RuleTwice    Rule = "TWICE"   // what must run once runs again
	RuleRefused  Rule = "REFUSED" // a refusal promised that the request has not run, and it has
	RuleDenied   Rule = "DENIED"  // proper requests end with a 4xx of the proxy's own
	RuleRoute    Rule = "ROUTE"   // a service runs what no configuration lets it run
	RuleDrain    Rule = "DRAIN"   // a draining server gets requests for too long
	RuleLost     Rule = "LOST"    // a planned stop loses a request that was read
	RuleConfig   Rule = "CONFIG"  // an older, a rejected or an unknown configuration is in force
	RuleBudget   Rule = "BUDGET"  // the retries to a service exceed the retry budget
	RuleOrder    Rule = "ORDER"   // a stream lacks an event, repeats one or joins two runs
	RuleRecover  Rule = "RECOVER" // nothing is served after all processes were lost and came back
	RuleOne      Rule = "ONE"     // two owners give orders to one server
	RuleAttempts Rule = "TRIES"   // a client's attempt is sent to more servers than its route allows
	RuleAcks     Rule = "ACKS"    // a valid change or drain is not acknowledged in time
	RuleGone     Rule = "GONE"    // servers get or do work for clients that have disconnected
	RuleFault    Rule = "FAULT"   // a process of the fleet ended by itself
	// RuleInvariant is violated where a process of the fleet reports a broken invariant.
	RuleInvariant Rule = "INVARIANT"
)

// Rules lists all rules in the order in which they are shown.
var Rules = []Rule{
	RuleMixed, RuleUnasked, RuleTwice, RuleRefused, RuleDenied, RuleRoute, RuleDrain, RuleLost, RuleConfig,
	RuleBudget, RuleOrder, RuleRecover, RuleOne, RuleAttempts, RuleAcks,
	RuleGone, RuleFault, RuleInvariant,
}

// maxDetails is how many violations of a rule are described.
const maxDetails = 5

// Verdict is how often a rule was violated.
type Verdict struct {
	Rule       Rule     `json:"rule"`
	Violations int      `json:"breaks"`
	Details    []string `json:"details,omitempty"` // of the first violations
}

// CountViolations returns how many violations some verdicts count together.
func CountViolations(rules []Verdict) int {
	sum := 0
	for _, rule := range rules {
		sum += rule.Violations
	}
	return sum
}

// verdicts counts violations by rule.
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
