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

// respond parses a request, runs its attempts and returns its final response. u is the part of the body that
// is not buffered, nil if there is none.
func (s *Server) respond(c *client, q *http1.Request, u *upload, arrived time.Time) finalResponse {
	if path, _, _ := strings.Cut(q.Target, "?"); path == readyPath {
		return finalResponse{response: s.readiness()}
	}
	request, status, reason := s.parse(q, arrived)
	s.startUsage(c, q, request.Class)
	if status != 0 {
		s.countRejected(status, reason)
		response := textResponse(status, reason, false)
		if status == 405 {
			response.Header = append(response.Header, http1.Field{Name: "Allow", Value: "GET, HEAD, POST"})
		}
		return finalResponse{response: response, counter: &s.Stats.Class(request.Class).Failed}
	}
	id := q.Header.Get(idField)
	if !s.openID(id) {
		s.countRejected(409, "id in use")
		return finalResponse{response: textResponse(409, "a request with this id is open", false),
			counter: &s.Stats.Class(request.Class).Failed}
	}
	defer s.releaseID(id)
	s.Stats.Received.Add()
	if u != nil {
		// Until its last byte is sent the client's time does not run.
		u.timeout, request.Deadline = request.Deadline.Sub(arrived), arrived.Add(maxTimeout)
	} else {
		s.Stats.InProgress.Add(1)
		c.inProgress = true
	}
	s.startLogEntry(c, id, request)
	return s.runAttempts(c, id, request,
		&http1.Request{Method: q.Method, Target: q.Target, Body: q.Body, Length: q.Length,
			Header: q.Header.EndToEnd(timeoutField)}, u)
}

// readiness is the response to a health check of this proxy.
func (s *Server) readiness() *http1.Response {
	if !s.Serving() {
		return textResponse(503, "sending clients away", true)
	}
	return textResponse(200, "ready", false)
}

// openID records that a request with this id is open; false if the id is in use. Servers take what is sent
// under an id in use for a duplicate, whoever sent it.
func (s *Server) openID(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openIDs[id] > 0 {
		return false
	}
	s.openIDs[id] = 1
	return true
}

// retainID records one more user of an id.
func (s *Server) retainID(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openIDs[id]++
}

func (s *Server) releaseID(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openIDs[id]--; s.openIDs[id] == 0 {
		delete(s.openIDs, id)
	}
}

// attempt is one attempt with its outcome, which its Done writes before it reports to the Decider, and the
// request's goroutine reads after the step that follows from the report.
type attempt struct {
	upstream.Attempt
	outcome upstream.Outcome
}

// runAttempts carries out the steps that the Decider returns for a request, until one ends it.
func (s *Server) runAttempts(c *client, id string, request dispatch.Request, message *http1.Request,
	u *upload) finalResponse {
	select {
	case <-c.wakeup: // left over from the request before
	default:
	}
	call := s.Decider.Open(request, c)
	if u != nil {
		u.call = call
	}
	var attempts []*attempt
	defer func() {
		for _, a := range attempts {
			a.Drop()
		}
	}()
	for {
		switch step := s.Decider.Pick(call); step.Kind {
		case dispatch.Send:
			attempts = append(attempts, s.startAttempt(call, step, id, message, u))
		case dispatch.Cancel:
			attempts[step.Attempt].Cancel()
		default:
			return s.finish(c, step, attempts, s.Stats.Class(request.Class))
		}
	}
}

// startAttempt starts the attempt of a Send. Its id stays in use until it ends, which may be after its client
// is gone.
func (s *Server) startAttempt(call *dispatch.Call, step dispatch.Step, id string, message *http1.Request,
	u *upload) *attempt {
	a := &attempt{Attempt: upstream.Attempt{Server: step.Server, Request: message, StartBy: step.StartBy,
		GiveUpAt: step.GiveUpAt}}
	if u != nil {
		a.Upload = attemptUpload{u, step.Attempt}
	}
	number := step.Attempt
	a.Done = func(outcome upstream.Outcome) {
		a.outcome = outcome
		s.releaseID(id)
		if !s.Decider.Report(call, number, outcome.Result, outcome.Load) {
			s.Pool.Release(&outcome)
		}
	}
	s.retainID(id)
	s.Pool.Start(&a.Attempt)
	return a
}

// finish makes the final response of a call from its last step.
func (s *Server) finish(c *client, last dispatch.Step, attempts []*attempt,
	class *stats.Handled) finalResponse {
	switch last.Kind {
	case dispatch.Answer:
		s.Stats.Served.Add()
		s.recordOutcome(c, "served", 200, attempts, last.Attempt)
		outcome := &attempts[last.Attempt].outcome
		outcome.Response.Header = outcome.Response.Header.EndToEnd("X-Server-Load")
		return finalResponse{outcome.Response, outcome, &class.Passed, &class.Failed}
	case dispatch.Refuse:
		s.Stats.Refused.Add()
		s.recordOutcome(c, "refused", 503, attempts, len(attempts)-1)
		response := textResponse(503, "refused", false)
		if last.RetryAfter > 0 {
			wait := strconv.FormatFloat(last.RetryAfter.Seconds(), 'f', 3, 64)
			response.Header = append(response.Header, http1.Field{Name: "Retry-After", Value: wait})
		}
		return finalResponse{response: response, counter: &class.Dropped}
	case dispatch.ClientGone:
		s.Stats.ClientGone.Add()
		s.recordOutcome(c, "gone", 0, attempts, len(attempts)-1)
		if last.Attempt >= 0 {
			s.Pool.Release(&attempts[last.Attempt].outcome)
		}
		return finalResponse{}
	}
	s.Stats.Failed.Add()
	status, reason := 502, "failed"
	if n := len(attempts); n > 0 && attempts[n-1].outcome.Result == dispatch.TimedOut {
		status, reason = 504, "no answer in time"
	}
	s.recordOutcome(c, "failed", status, attempts, len(attempts)-1)
	return finalResponse{response: textResponse(status, reason, false), counter: &class.Failed}
}
