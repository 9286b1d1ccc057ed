package dataplane

import (
	"cresshub/internal/http1"
	"cresshub/internal/router/scheduler"
)

// callFailure says how a call ended that did not bring the whole answer.
type callFailure struct {
	outcome  scheduler.Outcome
	fate     fate
	response *bufferedResponse // the server's own failure, to be passed on where nothing more is tried
	// an idle connection ended before a byte of the answer: no fault of the server
	staleConnection bool
}

// handleConsumed tells whether the memory that the call named may have been taken.
func (f *callFailure) handleConsumed() bool {
	return f.fate == mayHaveRun || f.outcome == scheduler.HandleFailed
}

// reportReplaced hints that another incarnation has the server's address. A model server may as well have
// changed its stage, so of those nothing is said.
func (c *call) reportReplaced() {
	if c.roundTrip.request.service.Engine == nil {
		c.roundTrip.proxy.state.ReportReplaced(c.choice.Server.ID)
	}
}

// rejectionOutcome tells a server that could not fetch the memory from one that is full.
func (c *call) rejectionOutcome(head *http1.Response) scheduler.Outcome {
	load, ok := parseLoad(head.Header.Get(loadHeader))
	full := ok && (load.Waiting > 0 || load.Running >= load.Slots)
	if c.role == scheduler.Decode && !full {
		return scheduler.HandleFailed
	}
	return scheduler.Rejected
}
