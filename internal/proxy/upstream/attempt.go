package upstream

import (
	"context"
	"errors"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/proxy/dispatch"
)

// probeTarget is the request target of a probe; the server's load report is in the response.
const probeTarget = "/stats"

// Attempt is one attempt of a request at one server, or a probe. The caller sets the exported fields before
// Start and doesn't change them afterwards.
type Attempt struct {
	Server   dispatch.ServerID
	Request  *http1.Request // without X-Timeout
	Upload   Upload         // the rest of the body after Request.Body; nil if there is none
	StartBy  time.Time      // its first byte must be written before this time; zero for no bound
	Deadline time.Time      // at this time it ends with the result TimedOut
	Done     func(Outcome)  // called once, on a goroutine other than Start's caller

	ctx    context.Context
	cancel context.CancelFunc
	probe  bool
	state  atomic.Int32 // attemptPending, attemptStarted or attemptCancelled
}

// The states of an attempt. Both markStarted and CancelIfPending change attemptPending by compare-and-swap,
// so only the first of them has an effect.
const (
	attemptPending   = iota // none of its bytes has been written
	attemptStarted          // its first byte may be written
	attemptCancelled        // cancelled before its first byte; it must not start
)

// Upload is the part of a request's body that is not buffered. It can be read only once, so only one attempt
// of the request can send it.
type Upload interface {
	// Claim is called before the first Read. It returns false if another attempt has claimed the body.
	Claim() bool
	// Read reads the next bytes. It returns io.EOF at the end of the body; any other error is the client's.
	Read(p []byte) (int, error)
	// MarkSent is called once, when the last byte has been written to the server's connection. It returns the
	// deadline for the response.
	MarkSent() time.Time
}

// Outcome is how an attempt has ended or, with a Stream, how its response has begun. The receiver must pass
// it to Pool.Release.
type Outcome struct {
	Result         dispatch.Result
	Response       *http1.Response // nil if none was read
	Stream         *Stream         // the rest of the body after Response.Body; nil if there is none
	Load           []float64       // values of the server's load report; nil without a valid report
	ProcessStalled bool            // it timed out, but this process was stalled for part of that time

	reserved int // bytes taken from the budget for Response.Body
}

// ReportedResult returns the result by which the server's health is judged. A timeout while this process was
// stalled counts as Cancelled, because it is no evidence against the server.
func (o Outcome) ReportedResult() dispatch.Result {
	if o.ProcessStalled {
		return dispatch.Cancelled
	}
	return o.Result
}

// Cancel aborts the attempt, if it is still in flight, by closing its connection.
func (a *Attempt) Cancel() { a.cancel() }

// CancelIfPending aborts the attempt if none of its bytes has been written. It is called when the request has
// ended: an attempt that no server has received must not be sent any more, and there is nothing to cancel at
// a server. An attempt that has started continues.
func (a *Attempt) CancelIfPending() {
	if a.state.CompareAndSwap(attemptPending, attemptCancelled) {
		a.cancel()
	}
}

// initContext sets the context that Cancel and CancelIfPending cancel.
func (a *Attempt) initContext() { a.ctx, a.cancel = context.WithCancel(context.Background()) }

// message returns the request to send. Its header X-Timeout has the seconds that remain until Deadline.
func (a *Attempt) message(host string) *http1.Request {
	if a.probe {
		return &http1.Request{
			Method: http.MethodGet, Target: probeTarget, Header: http1.Header{{Name: "Host", Value: host}},
		}
	}
	message := *a.Request
	remaining := strconv.FormatFloat(time.Until(a.Deadline).Seconds(), 'f', 3, 64)
	message.Header = append(slices.Clip(message.Header), http1.Field{Name: "X-Timeout", Value: remaining})
	if message.Header.Get("Host") == "" { // HTTP/1.0 requests may lack one
		message.Header = append(message.Header, http1.Field{Name: "Host", Value: host})
	}
	return &message
}

// method returns the HTTP method of the attempt's request.
func (a *Attempt) method() string {
	if a.probe {
		return http.MethodGet
	}
	return a.Request.Method
}

// classify returns the result of an attempt that got a response.
func (a *Attempt) classify(response *http1.Response) dispatch.Result {
	unavailable := response.Status == http1.StatusServiceUnavailable
	timedOut := response.Status == http1.StatusGatewayTimeout
	switch {
	case response.Status == http1.StatusOK:
		return dispatch.Served
	case a.probe && unavailable:
		return dispatch.Rejected // too many probes at once are no fault of the server; ErrorResponse counts as one
	case (unavailable || timedOut) && response.Header.Get("X-Not-Processed") == "1":
		return dispatch.Rejected
	}
	return dispatch.ErrorResponse
}

// receiveErrorResult returns the result of an attempt for which reading the response failed with err.
func (a *Attempt) receiveErrorResult(err error) dispatch.Result {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return dispatch.TimedOut
	case errors.As(err, new(*http1.MalformedError)):
		// The server is reachable and has read the request, so one malformed response doesn't count as a broken
		// connection, for which the server could be ejected.
		return a.cancelledOr(dispatch.ErrorResponse)
	}
	return a.cancelledOr(dispatch.Reset)
}

// cancelledOr returns the result of an attempt whose connection failed: Cancelled if the attempt was
// cancelled, which closes the connection, otherwise the given result.
func (a *Attempt) cancelledOr(otherwise dispatch.Result) dispatch.Result {
	if a.ctx.Err() != nil {
		return dispatch.Cancelled
	}
	return otherwise
}
