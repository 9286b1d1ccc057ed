package routerstandin

import (
	"fmt"
	"strings"
)

// runApplication does the work of an application server: it waits, and answers with a body that names the
// run.
func (x *exchange) runApplication() {
	if problem := x.takePlace(); problem != "" {
		x.reject(503, problem)
		return
	}
	defer x.server.places.release()
	defer x.begin()()
	if x.treatment == Sheds {
		x.reject(503, "shed")
		return
	}
	if x.pastDeadline() {
		x.reject(503, deadlineReason)
		return
	}
	observations := x.server.options.Observations
	run := observations.startRun(x.arrival, 0, false)
	x.server.tally.count(func(t *ServerTally) { t.Runs++ })
	if !x.pause(x.slowed(x.server.options.Work)) {
		x.abandon()
		return
	}
	if x.spoils(run.stamp) {
		return
	}
	if x.treatment == CutsAnswers {
		x.sendCut(run.body, run.stamp)
		return
	}
	x.send(200, []byte(run.body), field(stampHeader, run.stamp))
	if x.treatment == AnswersTwice {
		x.sendAgain(run.stamp)
	}
}

// bodyOf returns the body of a run's answer: one that no other run has.
func bodyOf(run *run, size int) string {
	line := fmt.Sprintf("run %d of %s\n", run.number, run.try.id)
	return line + strings.Repeat(".", max(size-len(line), 0))
}
