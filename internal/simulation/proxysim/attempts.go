package proxysim

import (
	"time"

	"cresshub/balance"
)

// attempt is one attempt of a proxy at a server.
type attempt struct {
	server  int32
	job     int32 // at the server, -1 where there is none
	sentAt  int64 // virtual time in ns
	open    bool  // has no outcome yet
	hasConn bool  // uses a connection, which is parked or closed at the end
}

// attemptNumberBits are the low bits of an attempt's token, which hold its number (Rules.MaxAttempts is at
// most 100). Those above are the generation of the request's slot.
const attemptNumberBits = 8

// attemptToken identifies an attempt of a request in events.
func (req *request) attemptToken(number int) uint64 {
	return uint64(req.generation)<<attemptNumberBits | uint64(number)
}

// openAttempt returns the number of the attempt that a token identifies; ok is false where it has ended.
func (req *request) openAttempt(token uint64) (number int, ok bool) {
	number = int(token & (1<<attemptNumberBits - 1))
	isCurrent := req.used && uint64(req.generation) == token>>attemptNumberBits
	return number, isCurrent && req.attempts[number].open
}

// startAttempt sends a request to a server. The attempt ends after timeout, if that is above 0, or at the
// request's deadline.
func (s *Sim) startAttempt(requestIndex, serverIndex int32, timeout int64) {
	req := &s.requests[requestIndex]
	demand := &s.demands[req.demand]
	number := len(req.attempts)
	deadline := req.deadline
	if timeout > 0 {
		deadline = min(deadline, s.now+timeout)
	}
	req.attempts = append(req.attempts, attempt{server: serverIndex, job: -1, sentAt: s.now, open: true})
	req.open++
	token := req.attemptToken(number)
	if req.answered || number >= s.scenario.Rules.MaxAttempts || deadline < s.now {
		s.add(s.now,
			event{kind: evAttemptEnd, target: requestIndex, detail: int32(balance.Skipped), stamp: token})
		return
	}
	s.monitor.checkSend(s, req, serverIndex, demand)
	s.tally.countAttempt(s.proxies[req.proxy].hall != s.servers[serverIndex].hall)
	conn := s.connect(req.proxy, serverIndex, deadline)
	if conn.refused {
		s.add(conn.at,
			event{kind: evAttemptEnd, target: requestIndex, detail: int32(balance.ConnRefused), stamp: token})
		return
	}
	req.attempts[number].hasConn = true
	jobIndex := s.allocJob(job{
		req: requestIndex, attempt: int32(number), server: serverIndex,
		incarnation: s.servers[serverIndex].incarnation,
		work:        demand.work, handshake: conn.handshake, key: demand.key,
	})
	req.attempts[number].job = jobIndex
	req.jobs++
	s.add(conn.at, event{kind: evServerArrival, target: jobIndex})
	if s.scenario.Classes[demand.class].Deadline > 0 || timeout > 0 {
		s.add(deadline,
			event{kind: evAttemptEnd, target: requestIndex, detail: int32(balance.TimedOut), stamp: token})
	}
}

// connection is how an attempt got a connection to its server, or that it got none.
type connection struct {
	refused   bool
	at        int64   // when the request is at the server; of a refused one, when the proxy learns of it
	handshake float64 // work of a new connection, ns on a core of speed 1
}

// connect takes an idle connection to a server, or opens one until the deadline.
func (s *Sim) connect(proxyIndex, serverIndex int32, deadline int64) connection {
	proxy, srv := &s.proxies[proxyIndex], &s.servers[serverIndex]
	way := s.latency(proxy.hall, srv.hall)
	if s.reuseConn(proxyIndex, serverIndex) {
		return connection{at: s.now + way}
	}
	maxConns := s.scenario.Servers.MaxConns
	switch {
	case srv.unresponsive:
		timeout := s.now + int64(s.scenario.Network.DialTimeout)
		return connection{refused: true, at: min(timeout, deadline)}
	case !srv.up || maxConns > 0 && int(srv.conns) >= maxConns:
		return connection{refused: true, at: s.now + 2*way}
	}
	s.tally.handshakes++
	srv.conns++
	way += 2 * s.latency(proxy.hall, srv.hall)
	return connection{at: s.now + way, handshake: float64(s.scenario.Servers.HandshakeWork)}
}

// cancelAttempt ends an open attempt at its proxy.
func (s *Sim) cancelAttempt(requestIndex int32, number int) {
	req := &s.requests[requestIndex]
	if number < len(req.attempts) && req.attempts[number].open {
		token := req.attemptToken(number)
		s.add(s.now,
			event{kind: evAttemptEnd, target: requestIndex, detail: int32(balance.Cancelled), stamp: token})
	}
}

// attemptEnded handles an outcome of an attempt at its proxy. The first one counts.
func (s *Sim) attemptEnded(requestIndex int32, result balance.Result, token uint64) {
	req := &s.requests[requestIndex]
	number, ok := req.openAttempt(token)
	if !ok {
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
	final := wins || !s.requests[requestIndex].used || s.requests[requestIndex].answered
	s.apply(proxyIndex, proxy.agent.Outcome(time.Duration(s.now), balance.Outcome{
		ID: id, Attempt: number, Server: balance.ServerID(server + 1), Result: result, Final: final,
		Latency: time.Duration(s.now - sent),
	}, s.actions[:0]))
}

// resultNames are the words for a trace, by balance.Result.
var resultNames = [...]string{
	"done", "error", "turned away", "timed out", "no connection", "reset", "cancelled", "not sent",
}
