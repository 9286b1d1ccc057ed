package proxysim

import (
	"time"

	"cresshub/balance"
)

// attempt is one attempt of a proxy at a server.
type attempt struct {
	server  int32
	job     int32 // at the server, -1 where there is none
	sentAt  int64
	until   int64 // its deadline
	open    bool  // has no outcome yet
	hasConn bool
}

// attemptToken identifies an attempt of a request in events.
func (q *request) attemptToken(n int) uint64 { return uint64(q.generation)<<8 | uint64(n) }

// startAttempt sends a request to a server. The attempt ends after timeout, if that is above 0, or at the
// request's deadline.
func (s *Sim) startAttempt(r, to int32, timeout int64) {
	q := &s.requests[r]
	d := &s.demands[q.demand]
	n := len(q.attempts)
	until := q.deadline
	if timeout > 0 {
		until = min(until, s.now+timeout)
	}
	q.attempts = append(q.attempts, attempt{server: to, job: -1, sentAt: s.now, until: until, open: true})
	q.open++
	c := q.attemptToken(n)
	p, sv := &s.proxies[q.proxy], &s.servers[to]
	if q.answered || n >= s.scenario.Rules.MaxAttempts || until < s.now {
		s.add(s.now, evAttemptEnd, r, int32(balance.Skipped), c)
		return
	}
	s.monitor.checkSend(s, q, to, d)
	s.tally.countAttempt(p.hall != sv.hall)
	way := s.latency(p.hall, sv.hall)
	handshake := 0.0
	if !s.reuseConn(q.proxy, to) {
		switch {
		case sv.unresponsive:
			s.add(min(s.now+int64(s.scenario.Network.DialTimeout), until), evAttemptEnd, r,
				int32(balance.ConnRefused), c)
			return
		case !sv.up || s.scenario.Servers.MaxConns > 0 && int(sv.conns) >= s.scenario.Servers.MaxConns:
			s.add(s.now+2*way, evAttemptEnd, r, int32(balance.ConnRefused), c)
			return
		}
		s.tally.handshakes++
		sv.conns++
		handshake = float64(s.scenario.Servers.HandshakeWork)
		way += 2 * s.latency(p.hall, sv.hall)
	}
	q.attempts[n].hasConn = true
	j := s.allocJob(job{req: r, attempt: int32(n), server: to, incarnation: sv.incarnation, work: d.work,
		handshake: handshake,
		key:       d.key})
	q.attempts[n].job = j
	q.jobs++
	s.add(s.now+way, evServerArrival, j, 0, 0)
	if s.scenario.Classes[d.class].Deadline > 0 || timeout > 0 {
		s.add(until, evAttemptEnd, r, int32(balance.TimedOut), c)
	}
}

// cancelAttempt ends an open attempt at its proxy.
func (s *Sim) cancelAttempt(r int32, n int) {
	q := &s.requests[r]
	if n < len(q.attempts) && q.attempts[n].open {
		s.add(s.now, evAttemptEnd, r, int32(balance.Cancelled), q.attemptToken(n))
	}
}

// attemptEnded handles an outcome of an attempt at its proxy. The first one counts.
func (s *Sim) attemptEnded(r int32, res balance.Result, c uint64) {
	q := &s.requests[r]
	n := int(c & 255)
	if !q.used || uint64(q.generation) != c>>8 || !q.attempts[n].open {
		return
	}
	a := &q.attempts[n]
	a.open = false
	q.open--
	i := q.proxy
	p := &s.proxies[i]
	if a.hasConn {
		s.parkConn(i, a.server, res == balance.Done || res == balance.Rejected || res == balance.Error)
	}
	if a.job >= 0 && (res == balance.TimedOut || res == balance.Cancelled) {
		s.jobs[a.job].abandoned = true
	}
	if !p.alive || p.incarnation != q.incarnation {
		s.releaseRequest(r)
		return
	}
	wins := res == balance.Done && !q.answered
	if res == balance.Done && !wins {
		s.tally.wasted += s.demands[q.demand].work
	}
	id, server, sent := s.requestID(r), a.server, a.sentAt
	s.monitor.record(s, resultNames[res], s.demands[q.demand].number, server)
	if wins {
		s.answerRequest(r, served, 0)
	} else {
		s.releaseRequest(r)
	}
	over := wins || !s.requests[r].used || s.requests[r].answered
	s.apply(i, p.agent.Outcome(time.Duration(s.now), balance.Outcome{
		ID: id, Attempt: n, Server: balance.ServerID(server + 1), Result: res, Final: over,
		Latency: time.Duration(s.now - sent),
	}, s.actions[:0]))
}

// resultNames are the words for a trace, by balance.Result.
var resultNames = [...]string{
	"done", "error", "turned away", "timed out", "no connection", "reset", "cancelled", "not sent",
}
