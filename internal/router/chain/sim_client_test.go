package chain

import (
	"fmt"
	"time"
)

// simAttempts is how often a client sends a write whose outcome is unknown.
const simAttempts = 3

// simClient reads and writes at random until a time.
type simClient struct {
	world *simWorld
	id    int
	until time.Duration
	// onlyAddress is the address of the only machine that the client calls; empty for any.
	onlyAddress string
	// onOutcome is called with each outcome, if it is set.
	onOutcome func(Outcome)
	// version is the latest one that the client has observed.
	version int64
	writes  int
	// last is the outcome of the last operation.
	last Outcome
	// retryable are the writes that may be sent again: not those rejected for an expected version still to come.
	retryable []simInput
}

// scheduleNext schedules the client's next operation.
func (s *simClient) scheduleNext() {
	w := s.world
	w.after(time.Duration(w.random.Int63n(int64(300*time.Millisecond))), func() {
		switch {
		case w.now >= s.until:
		case w.random.Intn(2) == 0:
			s.read()
		case len(s.retryable) > 0 && w.random.Intn(4) == 0:
			s.retry()
		default:
			s.write()
		}
	})
}

// machine draws a machine.
func (s *simClient) machine() *simMachine {
	w := s.world
	if s.onlyAddress != "" {
		return w.machines[s.onlyAddress]
	}
	return w.machines[w.addresses[w.random.Intn(len(w.addresses))]]
}

// report passes an outcome to onOutcome.
func (s *simClient) report(outcome Outcome) {
	if s.onOutcome != nil {
		s.onOutcome(outcome)
	}
}

// read reads at a machine that it draws.
func (s *simClient) read() { s.readAt(s.machine()) }

// readAt reads at a machine.
func (s *simClient) readAt(m *simMachine) {
	w, called := s.world, s.world.now
	m.request(nil, func(reply Reply) {
		s.report(reply.Outcome)
		if reply.Outcome == Applied {
			s.version = reply.Entry.Version
		}
		s.last = reply.Outcome
		output := simOutput{reply.Outcome, reply.Entry.Version, string(reply.Entry.Body)}
		w.recordReturn(s.id, simInput{}, called, output)
		s.scheduleNext()
	})
}

// write writes at a machine; now and then with an expected version that can't be right.
func (s *simClient) write() {
	w := s.world
	s.writes++
	input := simInput{write: true, expected: s.version, body: fmt.Sprintf("client %d write %d", s.id, s.writes)}
	if w.random.Intn(10) == 0 {
		input.expected += w.random.Int63n(5)
	}
	input.version = input.expected + 1 + w.random.Int63n(3)
	w.recordCall(s.id, input)
	s.attempt(input, w.now, 1, false)
}

// attempt sends a write to a machine that it draws.
func (s *simClient) attempt(input simInput, called time.Duration, number int, unknown bool) {
	s.attemptAt(s.machine(), input, called, number, unknown)
}

// attemptAt sends a write, and retries it while the outcome is unknown. A conflict ends it, unless an
// earlier attempt can still be committed.
func (s *simClient) attemptAt(
	m *simMachine, input simInput, called time.Duration, number int, unknown bool,
) {
	w := s.world
	proposal := Proposal{input.expected, input.version, []byte(input.body)}
	m.request(&proposal, func(reply Reply) {
		s.report(reply.Outcome)
		outcome := reply.Outcome
		if outcome == Unavailable && number < simAttempts && w.now < s.until {
			delay := time.Duration(w.random.Int63n(int64(400 * time.Millisecond)))
			w.after(delay, func() { s.attempt(input, called, number+1, true) })
			return
		}
		passed := reply.Entry.Version > input.expected
		if outcome == Conflict && unknown && !passed {
			outcome = Unavailable
		}
		if outcome != Conflict || passed {
			s.retryable = append(s.retryable, input)
		}
		if outcome == Applied {
			s.version = input.version
		}
		s.last = outcome
		if reply.Outcome == Conflict {
			s.version = reply.Entry.Version
		}
		w.recordReturn(s.id, input, called, simOutput{outcome: outcome})
		s.scheduleNext()
	})
}
