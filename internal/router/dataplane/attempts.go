package dataplane

import "cresshub/internal/router/scheduler"

// attemptCounter counts the attempts of one request at servers against its route's maximum. The first
// prefill call that a server accepts is not counted; later ones are, as is each one that a server rejects.
// The first counted attempt is free, each further one is a retry that the budget has to pay for.
type attemptCounter struct {
	maxAttempts     int // of the route
	count           int
	paidRetries     int  // taken from the budget
	prefillAccepted bool // a server has accepted, or may have, a prefill call
	// unpaidPrefills are prefill calls that a server may have accepted, or not, and that are not paid for.
	unpaidPrefills int
}

// allows reports whether a call in that role keeps within the maximum. A prefill call needs room for the
// decode call as well.
func (a *attemptCounter) allows(role scheduler.Role) bool { return a.countAfter(role) <= a.maxAttempts }

// retryCost is how many retries have to be taken from the budget before a call in that role.
func (a *attemptCounter) retryCost(role scheduler.Role) int {
	return max(a.countAfter(role)-1-a.paidRetries, 0) + a.unpaidPrefills
}

// recordPayment records that the cost of a call in that role was taken from the budget.
func (a *attemptCounter) recordPayment(role scheduler.Role) {
	a.paidRetries += a.retryCost(role) - a.unpaidPrefills
	a.unpaidPrefills = 0
}

// countAfter is the count once the call, and after a prefill call the decode call, has been accepted.
func (a *attemptCounter) countAfter(role scheduler.Role) int {
	if role == scheduler.Prefill && a.prefillAccepted {
		return a.count + 2
	}
	return a.count + 1
}

// recordAccepted counts a call that a server accepted, or may have.
func (a *attemptCounter) recordAccepted(role scheduler.Role) {
	if role == scheduler.Prefill && !a.prefillAccepted {
		a.prefillAccepted = true
		return
	}
	a.count++
}

// recordRejected counts a call that a server rejected.
func (a *attemptCounter) recordRejected() { a.count++ }
