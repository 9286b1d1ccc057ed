package dataplane

import "cresshub/internal/router/scheduler"

// attemptCounter counts the arrivals of one request at servers. The first call that has the prompt read and
// that a server takes up is no arrival; later ones are, as is each one that a server rejects. The first
// arrival is free, every other one is a repeat that the budget has to pay.
type attemptCounter struct {
	maxAttempts     int // servers that the request may be sent to
	count           int
	paidRetries     int  // repeats taken from the budget
	prefillAccepted bool // a server has taken up, or may have, a call to read the prompt
	// calls to read whose end tells not whether a server took them up, and that nobody paid for
	unpaidPrefills int
}

// allows tells whether a call in that role leaves the request within its servers. A call that reads needs
// room for the one that writes as well.
func (a *attemptCounter) allows(role scheduler.Role) bool { return a.countAfter(role) <= a.maxAttempts }

// retryCost is how many repeats have to be taken from the budget before a call in that role.
func (a *attemptCounter) retryCost(role scheduler.Role) int {
	return max(a.countAfter(role)-1-a.paidRetries, 0) + a.unpaidPrefills
}

// recordPayment notes that the price of a call in that role was taken from the budget.
func (a *attemptCounter) recordPayment(role scheduler.Role) {
	a.paidRetries += a.retryCost(role) - a.unpaidPrefills
	a.unpaidPrefills = 0
}

// countAfter is the number of arrivals once the call, and where it reads the one that writes after it, has
// been taken.
func (a *attemptCounter) countAfter(role scheduler.Role) int {
	if role == scheduler.Prefill && a.prefillAccepted {
		return a.count + 2
	}
	return a.count + 1
}

// recordAccepted counts a call that a server took up, or may have.
func (a *attemptCounter) recordAccepted(role scheduler.Role) {
	if role == scheduler.Prefill && !a.prefillAccepted {
		a.prefillAccepted = true
		return
	}
	a.count++
}

// recordRejected counts a call that a server rejected.
func (a *attemptCounter) recordRejected() { a.count++ }
