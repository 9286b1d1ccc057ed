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

// probeTarget is what a probe requests of a server; the response has its load report.
const probeTarget = "/stats"

// Attempt is one attempt of a request at one server, or a probe. Its fields are set before Start and not
// changed by the caller after.
type Attempt struct {
	Server   dispatch.ServerID
	Request  *http1.Request // without X-Timeout
	Upload   Upload         // what follows Request's Body; nil if that is all
	StartBy  time.Time      // its first byte must be written before; zero if there is no such bound
	Deadline time.Time      // it ends as TimedOut then
	Done     func(Outcome)  // called once, from another goroutine than Start's

	ctx    context.Context
	cancel context.CancelFunc
	probe  bool
	state  atomic.Int32 // attemptPending, attemptStarted or attemptCancelled
}

// The states of an attempt. Of begin and CancelIfPending the first one decides.
const (
	attemptPending   = iota // none of its bytes was written
	attemptStarted          // its first byte may be written
	attemptCancelled        // its request has ended, so it must not start
)

// Upload is the part of a request's body that is not buffered. It can be read once, so one attempt alone has
// it.
type Upload interface {
	// Claim is called before the first Read; false where another attempt has the body.
	Claim() bool
	// Read reads the next bytes. io.EOF ends the body, any other error is the client's.
	Read(p []byte) (int, error)
	// MarkSent is called once, when the last byte is written, and returns until when the response is waited for.
	MarkSent() time.Time
}

// Outcome is how an attempt ended, or that its response has begun. Whoever gets one passes it to
// Pool.Release.
type Outcome struct {
	Result         dispatch.Result
	Response       *http1.Response // nil if none was read
	Stream         *Stream         // what follows Response's Body; nil if that is all
	Load           []float64       // the server's load report; nil if none came
	ProcessStalled bool            // it timed out, but this process did not run for a part of the time

	reserved int // bytes taken from the budget for Response's Body
}

// ReportedResult is the result by which the server is judged: a timeout proves nothing where this process did not
// run.
func (o Outcome) ReportedResult() dispatch.Result {
	if o.ProcessStalled {
		return dispatch.Cancelled
	}
	return o.Result
}

// Cancel aborts the attempt if it is still under way: its connection is closed.
func (a *Attempt) Cancel() { a.cancel() }

// CancelIfPending aborts the attempt if none of it was written: its request has ended, and a server that never got it
// has nothing to cancel.
func (a *Attempt) CancelIfPending() {
	if a.state.CompareAndSwap(attemptPending, attemptCancelled) {
		a.cancel()
	}
}

// initContext sets the context that ends with Cancel or CancelIfPending.
func (a *Attempt) initContext() { a.ctx, a.cancel = context.WithCancel(context.Background()) }

// message is the attempt's request as it is sent now, with the remaining time, in seconds, as X-Timeout.
func (a *Attempt) message(host string) *http1.Request {
	if a.probe {
		return &http1.Request{
			Method: http.MethodGet, Target: probeTarget, Header: http1.Header{{Name: "Host", Value: host}},
		}
	}
	message := *a.Request
	remaining := strconv.FormatFloat(time.Until(a.Deadline).Seconds(), 'f', 3, 64)
	message.Header = append(slices.Clip(message.Header), http1.Field{Name: "X-Timeout", Value: remaining})
	if message.Header.Get("Host") == "" { // HTTP/1.0 may come without one
		message.Header = append(message.Header, http1.Field{Name: "Host", Value: host})
	}
	return &message
}

// method is the method of the attempt's request.
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
		return dispatch.Rejected // too many probes at once are no sign of an unhealthy server; an error would be
	case (unavailable || timedOut) && response.Header.Get("X-Not-Processed") == "1":
		return dispatch.Rejected
	}
	return dispatch.ErrorResponse
}

// receiveFailure is the result of an attempt whose response could not be read because of err.
func (a *Attempt) receiveFailure(err error) dispatch.Result {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return dispatch.TimedOut
	case errors.As(err, new(*http1.MalformedError)):
		// The server is reachable and has read the request: one malformed response doesn't count as a broken
		// connection, which could have the server ejected.
		return a.resultOr(dispatch.ErrorResponse)
	}
	return a.resultOr(dispatch.Reset)
}

// resultOr is the result of an attempt whose connection failed: Cancelled where the attempt was cancelled,
// else otherwise.
func (a *Attempt) resultOr(otherwise dispatch.Result) dispatch.Result {
	if a.ctx.Err() != nil {
		return dispatch.Cancelled
	}
	return otherwise
}
