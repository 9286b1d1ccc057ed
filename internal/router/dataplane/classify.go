package dataplane

import (
	"cresshub/internal/http1"
	"cresshub/internal/router/scheduler"
)

// responseClass is what is done with a server's response.
type responseClass int

const (
	classForward     responseClass = iota // the client gets it as it is
	classRejected                         // the server did not run the request
	classMisdirected                      // another incarnation has the address; it did not run the request
	classServerError                      // the server's own error; forwarded if nothing more is tried
	classUnusable                         // must not be forwarded, and nothing says that the request did not run
)

// responseTraits is what the class of a response depends on.
type responseTraits struct {
	status       int
	notRun       bool // it carries Cresshub-Not-Run
	stamped      bool // it carries Cresshub-Server-Stamp
	encoded      bool // it carries Content-Encoding, so the body is not the server's
	endUncertain bool // only the connection ends it, and a reset could look the same
}

// classify returns the class of a response.
func classify(traits responseTraits) responseClass {
	switch {
	case traits.status == http1.StatusMisdirectedRequest:
		return classMisdirected
	case traits.status == http1.StatusBadRequest && traits.notRun:
		return classForward // another server would say the same of this request
	case traits.notRun:
		return classRejected
	case traits.encoded, traits.endUncertain:
		return classUnusable
	case isSuccess(traits.status) && !traits.stamped:
		return classUnusable
	case traits.status == http1.StatusRequestTimeout, traits.status == http1.StatusTooManyRequests,
		traits.status == http1.StatusServiceUnavailable:
		return classUnusable // a promise that the server has not made
	case isServerError(traits.status):
		return classServerError
	}
	return classForward
}

// isSuccess reports whether a status is one of success, 2xx.
func isSuccess(status int) bool { return status/100 == 2 }

// isServerError reports whether a status is one of a server's own errors, 500 or above.
func isServerError(status int) bool { return status >= http1.StatusInternalServerError }

// outcomeOfClass is what the scheduler learns of a call with a response of that class.
var outcomeOfClass = map[responseClass]scheduler.Outcome{
	classForward: scheduler.Served, classRejected: scheduler.Rejected, classMisdirected: scheduler.Misdirected,
	classServerError: scheduler.Failed,
	classUnusable:    scheduler.Broken,
}

// responseTraits returns the traits of a response to this call.
func (c *call) responseTraits(response serverResponse) responseTraits {
	header := response.head.Header
	return responseTraits{
		status:       response.head.Status,
		notRun:       header.Get(notRunHeader) != "",
		stamped:      header.Get(stampHeader) != "",
		encoded:      header.Get("Content-Encoding") != "",
		endUncertain: c.partlySent && response.endsWithConnection(),
	}
}
