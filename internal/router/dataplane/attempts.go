package dataplane

import "cresshub/internal/router/scheduler"

// attempts counts the arrivals of one request at servers. The first call that has the prompt read and that a
// server takes up is no arrival; later ones are, as is each one that a server rejects. The first arrival is
// free, every other one is a repeat that the budget has to pay.
type attempts struct {
	most      int // servers that the request may be sent to
	arrivals  int
	paid      int  // repeats taken from the budget
	readTaken bool // a server has taken up, or may have, a call to read the prompt
	owed      int  // calls to read whose end tells not whether a server took them up, and that nobody paid for
}

// permitted tells whether a call in that role leaves the request within its servers. A call that reads needs
// room for the one that writes as well.
func (a *attempts) permitted(role scheduler.Role) bool { return a.after(role) <= a.most }

// price is how many repeats have to be taken from the budget before a call in that role.
func (a *attempts) price(role scheduler.Role) int { return max(a.after(role)-1-a.paid, 0) + a.owed }

// pay notes that the price of a call in that role was taken from the budget.
func (a *attempts) pay(role scheduler.Role) {
	a.paid += a.price(role) - a.owed
	a.owed = 0
}

// after is the number of arrivals once the call, and where it reads the one that writes after it, has been
// taken.
func (a *attempts) after(role scheduler.Role) int {
	if role == scheduler.Prefill && a.readTaken {
		return a.arrivals + 2
	}
	return a.arrivals + 1
}

// taken counts a call that a server took up, or may have.
func (a *attempts) taken(role scheduler.Role) {
	if role == scheduler.Prefill && !a.readTaken {
		a.readTaken = true
		return
	}
	a.arrivals++
}

// rejected counts a call that a server rejected.
func (a *attempts) rejected() { a.arrivals++ }
