package dataplane

import (
	"cresshub/internal/http1"
	"cresshub/internal/router/scheduler"
)

// responseClass determines how a server's response is handled.
type responseClass int

const (
	classForward     responseClass = iota // forwarded to the client unchanged
	classRejected                         // the server did not run the request
	classMisdirected                      // another incarnation has the address; it did not run the request
	classServerError                      // the server's own error; forwarded if no further attempt is made
	classUnusable                         // must not be forwarded; the request may have run
)

// responseTraits are the properties of a response that determine its class.
type responseTraits struct {
	status       int
	notRun       bool // it carries Cresshub-Not-Run
	stamped      bool // it carries Cresshub-Server-Stamp
	encoded      bool // it carries Content-Encoding, so the body is not the server's
	endUncertain bool // only the end of the connection delimits it, and a reset would look the same
}

// classify returns the class of a response.
func classify(traits responseTraits) responseClass {
	switch {
	case traits.status == http1.StatusMisdirectedRequest:
		return classMisdirected
	case traits.status == http1.StatusBadRequest && traits.notRun:
		return classForward // another server would reject the request for the same reason
	case traits.notRun:
		return classRejected
	case traits.encoded, traits.endUncertain:
		return classUnusable
	case isSuccess(traits.status) && !traits.stamped:
		return classUnusable
	case traits.status == http1.StatusRequestTimeout, traits.status == http1.StatusTooManyRequests,
		traits.status == http1.StatusServiceUnavailable:
		// To a client these statuses promise that the request has not run, but without Cresshub-Not-Run the
		// server has not promised that.
		return classUnusable
	case isServerError(traits.status):
		return classServerError
	}
	return classForward
}

// isSuccess reports whether a status is in the range 2xx.
func isSuccess(status int) bool { return status/100 == 2 }

// isServerError reports whether a status is a server's own error, 500 or above.
func isServerError(status int) bool { return status >= http1.StatusInternalServerError }

// outcomeOfClass is the outcome that is reported to the scheduler for a response of each class.
var outcomeOfClass = map[responseClass]scheduler.Outcome{
	classForward: scheduler.Served, classRejected: scheduler.Rejected, classMisdirected: scheduler.Misdirected,
	classServerError: scheduler.Failed,
	classUnusable:    scheduler.Broken,
}

// responseTraits returns the properties of a response to this call that determine its class.
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
