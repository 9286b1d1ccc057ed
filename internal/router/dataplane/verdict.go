package dataplane

import (
	"cresshub/internal/http1"
	"cresshub/internal/router/scheduler"
)

// fate is what is known of whether a call's request has run.
type fate int

// The fates, the worst last.
const (
	notSent    fate = iota // no byte left this process
	notRun                 // the server says that it did not run it
	mayHaveRun             // bytes were sent, and nothing says that it did not run
)

// mayRepeat tells whether the request may be sent again after a call that ended so.
func mayRepeat(idempotent bool, worst fate) bool { return idempotent || worst != mayHaveRun }

// finalStatus is the status of the proxy's own answer where nothing more is tried. 503 promises that the
// request has not run and never will; 502 and 504 promise nothing.
func finalStatus(worst fate, late bool) int {
	switch {
	case worst != mayHaveRun:
		return 503
	case late:
		return 504
	}
	return 502
}

// verdict is what is done with a server's answer.
type verdict int

const (
	pass        verdict = iota // the client gets it as it is
	rejected                   // the server did not run the request
	misdirected                // another incarnation has the address; it did not run the request
	failed                     // the server's own failure; passed on where nothing more is tried
	unusable                   // not to be passed on, and nothing says that the request did not run
)

// traits is what a verdict rests on.
type traits struct {
	status  int
	notRun  bool // it carries Cresshub-Not-Run
	stamped bool // it carries Cresshub-Server-Stamp
	encoded bool // it carries Content-Encoding, so the body is not the server's
	unsure  bool // the end of the connection is its end, and a reset would not be told from it
}

func judge(t traits) verdict {
	switch {
	case t.status == 421:
		return misdirected
	case t.status == 400 && t.notRun:
		return pass // another server would say the same of this request
	case t.notRun:
		return rejected
	case t.encoded, t.unsure:
		return unusable
	case t.status/100 == 2 && !t.stamped:
		return unusable
	case t.status == 408 || t.status == 429 || t.status == 503:
		return unusable // a promise that the server has not made
	case t.status >= 500:
		return failed
	}
	return pass
}

// outcomes tells the decisions how a call with such an answer ended.
var outcomes = map[verdict]scheduler.Outcome{
	pass: scheduler.Served, rejected: scheduler.Rejected, misdirected: scheduler.Misdirected,
	failed:   scheduler.Failed,
	unusable: scheduler.Broken,
}

func (c *call) answerTraits(head *http1.Response, body *http1.Body) traits {
	return traits{
		status: head.Status, notRun: head.Header.Get(notRunHeader) != "",
		stamped: head.Header.Get(stampHeader) != "", encoded: head.Header.Get("Content-Encoding") != "",
		unsure: c.unsent && endsWithConnection(head, body),
	}
}

// endsWithConnection tells whether only the end of the connection ends the body. An orderly end completes
// it, a reset does not.
func endsWithConnection(head *http1.Response, body *http1.Body) bool {
	return body.Length() < 0 && head.Header.Get("Transfer-Encoding") == ""
}
