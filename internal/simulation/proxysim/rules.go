package proxysim

import (
	"fmt"
	"time"
)

// The rules that the model watches.
const (
	OneAnswer  = "one_final_answer"
	NeverTwice = "never_twice"
	DrainKept  = "drain_obeyed"
	ColdKept   = "cold_not_pushed_over"
)

// monitor watches the rules. It keeps what happened lately, so that a break can be told with what led to it.
type monitor struct {
	breaks map[string]int
	texts  []string
	strict bool
	stop   bool
	trace  int32
	life   []string // of the traced request
	ring   [1024]fact
	n      int
}

type fact struct {
	at     int64
	what   string
	number int32
	server int32
}

// maxTexts bounds the breaks told in words, maxLife the lines of a traced request.
const (
	maxTexts = 10
	maxLife  = 1000
)

func (m *monitor) init(s *Sim, o Options) {
	m.breaks = map[string]int{OneAnswer: 0, NeverTwice: 0, DrainKept: 0, ColdKept: 0}
	m.strict, m.trace = o.Strict, int32(o.Trace)
}

func (f fact) String() string {
	at := time.Duration(f.at).Round(time.Microsecond)
	if f.server < 0 {
		return fmt.Sprintf("%12s  request %d %s", at, f.number, f.what)
	}
	return fmt.Sprintf("%12s  request %d %s, server %d", at, f.number, f.what, f.server+1)
}

// note keeps a fact; words are constants, so that it costs no allocation.
func (m *monitor) note(s *Sim, what string, number, server int32) {
	f := fact{s.now, what, number, server}
	m.ring[m.n%len(m.ring)] = f
	m.n++
	if m.trace != 0 && number == m.trace && len(m.life) < maxLife {
		m.life = append(m.life, f.String())
	}
}

// broken counts a break and tells the last facts of its request and server.
func (m *monitor) broken(s *Sim, rule string, number, server int32) {
	m.breaks[rule]++
	if m.strict {
		m.stop = true
	}
	if len(m.texts) >= maxTexts {
		return
	}
	text := fmt.Sprintf("%s broken at %s by request %d", rule, time.Duration(s.now), number)
	for i := max(0, m.n-len(m.ring)); i < m.n; i++ {
		if f := m.ring[i%len(m.ring)]; f.number == number || server >= 0 && f.server == server && i > m.n-20 {
			text += "\n" + f.String()
		}
	}
	m.texts = append(m.texts, text)
}

// sent watches a send: nothing new goes to a server whose drain or end was told longer ago than the grace.
func (m *monitor) sent(s *Sim, q *request, to int32, d *demand) {
	m.note(s, "is sent", d.number, to)
	if told, ok := s.proxies[q.proxy].told[to]; ok && s.now-told > int64(s.sc.Rules.Grace) {
		m.broken(s, DrainKept, d.number, to)
	}
}
