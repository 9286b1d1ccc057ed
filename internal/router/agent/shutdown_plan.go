package agent

import "time"

const (
	// acceptAfterSignal is how long new clients are accepted after SIGTERM. The platform checks the readiness of
	// this process every second, and stops sending clients at the second check that fails.
	acceptAfterSignal = 2300 * time.Millisecond
	// abortBeforeGraceEnd is how long before the end of a long grace period requests are aborted.
	abortBeforeGraceEnd = 1300 * time.Millisecond
	// finalResponseTime bounds how long the clients of aborted requests have to receive a response.
	finalResponseTime = 300 * time.Millisecond
	// shutdownAnnounceTime bounds the announcement that this process has ended.
	shutdownAnnounceTime = 300 * time.Millisecond
	// Requests are aborted no sooner than graceMarginFraction of the grace period after its last sixth has
	// begun, because the platform and this process start to measure the grace period at slightly different
	// times.
	graceMarginFraction = 0.02
)

// shutdownPlan is the schedule of a shutdown. All fields but announceTimeout are times since SIGTERM.
type shutdownPlan struct {
	closeListenerAt  time.Duration // no new clients are accepted from then on
	abortRequestsAt  time.Duration // requests that are still in flight are aborted
	finalResponsesBy time.Duration // deadline for the responses to the aborted requests
	announceTimeout  time.Duration // bounds the announcement that this process has ended, the last step
}

// planShutdown returns the schedule for a grace period. The operators require that no request that a server
// is still processing is aborted before the last sixth of the grace period.
func planShutdown(grace time.Duration) shutdownPlan {
	lastSixth := grace*5/6 + time.Duration(graceMarginFraction*float64(grace))
	abortRequestsAt := max(grace-abortBeforeGraceEnd, lastSixth)
	finalResponsesBy := abortRequestsAt + min(finalResponseTime, (grace-abortRequestsAt)/2)
	return shutdownPlan{
		closeListenerAt:  min(acceptAfterSignal, grace/3),
		abortRequestsAt:  abortRequestsAt,
		finalResponsesBy: finalResponsesBy,
		announceTimeout:  min(shutdownAnnounceTime, (grace-finalResponsesBy)/2),
	}
}
