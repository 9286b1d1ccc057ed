package proxysim

import (
	"fmt"
	"time"
)

// The rules that the model watches.
const (
	OneAnswer       = "one_final_answer"
	AtMostOnce      = "never_twice"
	DrainObeyed     = "drain_obeyed"
	SlowStartObeyed = "cold_not_pushed_over"
)

// monitor watches the rules. It keeps what happened lately, so that a break can be told with what led to it.
type monitor struct {
	violations map[string]int
	texts      []string
	strict     bool
	stop       bool
	trace      int32
	traceLines []string // of the traced request
	ring       [1024]observation
	recorded   int
}

type observation struct {
	at     int64
	what   string
	number int32
	server int32
}

// maxViolationTexts bounds the breaks told in words, maxTraceLines the lines of a traced request.
const (
	maxViolationTexts = 10
	maxTraceLines     = 1000
)

func (m *monitor) init(s *Sim, o Options) {
	m.violations = map[string]int{OneAnswer: 0, AtMostOnce: 0, DrainObeyed: 0, SlowStartObeyed: 0}
	m.strict, m.trace = o.Strict, int32(o.Trace)
}

func (f observation) String() string {
	at := time.Duration(f.at).Round(time.Microsecond)
	if f.server < 0 {
		return fmt.Sprintf("%12s  request %d %s", at, f.number, f.what)
	}
	return fmt.Sprintf("%12s  request %d %s, server %d", at, f.number, f.what, f.server+1)
}

// record keeps a fact; words are constants, so that it costs no allocation.
func (m *monitor) record(s *Sim, what string, number, server int32) {
	f := observation{s.now, what, number, server}
	m.ring[m.recorded%len(m.ring)] = f
	m.recorded++
	if m.trace != 0 && number == m.trace && len(m.traceLines) < maxTraceLines {
		m.traceLines = append(m.traceLines, f.String())
	}
}

// recordViolation counts a break and tells the last facts of its request and server.
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
		if f := m.ring[i%len(m.ring)]; f.number == number || server >= 0 && f.server == server &&
			i > m.recorded-20 {
			text += "\n" + f.String()
		}
	}
	m.texts = append(m.texts, text)
}

// checkSend watches a send: nothing new goes to a server whose drain or end was told longer ago than the
// grace.
func (m *monitor) checkSend(s *Sim, q *request, to int32, d *demand) {
	m.record(s, "is sent", d.number, to)
	if withdrawn, ok := s.proxies[q.proxy].withdrawnAt[to]; ok &&
		s.now-withdrawn > int64(s.scenario.Rules.DrainGrace) {
		m.recordViolation(s, DrainObeyed, d.number, to)
	}
}
