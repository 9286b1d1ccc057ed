package node

import "time"

const (
	// acceptAfterEnd is how long new clients are taken after the signal to end: the platform asks every second
	// whether this process is ready, and sends clients until the second no.
	acceptAfterEnd = 2300 * time.Millisecond
	// endReserve is the part of the grace that stays free for the process to end by itself.
	endReserve = time.Second
	// lastAnswers is what is left for the answers of requests that are cut off.
	lastAnswers = 300 * time.Millisecond
	// endNoticeTimeout bounds how long the others are told that this process ends.
	endNoticeTimeout = 300 * time.Millisecond
)

// endPlan says when what happens after the signal to end, as times since it.
type endPlan struct {
	closeListener time.Duration // no new clients are taken from here on
	cutRequests   time.Duration // requests still under way are cut off from their servers
	answered      time.Duration // their clients have had the time to get an answer
	notice        time.Duration // how long the others are told, after that
}

// planEnd lays the end out within the grace that the platform gives.
func planEnd(grace time.Duration) endPlan {
	answered := grace - endReserve
	return endPlan{
		closeListener: min(acceptAfterEnd, grace/3),
		cutRequests:   answered - lastAnswers,
		answered:      answered,
		notice:        endNoticeTimeout,
	}
}
