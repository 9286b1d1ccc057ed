package proxysim

import (
	"math"
	"time"

	"cresshub/balance"
)

// probeAnswer is the answer to a probe, on its way back.
type probeAnswer struct {
	server, incarnation int32
	sentAt              int64
	res                 balance.Result
	report              [3]float64
}

// probeServer handles a probe at its server. Under a model of the literature the answer is that of the board.
func (s *Sim) probeServer(to, i, incarnation int32) {
	v := &s.servers[to]
	p := &s.proxies[i]
	way := s.latency(v.hall, p.hall)
	a := probeAnswer{server: to, incarnation: incarnation, sentAt: s.now - way}
	after := way
	switch {
	case v.unresponsive:
		a.res, after = balance.TimedOut, int64(s.scenario.Network.DialTimeout)
	case !v.up:
		a.res = balance.ConnRefused
	default:
		v.probeWork += float64(s.scenario.Reports.ProbeWork)
		if a.report = s.loadReport(v); s.scenario.Reports.Model != "probe" {
			a.report[0] = s.board.load(s, i, to)
			a.report[1] = max(a.report[0]-float64(v.cores), 0)
		}
	}
	n := int32(len(s.answers))
	if k := len(s.free.answers); k > 0 {
		n = s.free.answers[k-1]
		s.free.answers = s.free.answers[:k-1]
		s.answers[n] = a
	} else {
		s.answers = append(s.answers, a)
	}
	s.add(s.now+after, evProbeAnswer, n, i, 0)
}

// loadReport is a server's report of its load, which it refreshes at an interval and with noise.
func (s *Sim) loadReport(v *server) [3]float64 {
	if refresh := int64(s.scenario.Reports.Refresh); v.reportedAt == 0 || s.now-v.reportedAt >= refresh {
		v.reportedAt = max(s.now, 1)
		noise := func(x float64) float64 {
			if s.scenario.Reports.Noise > 0 {
				x *= 1 + s.scenario.Reports.Noise*(2*s.streams.reports.Float64()-1)
			}
			return math.Round(x)
		}
		v.reported = [3]float64{noise(float64(v.inSystem())), noise(float64(v.queued())),
			float64(len(v.running)) / float64(v.cores)}
	}
	return v.reported
}

// probeAnswered handles the answer to a probe at its proxy.
func (s *Sim) probeAnswered(n, i int32) {
	a := s.answers[n]
	s.free.answers = append(s.free.answers, n)
	p := &s.proxies[i]
	if !p.alive || p.incarnation != a.incarnation {
		return
	}
	var row []float64
	if a.res == balance.Done {
		row = a.report[:]
	}
	s.apply(i, p.agent.Probed(time.Duration(s.now), balance.ProbeResult{
		Server: balance.ServerID(a.server + 1), Result: a.res,
		Latency: time.Duration(s.now - a.sentAt), Report: row,
	}, s.actions[:0]))
}
