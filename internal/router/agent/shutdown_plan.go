package agent

import "time"

const (
	// acceptAfterSignal is how long new clients are taken after the signal to end: the platform asks every
	// second whether this process is ready, and sends clients until the second no.
	acceptAfterSignal = 2300 * time.Millisecond
	// abortReserve is the part of a long grace that is left when requests are cut off.
	abortReserve = 1300 * time.Millisecond
	// finalAnswerTime bounds how long the clients of requests that are cut off have to get an answer.
	finalAnswerTime = 300 * time.Millisecond
	// shutdownNoticeTimeout bounds how long the others are told that this process ends.
	shutdownNoticeTimeout = 300 * time.Millisecond
	// graceMargin is the part of the grace by which requests go on into its last sixth: the platform's clock and
	// this process's begin at slightly different moments.
	graceMargin = 0.02
)

// shutdownPlan says when what happens after the signal to end, as times since it.
type shutdownPlan struct {
	closeListener time.Duration // no new clients are taken from here on
	abortRequests time.Duration // requests still under way are cut off from their servers
	finishAnswers time.Duration // their clients have had the time to get an answer
	notice        time.Duration // how long the others are told, after that
}

// planShutdown lays the end out within the grace that the platform gives. The rules want that no request
// which a server still works on is cut off before the last sixth of the grace.
func planShutdown(grace time.Duration) shutdownPlan {
	lastSixth := grace*5/6 + time.Duration(graceMargin*float64(grace))
	cutRequests := max(grace-abortReserve, lastSixth)
	answered := cutRequests + min(finalAnswerTime, (grace-cutRequests)/2)
	return shutdownPlan{
		closeListener: min(acceptAfterSignal, grace/3),
		abortRequests: cutRequests,
		finishAnswers: answered,
		notice:        min(shutdownNoticeTimeout, (grace-answered)/2),
	}
}
