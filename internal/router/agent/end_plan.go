package agent

import "time"

const (
	// acceptAfterEnd is how long new clients are taken after the signal to end: the platform asks every second
	// whether this process is ready, and sends clients until the second no.
	acceptAfterEnd = 2300 * time.Millisecond
	// endReserve is the part of a long grace that is left when requests are cut off.
	endReserve = 1300 * time.Millisecond
	// lastAnswers bounds how long the clients of requests that are cut off have to get an answer.
	lastAnswers = 300 * time.Millisecond
	// endNoticeTimeout bounds how long the others are told that this process ends.
	endNoticeTimeout = 300 * time.Millisecond
	// endMargin is the part of the grace by which requests go on into its last sixth: the platform's clock and
	// this process's begin at slightly different moments.
	endMargin = 0.02
)

// endPlan says when what happens after the signal to end, as times since it.
type endPlan struct {
	closeListener time.Duration // no new clients are taken from here on
	cutRequests   time.Duration // requests still under way are cut off from their servers
	answered      time.Duration // their clients have had the time to get an answer
	notice        time.Duration // how long the others are told, after that
}

// planEnd lays the end out within the grace that the platform gives. The rules want that no request which a
// server still works on is cut off before the last sixth of the grace.
func planEnd(grace time.Duration) endPlan {
	lastSixth := grace*5/6 + time.Duration(endMargin*float64(grace))
	cutRequests := max(grace-endReserve, lastSixth)
	answered := cutRequests + min(lastAnswers, (grace-cutRequests)/2)
	return endPlan{
		closeListener: min(acceptAfterEnd, grace/3),
		cutRequests:   cutRequests,
		answered:      answered,
		notice:        min(endNoticeTimeout, (grace-answered)/2),
	}
}
