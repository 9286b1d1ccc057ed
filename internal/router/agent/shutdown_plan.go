package agent

import "time"

const (
	// acceptAfterSignal is how long new clients are accepted after SIGTERM: the platform checks every second
	// whether this process is ready, and sends clients until the second check that fails.
	acceptAfterSignal = 2300 * time.Millisecond
	// abortReserve is how long before the end of a long grace period requests are aborted.
	abortReserve = 1300 * time.Millisecond
	// finalAnswerTime bounds how long the clients of aborted requests have to receive an answer.
	finalAnswerTime = 300 * time.Millisecond
	// shutdownNoticeTimeout bounds the announcement of the end.
	shutdownNoticeTimeout = 300 * time.Millisecond
	// graceMargin is the fraction of the grace period by which requests go on into its last sixth: the platform
	// and this process begin to count at slightly different moments.
	graceMargin = 0.02
)

// shutdownPlan is the schedule of a shutdown. All but notice are times since SIGTERM.
type shutdownPlan struct {
	closeListener time.Duration // no new clients are accepted from here on
	abortRequests time.Duration // requests still under way are aborted
	finishAnswers time.Duration // their clients have had the time to receive an answer
	notice        time.Duration // how long the announcement of the end may take, after that
}

// planShutdown returns the schedule for a grace period. The operators require that no request which a server
// still works on is aborted before the last sixth of the grace period.
func planShutdown(grace time.Duration) shutdownPlan {
	lastSixth := grace*5/6 + time.Duration(graceMargin*float64(grace))
	abortRequests := max(grace-abortReserve, lastSixth)
	finishAnswers := abortRequests + min(finalAnswerTime, (grace-abortRequests)/2)
	return shutdownPlan{
		closeListener: min(acceptAfterSignal, grace/3),
		abortRequests: abortRequests,
		finishAnswers: finishAnswers,
		notice:        min(shutdownNoticeTimeout, (grace-finishAnswers)/2),
	}
}
