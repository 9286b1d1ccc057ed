package ingress

import (
	"bytes"
	"strconv"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/proxy/dispatch"
	"cresshub/internal/proxy/logging"
	"cresshub/internal/proxy/upstream"
)

// respond finds a request's final answer. What of its body is not kept is in u, nil where that is nothing.
func (s *Server) respond(c *client, q *http1.Request, u *upload, arrived time.Time) finalResponse {
	if path, _, _ := bytes.Cut([]byte(q.Target), []byte("?")); string(path) == readyPath {
		if !s.Serving() {
			return finalResponse{response: textResponse(503, "sending clients away", true)}
		}
		return finalResponse{response: textResponse(200, "ready", false)}
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
	if !s.acquireID(id, true) {
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
	if log := s.requestLog.Load(); log.Allow() {
		c.logEntry = &logging.RequestEntry{Request: id, Class: s.Classes[request.Class]}
		if len(s.Tenants) > 0 {
			c.logEntry.Tenant = s.Tenants[request.Tenant]
		}
	}
	return s.runAttempts(c, id, request,
		&http1.Request{Method: q.Method, Target: q.Target, Body: q.Body, Length: q.Length,
			Header: q.Header.EndToEnd("X-Timeout")}, u)
}

// acquireID notes that an id is in use once more. As the first use of it, it fails where there is another:
// what is sent under an open id is a second copy to the server, whoever sent it.
func (s *Server) acquireID(id string, first bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first && s.openIDs[id] > 0 {
		return false
	}
	s.openIDs[id]++
	return true
}

func (s *Server) releaseID(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openIDs[id]--; s.openIDs[id] == 0 {
		delete(s.openIDs, id)
	}
}

// attempt is one attempt with what came of it. Report orders the writing before the reading.
type attempt struct {
	upstream.Attempt
	outcome upstream.Outcome
}

// runAttempts does what the decisions say until they end the request.
func (s *Server) runAttempts(c *client, id string, request dispatch.Request, message *http1.Request,
	u *upload) finalResponse {
	handled := s.Stats.Class(request.Class)
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
			a := &attempt{Attempt: upstream.Attempt{Server: step.Server, Request: message, StartBy: step.StartBy,
				GiveUpAt: step.GiveUpAt}}
			if u != nil {
				a.Upload = attemptUpload{u, step.Attempt}
			}
			a.Done = func(outcome upstream.Outcome) {
				a.outcome = outcome
				s.releaseID(id)
				if !s.Decider.Report(call, step.Attempt, outcome.Result, outcome.Load) {
					s.Pool.Release(&outcome)
				}
			}
			attempts = append(attempts, a)
			s.acquireID(id, false) // it may outlast its client
			s.Pool.Start(&a.Attempt)
		case dispatch.Cancel:
			attempts[step.Attempt].Cancel()
		case dispatch.Answer:
			s.Stats.Served.Add()
			s.noteOutcome(c, "served", 200, attempts, step.Attempt)
			response := attempts[step.Attempt].outcome.Response
			response.Header = response.Header.EndToEnd("X-Server-Load")
			return finalResponse{response, &attempts[step.Attempt].outcome, &handled.Passed, &handled.Failed}
		case dispatch.Refuse:
			s.Stats.Refused.Add()
			s.noteOutcome(c, "refused", 503, attempts, len(attempts)-1)
			response := textResponse(503, "refused", false)
			if step.RetryAfter > 0 {
				wait := strconv.FormatFloat(step.RetryAfter.Seconds(), 'f', 3, 64)
				response.Header = append(response.Header, http1.Field{Name: "Retry-After", Value: wait})
			}
			return finalResponse{response: response, counter: &handled.Dropped}
		case dispatch.Fail:
			s.Stats.Failed.Add()
			status, reason := 502, "failed"
			if n := len(attempts); n > 0 && attempts[n-1].outcome.Result == dispatch.TimedOut {
				status, reason = 504, "no answer in time"
			}
			s.noteOutcome(c, "failed", status, attempts, len(attempts)-1)
			return finalResponse{response: textResponse(status, reason, false), counter: &handled.Failed}
		case dispatch.ClientGone:
			s.Stats.ClientGone.Add()
			s.noteOutcome(c, "gone", 0, attempts, len(attempts)-1)
			if step.Attempt >= 0 {
				s.Pool.Release(&attempts[step.Attempt].outcome)
			}
			return finalResponse{}
		}
	}
}

// noteOutcome notes how a request ended, where it is to be logged; last is the attempt that decided it.
func (s *Server) noteOutcome(c *client, outcome string, status int, attempts []*attempt, last int) {
	if c.logEntry == nil {
		return
	}
	c.logEntry.Outcome, c.logEntry.Status, c.logEntry.Attempts = outcome, status, len(attempts)
	if last >= 0 {
		c.logEntry.Server = s.Name(attempts[last].Server)
	}
}

// logRequest writes the request's line, once its answer is out.
func (s *Server) logRequest(c *client, arrived time.Time) {
	if c.logEntry == nil {
		return
	}
	c.logEntry.Took = time.Since(arrived)
	if log := s.requestLog.Load(); log != nil {
		log.Write(*c.logEntry)
	}
	c.logEntry = nil
}
