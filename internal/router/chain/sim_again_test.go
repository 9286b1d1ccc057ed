package chain

import "github.com/anishathalye/porcupine"

// retry sends one of the client's earlier writes unchanged, or asks for it by name, at a machine it draws.
func (s *simClient) retry() {
	w := s.world
	input := s.retryable[w.random.Intn(len(s.retryable))]
	judge := func(reply Reply) {
		w.checkRetry(input, reply)
		s.next()
	}
	if w.random.Intn(2) == 0 {
		name := ChangeID{input.expected, input.version, digestOfBody([]byte(input.body))}
		s.machine().confirm(name, judge)
		return
	}
	proposal := Proposal{input.expected, input.version, []byte(input.body)}
	s.machine().request(&proposal, judge)
}

// checkRetry checks the answer to a write that was sent again: it is acknowledged if it was ever in force,
// and refused only if it never was and never will be.
func (w *simWorld) checkRetry(input simInput, reply Reply) {
	_, wasInForce := w.history.committed[input.body]
	switch reply.Outcome {
	case Applied:
		w.recordRetryApplied(input, reply)
	case Conflict:
		if wasInForce || reply.Entry.Version > input.expected {
			w.recordRejection(input.body)
		}
	}
}

// recordRetryApplied notes that a write was acknowledged when it was sent again: it took place before now.
func (w *simWorld) recordRetryApplied(input simInput, reply Reply) {
	h := &w.history
	if _, ok := h.committed[input.body]; !ok || h.rejected[input.body] {
		w.failf("%q is acknowledged, in force %v, refused %v", input.body, ok, h.rejected[input.body])
	}
	if reply.Entry.Version > input.version {
		h.replacedRetries++
	}
	for i := range h.operations {
		one := &h.operations[i]
		if one.Input.(simInput) == input && one.Output.(simOutput).outcome == Unavailable {
			*one = porcupine.Operation{ClientId: one.ClientId, Input: input, Call: one.Call,
				Output: simOutput{outcome: Applied}, Return: int64(w.now)}
		}
	}
}
