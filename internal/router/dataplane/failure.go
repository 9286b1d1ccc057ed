package dataplane

import (
	"cresshub/internal/http1"
	"cresshub/internal/router/scheduler"
)

// execution is what is known of whether a call's request has run.
type execution int

// The states of execution, the worst last.
const (
	notSent    execution = iota // no byte left this process
	notRun                      // the server says that it did not run it
	mayHaveRun                  // bytes were sent, and nothing says that it did not run
)

// retryIsSafe reports whether the request may be sent again after a call that ended so.
func retryIsSafe(idempotent bool, worst execution) bool { return idempotent || worst != mayHaveRun }

// finalStatus is the status of the proxy's own response where nothing more is tried. 503 promises that the
// request has not run and never will; 502 and 504 promise nothing.
func finalStatus(worst execution, late bool) int {
	switch {
	case worst != mayHaveRun:
		return 503
	case late:
		return 504
	}
	return 502
}

// callFailure describes a call that did not bring the complete response.
type callFailure struct {
	outcome   scheduler.Outcome
	execution execution
	response  *bufferedResponse // the server's own error, forwarded if nothing more is tried
	// a reused connection ended before a byte of the response: no fault of the server
	staleConnection bool
}

// handleConsumed reports whether the prefix cache that the call named may have been taken.
func (failure *callFailure) handleConsumed() bool {
	return failure.execution == mayHaveRun || failure.outcome == scheduler.HandleFailed
}

// reportReplaced reports that another incarnation may have the server's address. Model servers are exempt:
// one that has changed its role answers in the same way.
func (c *call) reportReplaced() {
	if c.roundTrip.request.service.Engine == nil {
		c.roundTrip.proxy.state.ReportReplaced(c.choice.Server.ID)
	}
}

// rejectionOutcome distinguishes a server that could not fetch the prefix cache from one that is full.
func (c *call) rejectionOutcome(head *http1.Response) scheduler.Outcome {
	load, ok := parseLoad(head.Header.Get(loadHeader))
	full := ok && (load.Waiting > 0 || load.Running >= load.Slots)
	if c.role == scheduler.Decode && !full {
		return scheduler.HandleFailed
	}
	return scheduler.Rejected
}
