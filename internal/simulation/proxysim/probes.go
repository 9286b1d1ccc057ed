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
	report      loadReport
}

// loadReport is what a server reports of its load.
type loadReport struct {
	inFlight    float64 // jobs that run or wait
	queued      float64 // jobs that wait
	utilization float64 // running jobs over cores
}

// row is the report as the module's settings order its fields (Sim.settings).
func (r loadReport) row() []float64 { return []float64{r.inFlight, r.queued, r.utilization} }

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
		answer.report = s.reportLoad(srv)
		if s.scenario.Reports.Model != reportsProbe {
			answer.report.inFlight = s.board.load(s, proxyIndex, serverIndex)
			answer.report.queued = max(answer.report.inFlight-float64(srv.cores), 0)
		}
	}
	s.add(s.now+after, event{kind: evProbeAnswer, target: s.allocAnswer(answer), detail: proxyIndex})
}

// allocAnswer puts an answer into a free slot of the table.
func (s *Sim) allocAnswer(answer probeAnswer) int32 {
	if free := len(s.free.answers); free > 0 {
		answerIndex := s.free.answers[free-1]
		s.free.answers = s.free.answers[:free-1]
		s.answers[answerIndex] = answer
		return answerIndex
	}
	s.answers = append(s.answers, answer)
	return int32(len(s.answers) - 1)
}

// reportLoad is a server's report of its load, which it refreshes at an interval and with noise.
func (s *Sim) reportLoad(srv *server) loadReport {
	if refresh := int64(s.scenario.Reports.Refresh); srv.reportedAt == 0 || s.now-srv.reportedAt >= refresh {
		srv.reportedAt = max(s.now, 1)
		srv.reported = loadReport{
			inFlight: s.noisy(srv.inSystem()), queued: s.noisy(srv.queued()),
			utilization: float64(len(srv.running)) / float64(srv.cores),
		}
	}
	return srv.reported
}

// noisy is a count of jobs with the error of a report.
func (s *Sim) noisy(jobs int) float64 {
	reported := float64(jobs)
	if noise := s.scenario.Reports.Noise; noise > 0 {
		reported *= 1 + noise*(2*s.streams.reports.Float64()-1)
	}
	return math.Round(reported)
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
		row = answer.report.row()
	}
	s.apply(proxyIndex, proxy.agent.Probed(time.Duration(s.now), balance.ProbeResult{
		Server: balance.ServerID(answer.server + 1), Result: answer.result,
		Latency: time.Duration(s.now - answer.sentAt), Report: row,
	}, s.actions[:0]))
}
