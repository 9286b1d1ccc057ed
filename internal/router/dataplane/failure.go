package dataplane

import (
	"cresshub/internal/http1"
	"cresshub/internal/router/scheduler"
)

// callFailure says how a call ended that did not bring the complete response.
type callFailure struct {
	outcome  scheduler.Outcome
	fate     fate
	response *bufferedResponse // the server's own error, forwarded if nothing more is tried
	// a reused connection ended before a byte of the response: no fault of the server
	staleConnection bool
}

// handleConsumed reports whether the prefix cache that the call named may have been taken.
func (f *callFailure) handleConsumed() bool {
	return f.fate == mayHaveRun || f.outcome == scheduler.HandleFailed
}

// reportReplaced reports that another incarnation may have the server's address. A model server may as well
// have changed its role, so of those nothing is reported.
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
