package dataplane

import (
	"context"
	"errors"
	"os"
	"syscall"

	"cresshub/internal/http1"
	"cresshub/internal/router/scheduler"
)

// execution is what is known about whether a server has run a call's request.
type execution int

// The states of execution, from the best to the worst.
const (
	notSent    execution = iota // no byte of it left this process
	notRun                      // the server stated that it did not run the request
	mayHaveRun                  // bytes were sent, and the server did not state that the request did not run
)

// callFailure describes a call whose complete response was not forwarded to the client.
type callFailure struct {
	outcome   scheduler.Outcome
	execution execution
	response  *bufferedResponse // the server's own error, forwarded if no further attempt is made
	// staleConnection means that a reused connection ended before the response began, which is no fault of
	// the server.
	staleConnection bool
}

// handleConsumed reports whether the prefix cache that the call's handle refers to may have been fetched, so
// that the handle can't be used again.
func (f *callFailure) handleConsumed() bool {
	return f.execution == mayHaveRun || f.outcome == scheduler.HandleFailed
}

// failureFrom returns the failure of a call that ended with err after its request was sent, at least in part.
func (c *call) failureFrom(err error) *callFailure {
	failure := c.brokenFailure()
	c.reportSuspect(err)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		failure.outcome = scheduler.TimedOut
		if !c.conn.TimedOut() { // this process was stalled for a part of the time: no fault of the server
			failure.outcome = scheduler.Abandoned
		}
		return failure
	}
	if c.conn.reused && !c.headReceived && !errors.As(err, new(*http1.MalformedError)) {
		failure.staleConnection, failure.outcome = true, scheduler.Abandoned
	}
	return failure
}

// reportSuspect reports the server as suspect if the error indicates that its machine or process is down.
func (c *call) reportSuspect(err error) {
	timedOut := errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, context.DeadlineExceeded)
	if c.roundTrip.stopReason() == notStopped && (timedOut || errors.Is(err, syscall.ECONNREFUSED)) {
		c.roundTrip.proxy.state.Suspect(c.choice.Server.ID)
	}
}

// brokenFailure returns the failure of a call whose connection ended, or whose response is unusable.
func (c *call) brokenFailure() *callFailure {
	return &callFailure{outcome: scheduler.Broken, execution: mayHaveRun}
}

// reportReplaced reports that another incarnation may have the server's address. It does not report model
// servers, because one that has changed its role responds in the same way.
func (c *call) reportReplaced() {
	if c.roundTrip.request.service.Engine == nil {
		c.roundTrip.proxy.state.ReportReplaced(c.choice.Server.ID)
	}
}

// rejectionOutcome returns the outcome of a rejected call: HandleFailed if a decode server that is not full
// could not fetch the prefix cache, otherwise Rejected.
func (c *call) rejectionOutcome(head *http1.Response) scheduler.Outcome {
	load, ok := parseLoad(head.Header.Get(loadHeader))
	full := ok && (load.Waiting > 0 || load.Running >= load.Slots)
	if c.role == scheduler.Decode && !full {
		return scheduler.HandleFailed
	}
	return scheduler.Rejected
}
