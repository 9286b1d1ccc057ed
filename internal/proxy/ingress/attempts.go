package ingress

import (
	"strconv"
	"strings"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/proxy/dispatch"
	"cresshub/internal/proxy/stats"
	"cresshub/internal/proxy/upstream"
)

const readyPath = "/health/ready"

// respond returns the final response to a request: for a health check or an invalid request at once, for any
// other once its attempts have led to one. u is the part of the body that is not buffered, nil if there is
// none.
func (s *Server) respond(c *client, message *http1.Request, u *upload, arrived time.Time) finalResponse {
	if path, _, _ := strings.Cut(message.Target, "?"); path == readyPath {
		return finalResponse{response: s.readiness()}
	}
	request, rejection := s.parse(message, arrived)
	s.startUsage(c, message, request.Class)
	class := s.Stats.Class(request.Class)
	if rejection.rejects() {
		s.countRejected(rejection.status, rejection.reason)
		response := textResponse(rejection.status, rejection.reason, false)
		if rejection.status == http1.StatusMethodNotAllowed {
			response.Header = append(response.Header, http1.Field{Name: "Allow", Value: "GET, HEAD, POST"})
		}
		return finalResponse{response: response, class: class, kind: responseBadGateway}
	}
	id := message.Header.Get(idField)
	if !s.openID(id) {
		s.countRejected(http1.StatusConflict, "X-Request-ID is that of a request in flight")
		response := textResponse(http1.StatusConflict, "a request with this id is open", false)
		return finalResponse{response: response, class: class, kind: responseBadGateway}
	}
	defer s.releaseID(id)
	s.Stats.Received.Inc()
	if u != nil {
		// X-Timeout counts only from the last byte of the body; until it is sent, maxTimeout applies.
		u.timeout, request.Deadline = request.Deadline.Sub(arrived), arrived.Add(maxTimeout)
	} else {
		s.Stats.InProgress.Add(1)
		c.inProgress = true
	}
	s.startLogEntry(c, id, request)
	return s.runAttempts(c, id, request, upstreamMessage(message), u)
}

// upstreamMessage returns a client's message as its attempts send it to servers. Each attempt adds the
// remaining time as its own X-Timeout.
func upstreamMessage(message *http1.Request) *http1.Request {
	return &http1.Request{
		Method: message.Method, Target: message.Target, Body: message.Body, Length: message.Length,
		Header: message.Header.EndToEnd(timeoutField),
	}
}

// readiness returns the response to a health check of this proxy.
func (s *Server) readiness() *http1.Response {
	if !s.Serving() {
		return textResponse(http1.StatusServiceUnavailable, "sending clients away", true)
	}
	return textResponse(http1.StatusOK, "ready", false)
}

// openID records that a request with this id is in flight; it returns false if the id is in use already.
// Servers would treat a second request under the same id as a duplicate, even if another client sent it.
func (s *Server) openID(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openIDs[id] > 0 {
		return false
	}
	s.openIDs[id] = 1
	return true
}

// retainID counts one more use of an id that openID has recorded.
func (s *Server) retainID(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openIDs[id]++
}

// releaseID ends one use of an id. After the last one, openID accepts the id again.
func (s *Server) releaseID(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openIDs[id]--
	if s.openIDs[id] == 0 {
		delete(s.openIDs, id)
	}
}

// attempt is one attempt with its outcome. Done writes the outcome before it reports it to the Decider, and
// the request's goroutine reads it only after a step that follows from the report, so no lock guards it.
type attempt struct {
	upstream.Attempt
	outcome upstream.Outcome
}

// runAttempts carries out the steps that the Decider returns for a request, until one ends it.
func (s *Server) runAttempts(c *client, id string, request dispatch.Request, message *http1.Request,
	u *upload) finalResponse {
	select {
	case <-c.wakeup: // a stale token of the previous request
	default:
	}
	call := s.Decider.Open(request, c)
	if u != nil {
		u.call = call
	}
	var attempts []*attempt
	defer func() {
		for _, a := range attempts {
			a.CancelIfPending()
		}
	}()
	for {
		switch step := s.Decider.NextStep(call); step.Kind {
		case dispatch.Send:
			attempts = append(attempts, s.startAttempt(call, step, id, message, u))
		case dispatch.Cancel:
			attempts[step.Attempt].Cancel()
		default:
			return s.finish(c, u.lastStep(step), attempts, s.Stats.Class(request.Class))
		}
	}
}

// startAttempt starts the attempt of a Send step. The request's id stays in use until the attempt ends, which
// may be after the client has disconnected.
func (s *Server) startAttempt(call *dispatch.Call, step dispatch.Step, id string, message *http1.Request,
	u *upload) *attempt {
	a := &attempt{Attempt: upstream.Attempt{Server: step.Server, Request: message, StartBy: step.StartBy,
		Deadline: step.Deadline}}
	if u != nil {
		a.Upload = attemptUpload{u, step.Attempt}
	}
	number := step.Attempt
	a.Done = func(outcome upstream.Outcome) {
		a.outcome = outcome
		s.releaseID(id)
		if !s.Decider.Report(call, number, outcome.ReportedResult(), outcome.Load) {
			s.Pool.Release(&outcome)
		}
	}
	s.retainID(id)
	s.Pool.Start(&a.Attempt)
	return a
}

// finish counts and logs the outcome of a call, and returns the final response that its last step implies.
func (s *Server) finish(c *client, last dispatch.Step, attempts []*attempt,
	class *stats.ResponseCounters) finalResponse {
	switch last.Kind {
	case dispatch.Answer:
		s.Stats.Served.Inc()
		s.recordOutcome(c, outcomeServed, http1.StatusOK, attempts, last.Attempt)
		outcome := &attempts[last.Attempt].outcome
		outcome.Response.Header = outcome.Response.Header.EndToEnd("X-Server-Load")
		return finalResponse{outcome.Response, outcome, class, responsePassed}
	case dispatch.Reject:
		s.Stats.Rejected.Inc()
		s.recordOutcome(c, outcomeRejected, http1.StatusServiceUnavailable, attempts, len(attempts)-1)
		response := textResponse(http1.StatusServiceUnavailable, "refused", false)
		if last.RetryAfter > 0 {
			wait := strconv.FormatFloat(last.RetryAfter.Seconds(), 'f', 3, 64)
			response.Header = append(response.Header, http1.Field{Name: "Retry-After", Value: wait})
		}
		return finalResponse{response: response, class: class, kind: responseDropped}
	case dispatch.ClientDisconnected:
		s.Stats.ClientDisconnected.Inc()
		s.recordOutcome(c, outcomeClientDisconnected, 0, attempts, len(attempts)-1)
		if last.Attempt >= 0 {
			s.Pool.Release(&attempts[last.Attempt].outcome)
		}
		return finalResponse{}
	}
	s.Stats.Failed.Inc()
	status, reason := http1.StatusBadGateway, "failed"
	if n := len(attempts); n > 0 && attempts[n-1].outcome.Result == dispatch.TimedOut {
		status, reason = http1.StatusGatewayTimeout, "no answer in time"
	}
	s.recordOutcome(c, outcomeFailed, status, attempts, len(attempts)-1)
	return finalResponse{response: textResponse(status, reason, false), class: class, kind: responseBadGateway}
}
