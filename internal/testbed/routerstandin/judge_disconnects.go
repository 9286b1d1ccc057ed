package routerstandin

import "time"

const (
	// goneMargin is how long after its client has disconnected a request may reach servers and be worked on.
	goneMargin = 500 * time.Millisecond
	// maxGoneArrivals is how many requests may reach a server later.
	maxGoneArrivals = 3
	// Work may go on later on minGoneWork requests, and on one in goneWorkOneIn of those that were worked on
	// when their clients disconnected.
	minGoneWork   = 3
	goneWorkOneIn = 4
)

// goneCount counts what servers got and did for clients that had disconnected.
type goneCount struct {
	lateArrivals int
	worked       int // requests that were worked on when their clients disconnected
	workedLate   int // those of them that were worked on for over goneMargin more
}

// judgeDisconnects checks that servers neither get nor go on with requests whose clients have disconnected;
// the lock is held.
func (o *Observations) judgeDisconnects() {
	var gone goneCount
	for _, attempt := range o.attemptsInOrder {
		if attempt.leftAt.IsZero() {
			continue
		}
		if o.inTouch(attempt.machine, attempt.sentAt, attempt.leftAt.Add(goneMargin)) {
			o.countGone(&gone, attempt)
		}
	}
	if gone.lateArrivals > maxGoneArrivals {
		o.verdicts.record(RuleGone, "%d requests reached servers over %v after their clients had disconnected",
			gone.lateArrivals, goneMargin)
	}
	if gone.workedLate > minGoneWork && gone.workedLate*goneWorkOneIn > gone.worked {
		o.verdicts.record(RuleGone,
			"servers worked on %d of %d requests over %v after their clients had disconnected", gone.workedLate,
			gone.worked, goneMargin)
	}
}

// countGone counts the arrivals of an attempt whose client has disconnected.
func (o *Observations) countGone(gone *goneCount, attempt *attempt) {
	for _, a := range attempt.arrivals {
		switch {
		case a.at.After(attempt.leftAt):
			if o.ranBetween(attempt.leftAt, a.at) > goneMargin {
				gone.lateArrivals++
			}
		case attempt.mayBeAborted() && !a.endedAt.Before(attempt.leftAt):
			gone.worked++
			if o.ranBetween(attempt.leftAt, a.endedAt) > goneMargin {
				gone.workedLate++
			}
		}
	}
}

// mayBeAborted reports whether a server should stop its work on an attempt whose client has disconnected: one
// that may be repeated, or a stream.
func (a *attempt) mayBeAborted() bool {
	return a.request.Kind.idempotent() || a.request.Kind.isStream()
}
