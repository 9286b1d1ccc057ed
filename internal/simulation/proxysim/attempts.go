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
func (req *request) attemptToken(number int) uint64 {
	return uint64(req.generation)<<8 | uint64(number)
}

// startAttempt sends a request to a server. The attempt ends after timeout, if that is above 0, or at the
// request's deadline.
func (s *Sim) startAttempt(requestIndex, serverIndex int32, timeout int64) {
	req := &s.requests[requestIndex]
	demand := &s.demands[req.demand]
	number := len(req.attempts)
	until := req.deadline
	if timeout > 0 {
		until = min(until, s.now+timeout)
	}
	req.attempts = append(req.attempts,
		attempt{server: serverIndex, job: -1, sentAt: s.now, until: until, open: true})
	req.open++
	token := req.attemptToken(number)
	proxy, srv := &s.proxies[req.proxy], &s.servers[serverIndex]
	if req.answered || number >= s.scenario.Rules.MaxAttempts || until < s.now {
		s.add(s.now, evAttemptEnd, requestIndex, int32(balance.Skipped), token)
		return
	}
	s.monitor.checkSend(s, req, serverIndex, demand)
	s.tally.countAttempt(proxy.hall != srv.hall)
	way := s.latency(proxy.hall, srv.hall)
	handshake := 0.0
	if !s.reuseConn(req.proxy, serverIndex) {
		switch {
		case srv.unresponsive:
			s.add(min(s.now+int64(s.scenario.Network.DialTimeout), until), evAttemptEnd, requestIndex,
				int32(balance.ConnRefused), token)
			return
		case !srv.up || s.scenario.Servers.MaxConns > 0 && int(srv.conns) >= s.scenario.Servers.MaxConns:
			s.add(s.now+2*way, evAttemptEnd, requestIndex, int32(balance.ConnRefused), token)
			return
		}
		s.tally.handshakes++
		srv.conns++
		handshake = float64(s.scenario.Servers.HandshakeWork)
		way += 2 * s.latency(proxy.hall, srv.hall)
	}
	req.attempts[number].hasConn = true
	jobIndex := s.allocJob(job{
		req: requestIndex, attempt: int32(number), server: serverIndex, incarnation: srv.incarnation,
		work: demand.work, handshake: handshake, key: demand.key,
	})
	req.attempts[number].job = jobIndex
	req.jobs++
	s.add(s.now+way, evServerArrival, jobIndex, 0, 0)
	if s.scenario.Classes[demand.class].Deadline > 0 || timeout > 0 {
		s.add(until, evAttemptEnd, requestIndex, int32(balance.TimedOut), token)
	}
}

// cancelAttempt ends an open attempt at its proxy.
func (s *Sim) cancelAttempt(requestIndex int32, number int) {
	req := &s.requests[requestIndex]
	if number < len(req.attempts) && req.attempts[number].open {
		s.add(s.now, evAttemptEnd, requestIndex, int32(balance.Cancelled), req.attemptToken(number))
	}
}

// attemptEnded handles an outcome of an attempt at its proxy. The first one counts.
func (s *Sim) attemptEnded(requestIndex int32, result balance.Result, token uint64) {
	req := &s.requests[requestIndex]
	number := int(token & 255)
	if !req.used || uint64(req.generation) != token>>8 || !req.attempts[number].open {
		return
	}
	attempt := &req.attempts[number]
	attempt.open = false
	req.open--
	proxyIndex := req.proxy
	proxy := &s.proxies[proxyIndex]
	if attempt.hasConn {
		complete := result == balance.Done || result == balance.Rejected || result == balance.Error
		s.parkConn(proxyIndex, attempt.server, complete)
	}
	if attempt.job >= 0 && (result == balance.TimedOut || result == balance.Cancelled) {
		s.jobs[attempt.job].abandoned = true
	}
	if !proxy.alive || proxy.incarnation != req.incarnation {
		s.releaseRequest(requestIndex)
		return
	}
	wins := result == balance.Done && !req.answered
	if result == balance.Done && !wins {
		s.tally.wasted += s.demands[req.demand].work
	}
	id, server, sent := s.requestID(requestIndex), attempt.server, attempt.sentAt
	s.monitor.record(s, resultNames[result], s.demands[req.demand].number, server)
	if wins {
		s.answerRequest(requestIndex, served, 0)
	} else {
		s.releaseRequest(requestIndex)
	}
	over := wins || !s.requests[requestIndex].used || s.requests[requestIndex].answered
	s.apply(proxyIndex, proxy.agent.Outcome(time.Duration(s.now), balance.Outcome{
		ID: id, Attempt: number, Server: balance.ServerID(server + 1), Result: result, Final: over,
		Latency: time.Duration(s.now - sent),
	}, s.actions[:0]))
}

// resultNames are the words for a trace, by balance.Result.
var resultNames = [...]string{
	"done", "error", "turned away", "timed out", "no connection", "reset", "cancelled", "not sent",
}
