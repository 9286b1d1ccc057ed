package chain

import "github.com/anishathalye/porcupine"

// again sends one of the client's earlier writes unchanged, or asks for it by name, at a machine it draws.
func (s *simClient) again() {
	w := s.world
	input := s.sent[w.random.Intn(len(s.sent))]
	judge := func(reply Reply) {
		w.judgeAgain(input, reply)
		s.next()
	}
	if w.random.Intn(2) == 0 {
		name := ChangeName{input.expected, input.version, digestOfBody([]byte(input.body))}
		s.machine().confirm(name, judge)
		return
	}
	proposal := Proposal{input.expected, input.version, []byte(input.body)}
	s.machine().request(&proposal, judge)
}

// judgeAgain checks the answer to a write that was sent again: it is acknowledged if it was ever in force,
// and refused only if it never was and never will be.
func (w *simWorld) judgeAgain(input simInput, reply Reply) {
	_, wasInForce := w.history.committed[input.body]
	switch reply.Outcome {
	case Applied:
		w.acknowledgeAgain(input, reply)
	case Conflict:
		if wasInForce || reply.Entry.Version > input.expected {
			w.refuse(input.body)
		}
	}
}

// acknowledgeAgain notes that a write was acknowledged when it was sent again: it took place before now.
func (w *simWorld) acknowledgeAgain(input simInput, reply Reply) {
	h := &w.history
	if _, found := h.committed[input.body]; !found || h.refused[input.body] {
		w.fail("%q is acknowledged, in force %v, refused %v", input.body, found, h.refused[input.body])
	}
	if reply.Entry.Version > input.version {
		h.replaced++
	}
	for i := range h.operations {
		one := &h.operations[i]
		if one.Input.(simInput) == input && one.Output.(simOutput).outcome == Unavailable {
			*one = porcupine.Operation{ClientId: one.ClientId, Input: input, Call: one.Call,
				Output: simOutput{outcome: Applied}, Return: int64(w.now)}
		}
	}
}
