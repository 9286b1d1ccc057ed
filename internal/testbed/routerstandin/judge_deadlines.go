package routerstandin

import (
	"time"

	"cresshub/internal/router/fleetconfig"
)

const (
	// deadlineMargin is how much later than its client's a deadline that the router passes on may end, and an
	// answer come than at the timeout of its route.
	deadlineMargin = 500 * time.Millisecond
	// maxWrongDeadlines, and one in wrongDeadlinesOneIn arrivals, may have none or one that ends later.
	maxWrongDeadlines   = 20
	wrongDeadlinesOneIn = 5
	// minOverdue and one in overdueOneIn: so many requests past the timeout of their route may be unanswered.
	minOverdue   = 8
	overdueOneIn = 4
)

// judgeDeadlines checks that servers are handed no more time than the client has left; the lock is held.
func (o *Observations) judgeDeadlines() {
	all, wrong := 0, 0
	for _, attempt := range o.attemptsInOrder {
		if attempt.request.Kind.isStream() {
			continue
		}
		for _, a := range attempt.arrivals {
			if !o.inTouch(attempt.machine, attempt.sentAt, a.at) {
				continue
			}
			all++
			if a.deadline.IsZero() || a.deadline.Sub(attempt.deadline) > deadlineMargin {
				wrong++
			}
		}
	}
	if wrong > maxWrongDeadlines && wrong*wrongDeadlinesOneIn > all {
		o.verdicts.record(RuleBudget, "servers were handed more time than was left with %d of %d requests", wrong,
			all)
	}
}

// judgeRouteTimeouts checks that requests are answered by the timeout of their route; the lock is held.
func (o *Observations) judgeRouteTimeouts() {
	late, overdue := 0, 0
	for _, attempt := range o.attemptsInOrder {
		timeout := o.longestTimeout(attempt)
		end := attempt.sentAt.Add(timeout)
		if timeout == 0 || !attempt.endedAt.After(end) || !o.inTouch(attempt.machine, attempt.sentAt, end) {
			continue
		}
		late++
		if o.ranBetween(attempt.sentAt, attempt.endedAt) > timeout+deadlineMargin {
			overdue++
		}
	}
	if overdue >= minOverdue && overdue*overdueOneIn > late {
		o.verdicts.record(RuleConfig,
			"%d of %d requests that lasted longer than the timeout of their route had no answer %v later", overdue,
			late, deadlineMargin)
	}
}

// longestTimeout returns the longest timeout that a configuration has for the route of an attempt, 0 for
// none.
func (o *Observations) longestTimeout(attempt *attempt) (timeout time.Duration) {
	var route *fleetconfig.Route
	for _, v := range o.configs {
		if route = routeOf(v.config, attempt.request); route != nil {
			timeout = max(timeout, route.Timeout)
		}
	}
	return timeout
}
