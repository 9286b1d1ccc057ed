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

// answer finds a request's final answer. What of its body is not kept is in u, nil where that is nothing.
func (s *Server) answer(c *client, q *http1.Request, u *upload, arrived time.Time) final {
	if path, _, _ := bytes.Cut([]byte(q.Target), []byte("?")); string(path) == readyPath {
		if !s.Serving() {
			return final{answer: plain(503, "sending clients away", true)}
		}
		return final{answer: plain(200, "ready", false)}
	}
	r, status, reason := s.parse(q, arrived)
	s.use(c, q, r.Class)
	if status != 0 {
		s.rejected(status, reason)
		a := plain(status, reason, false)
		if status == 405 {
			a.Header = append(a.Header, http1.Field{Name: "Allow", Value: "GET, HEAD, POST"})
		}
		return final{answer: a, count: &s.Count.Class(r.Class).Failed}
	}
	id := q.Header.Get(idField)
	if !s.hold(id, true) {
		s.rejected(409, "id in use")
		return final{answer: plain(409, "a request with this id is open", false),
			count: &s.Count.Class(r.Class).Failed}
	}
	defer s.release(id)
	s.Count.Taken.Add()
	if u != nil {
		// Until its last byte is sent the client's time does not run.
		u.wait, r.Deadline = r.Deadline.Sub(arrived), arrived.Add(longest)
	} else {
		s.Count.InProgress.Add(1)
		c.taken = true
	}
	if log := s.requests.Load(); log.Wants() {
		c.final = &logging.Final{Request: id, Class: s.Classes[r.Class]}
		if len(s.Tenants) > 0 {
			c.final.Tenant = s.Tenants[r.Tenant]
		}
	}
	return s.run(c, id, r, &http1.Request{Method: q.Method, Target: q.Target, Body: q.Body, Length: q.Length,
		Header: q.Header.EndToEnd("X-Timeout")}, u)
}

// hold notes that an id is in use once more. As the first use of it, it fails where there is another: what
// is sent under an open id is a second copy to the server, whoever sent it.
func (s *Server) hold(id string, first bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first && s.open[id] > 0 {
		return false
	}
	s.open[id]++
	return true
}

func (s *Server) release(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[id]--; s.open[id] == 0 {
		delete(s.open, id)
	}
}

// try is one attempt with what came of it. Report orders the writing before the reading.
type try struct {
	upstream.Attempt
	out upstream.Outcome
}

// run does what the decisions say until they end the request.
func (s *Server) run(c *client, id string, r dispatch.Request, message *http1.Request, u *upload) final {
	handled := s.Count.Class(r.Class)
	select {
	case <-c.woken: // left over from the request before
	default:
	}
	call := s.Decider.Open(r, c)
	if u != nil {
		u.call = call
	}
	var tries []*try
	defer func() {
		for _, t := range tries {
			t.Drop()
		}
	}()
	for {
		switch step := s.Decider.Pick(call); step.Kind {
		case dispatch.Send:
			t := &try{Attempt: upstream.Attempt{Server: step.Server, Request: message, By: step.By,
				Until: step.Until}}
			if u != nil {
				t.Upload = uploading{u, step.Attempt}
			}
			t.Done = func(out upstream.Outcome) {
				t.out = out
				s.release(id)
				if !s.Decider.Report(call, step.Attempt, out.Result, out.Load) {
					s.Pool.Release(&out)
				}
			}
			tries = append(tries, t)
			s.hold(id, false) // it may outlast its client
			s.Pool.Start(&t.Attempt)
		case dispatch.Cancel:
			tries[step.Attempt].Cancel()
		case dispatch.Answer:
			s.Count.Served.Add()
			s.ended(c, "served", 200, tries, step.Attempt)
			a := tries[step.Attempt].out.Answer
			a.Header = a.Header.EndToEnd("X-Server-Load")
			return final{a, &tries[step.Attempt].out, &handled.Passed, &handled.Failed}
		case dispatch.Refuse:
			s.Count.Refused.Add()
			s.ended(c, "refused", 503, tries, len(tries)-1)
			a := plain(503, "refused", false)
			if step.Wait > 0 {
				wait := strconv.FormatFloat(step.Wait.Seconds(), 'f', 3, 64)
				a.Header = append(a.Header, http1.Field{Name: "Retry-After", Value: wait})
			}
			return final{answer: a, count: &handled.Dropped}
		case dispatch.Fail:
			s.Count.Failed.Add()
			status, reason := 502, "failed"
			if n := len(tries); n > 0 && tries[n-1].out.Result == dispatch.TimedOut {
				status, reason = 504, "no answer in time"
			}
			s.ended(c, "failed", status, tries, len(tries)-1)
			return final{answer: plain(status, reason, false), count: &handled.Failed}
		case dispatch.Gone:
			s.Count.Gone.Add()
			s.ended(c, "gone", 0, tries, len(tries)-1)
			if step.Attempt >= 0 {
				s.Pool.Release(&tries[step.Attempt].out)
			}
			return final{}
		}
	}
}

// ended notes how a request ended, where it is to be logged; last is the attempt that decided it.
func (s *Server) ended(c *client, outcome string, status int, tries []*try, last int) {
	if c.final == nil {
		return
	}
	c.final.Outcome, c.final.Status, c.final.Attempts = outcome, status, len(tries)
	if last >= 0 {
		c.final.Server = s.Name(tries[last].Server)
	}
}

// logged writes the request's line, once its answer is out.
func (s *Server) logged(c *client, arrived time.Time) {
	if c.final == nil {
		return
	}
	c.final.Took = time.Since(arrived)
	if log := s.requests.Load(); log != nil {
		log.Write(*c.final)
	}
	c.final = nil
}
