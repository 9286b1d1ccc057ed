package dataplane

import "cresshub/internal/router/scheduler"

// attemptCounter counts the attempts of one request at servers against its route's maximum. The first
// prefill call that a server accepts is not counted; later ones are, and so is each one that a server
// rejects. The first counted attempt is free; each further one is a retry that is charged to the budget.
type attemptCounter struct {
	maxAttempts     int  // the route's limit
	count           int  // counted attempts so far
	paidRetries     int  // retries charged to the budget
	prefillAccepted bool // a server has accepted a prefill call, or may have
	// unpaidPrefills is how many prefill calls may have been accepted by a server, with no response to tell,
	// and are not charged to the budget yet.
	unpaidPrefills int
}

// allows reports whether a call in that role stays within the maximum. A prefill call must leave an attempt
// for the decode call that follows.
func (a *attemptCounter) allows(role scheduler.Role) bool { return a.countAfter(role) <= a.maxAttempts }

// retryCost returns how many retries must be taken from the budget before a call in that role.
func (a *attemptCounter) retryCost(role scheduler.Role) int {
	return max(a.countAfter(role)-1-a.paidRetries, 0) + a.unpaidPrefills
}

// recordPayment records that the cost of a call in that role was taken from the budget.
func (a *attemptCounter) recordPayment(role scheduler.Role) {
	a.paidRetries += a.retryCost(role) - a.unpaidPrefills
	a.unpaidPrefills = 0
}

// countAfter returns the count once the call has been accepted, including the decode call that follows a
// prefill call.
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
