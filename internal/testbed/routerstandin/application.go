package routerstandin

import (
	"fmt"
	"strings"
)

// runApplication does the work of an application server: it waits, and answers with a body that names the
// run.
func (x *exchange) runApplication() {
	if reason := x.acquireSlot(); reason != admitted {
		x.reject(503, reason)
		return
	}
	defer x.server.slots.release()
	defer x.trackWork()()
	if x.misbehaviour == ShedsLoad {
		x.reject(503, reasonLoadShed)
		return
	}
	if x.pastDeadline() {
		x.reject(503, reasonDeadline)
		return
	}
	observations := x.server.options.Observations
	run := observations.startRun(x.arrival, 0, false)
	x.server.tally.count(func(t *ServerTally) { t.Runs++ })
	if !x.wait(x.slowed(x.server.options.WorkTime)) {
		x.abort()
		return
	}
	if x.injectFault(run.stamp) {
		return
	}
	if x.misbehaviour == TruncatesResponses {
		x.sendTruncated(run.body, run.stamp)
		return
	}
	x.send(200, []byte(run.body), field(stampHeader, run.stamp))
	if x.misbehaviour == DuplicatesResponses {
		x.sendDuplicate(run.stamp)
	}
}

// bodyOf returns the body of a run's answer: one that no other run has.
func bodyOf(run *run, size int) string {
	line := fmt.Sprintf("run %d of %s\n", run.number, run.attempt.id)
	return line + strings.Repeat(".", max(size-len(line), 0))
}
