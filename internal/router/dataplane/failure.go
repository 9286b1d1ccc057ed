package dataplane

import (
	"context"
	"errors"
	"os"
	"syscall"

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

// callFailure describes a call that did not bring the complete response.
type callFailure struct {
	outcome   scheduler.Outcome
	execution execution
	response  *bufferedResponse // the server's own error, forwarded if nothing more is tried
	// a reused connection ended before a byte of the response: no fault of the server
	staleConnection bool
}

// handleConsumed reports whether the prefix cache that the call named may have been taken.
func (f *callFailure) handleConsumed() bool {
	return f.execution == mayHaveRun || f.outcome == scheduler.HandleFailed
}

// failureFrom returns how a call failed whose request was sent, completely or in part.
func (c *call) failureFrom(err error) *callFailure {
	failure := c.brokenFailure()
	c.reportSuspect(err)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		failure.outcome = scheduler.TimedOut
		if !c.conn.TimedOut() { // this process did not run for a part of the time, which says nothing of the server
			failure.outcome = scheduler.Abandoned
		}
		return failure
	}
	if c.conn.reused && !c.responseStarted && !errors.As(err, new(*http1.MalformedError)) {
		failure.staleConnection, failure.outcome = true, scheduler.Abandoned
	}
	return failure
}

// reportSuspect reports the server where an error shows that its machine or process is down.
func (c *call) reportSuspect(err error) {
	timedOut := errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, context.DeadlineExceeded)
	if c.roundTrip.stopReason() == notStopped && (timedOut || errors.Is(err, syscall.ECONNREFUSED)) {
		c.roundTrip.proxy.state.Suspect(c.choice.Server.ID)
	}
}

// brokenFailure is the failure of a call whose connection ended, or whose response is unusable.
func (c *call) brokenFailure() *callFailure {
	return &callFailure{outcome: scheduler.Broken, execution: mayHaveRun}
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
