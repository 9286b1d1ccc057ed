package proxysim

import (
	"math"
	"time"

	"cresshub/balance"
)

// probeAnswer is the answer to a probe, on its way back.
type probeAnswer struct {
	server      int32
	incarnation int32          // of the proxy
	sentAt      int64          // virtual time in ns
	result      balance.Result // Done where the server answered
	report      [3]float64     // of its load, see server.reported
}

// probeServer handles a probe at its server. Under a model of the literature the answer is that of the board.
func (s *Sim) probeServer(serverIndex, proxyIndex, incarnation int32) {
	srv := &s.servers[serverIndex]
	proxy := &s.proxies[proxyIndex]
	way := s.latency(srv.hall, proxy.hall)
	answer := probeAnswer{server: serverIndex, incarnation: incarnation, sentAt: s.now - way}
	after := way
	switch {
	case srv.unresponsive:
		answer.result, after = balance.TimedOut, int64(s.scenario.Network.DialTimeout)
	case !srv.up:
		answer.result = balance.ConnRefused
	default:
		srv.probeWork += float64(s.scenario.Reports.ProbeWork)
		if answer.report = s.loadReport(srv); s.scenario.Reports.Model != reportsProbe {
			answer.report[0] = s.board.load(s, proxyIndex, serverIndex)
			answer.report[1] = max(answer.report[0]-float64(srv.cores), 0)
		}
	}
	answerIndex := int32(len(s.answers))
	if free := len(s.free.answers); free > 0 {
		answerIndex = s.free.answers[free-1]
		s.free.answers = s.free.answers[:free-1]
		s.answers[answerIndex] = answer
	} else {
		s.answers = append(s.answers, answer)
	}
	s.add(s.now+after, evProbeAnswer, answerIndex, proxyIndex, 0)
}

// loadReport is a server's report of its load, which it refreshes at an interval and with noise.
func (s *Sim) loadReport(srv *server) [3]float64 {
	if refresh := int64(s.scenario.Reports.Refresh); srv.reportedAt == 0 || s.now-srv.reportedAt >= refresh {
		srv.reportedAt = max(s.now, 1)
		noise := func(x float64) float64 {
			if s.scenario.Reports.Noise > 0 {
				x *= 1 + s.scenario.Reports.Noise*(2*s.streams.reports.Float64()-1)
			}
			return math.Round(x)
		}
		srv.reported = [3]float64{noise(float64(srv.inSystem())), noise(float64(srv.queued())),
			float64(len(srv.running)) / float64(srv.cores)}
	}
	return srv.reported
}

// probeAnswered handles the answer to a probe at its proxy.
func (s *Sim) probeAnswered(answerIndex, proxyIndex int32) {
	answer := s.answers[answerIndex]
	s.free.answers = append(s.free.answers, answerIndex)
	proxy := &s.proxies[proxyIndex]
	if !proxy.alive || proxy.incarnation != answer.incarnation {
		return
	}
	var row []float64
	if answer.result == balance.Done {
		row = answer.report[:]
	}
	s.apply(proxyIndex, proxy.agent.Probed(time.Duration(s.now), balance.ProbeResult{
		Server: balance.ServerID(answer.server + 1), Result: answer.result,
		Latency: time.Duration(s.now - answer.sentAt), Report: row,
	}, s.actions[:0]))
}
