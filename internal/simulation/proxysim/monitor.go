package proxysim

import (
	"fmt"
	"time"
)

// The rules that are checked, by their names in results.
const (
	OneAnswer       = "one_final_answer"
	AtMostOnce      = "never_twice"
	DrainObeyed     = "drain_obeyed"
	SlowStartObeyed = "cold_not_pushed_over"
)

// monitor checks the rules. It retains recent observations, so that a violation is reported with what led to
// it.
type monitor struct {
	violations map[string]int // by rule
	texts      []string       // of the first violations
	strict     bool           // the first violation ends the run
	stop       bool           // the run ends early
	trace      int32          // number of the traced request, 0 for none
	traceLines []string
	ring       [1024]observation // the latest
	recorded   int               // observations in all
}

// observation is an event in the life of a request.
type observation struct {
	at     int64 // virtual time in ns
	what   string
	number int32 // of the request
	server int32 // -1 where none is concerned
}

const (
	maxViolationTexts = 10   // violations reported in words
	maxTraceLines     = 1000 // lines of a traced request
	// serverContext is how many of the latest observations of a violation's server are reported with it.
	serverContext = 20
)

func (m *monitor) init(s *Sim, o Options) {
	m.violations = map[string]int{OneAnswer: 0, AtMostOnce: 0, DrainObeyed: 0, SlowStartObeyed: 0}
	m.strict, m.trace = o.Strict, int32(o.Trace)
}

func (o observation) String() string {
	at := time.Duration(o.at).Round(time.Microsecond)
	if o.server < 0 {
		return fmt.Sprintf("%12s  request %d %s", at, o.number, o.what)
	}
	return fmt.Sprintf("%12s  request %d %s, server %d", at, o.number, o.what, o.server+1)
}

// record adds an observation. Its text is a constant, so that it costs no allocation.
func (m *monitor) record(s *Sim, what string, number, server int32) {
	o := observation{s.now, what, number, server}
	m.ring[m.recorded%len(m.ring)] = o
	m.recorded++
	if m.trace != 0 && number == m.trace && len(m.traceLines) < maxTraceLines {
		m.traceLines = append(m.traceLines, o.String())
	}
}

// recordViolation counts a violation and reports the latest observations of its request and server.
func (m *monitor) recordViolation(s *Sim, rule string, number, server int32) {
	m.violations[rule]++
	if m.strict {
		m.stop = true
	}
	if len(m.texts) >= maxViolationTexts {
		return
	}
	text := fmt.Sprintf("%s broken at %s by request %d", rule, time.Duration(s.now), number)
	for i := max(0, m.recorded-len(m.ring)); i < m.recorded; i++ {
		o := m.ring[i%len(m.ring)]
		if o.number == number || server >= 0 && o.server == server && i > m.recorded-serverContext {
			text += "\n" + o.String()
		}
	}
	m.texts = append(m.texts, text)
}

// checkSend checks an attempt: nothing new goes to a server whose drain or removal the proxy has known for
// longer than the drain grace.
func (m *monitor) checkSend(s *Sim, req *request, serverIndex int32, d *demand) {
	m.record(s, "is sent", d.number, serverIndex)
	withdrawn, ok := s.proxies[req.proxy].withdrawnAt[serverIndex]
	if ok && s.now-withdrawn > int64(s.scenario.Rules.DrainGrace) {
		m.recordViolation(s, DrainObeyed, d.number, serverIndex)
	}
}
