package chain

import "github.com/anishathalye/porcupine"

// retry sends one of the client's earlier writes unchanged, or confirms it by its digest, at a machine it
// draws.
func (c *simClient) retry() {
	world := c.world
	input := c.retryable[world.random.Intn(len(c.retryable))]
	judge := func(reply Reply) {
		world.checkRetry(input, reply)
		c.scheduleNext()
	}
	if world.random.Intn(2) == 0 {
		name := ChangeID{input.expected, input.version, digestOfBody([]byte(input.body))}
		c.machine().confirm(name, judge)
		return
	}
	proposal := Proposal{input.expected, input.version, []byte(input.body)}
	c.machine().request(&proposal, judge)
}

// checkRetry checks the reply to a write that was retried: it is acknowledged if it was ever committed, and
// rejected only if it never was and never will be.
func (w *simWorld) checkRetry(input simInput, reply Reply) {
	_, wasCommitted := w.history.committed[input.body]
	switch reply.Outcome {
	case Applied:
		w.recordRetryApplied(input, reply)
	case Conflict:
		if wasCommitted || reply.Entry.Version > input.expected {
			w.recordRejection(input.body)
		}
	}
}

// recordRetryApplied records that a retried write was acknowledged: it took place before now.
func (w *simWorld) recordRetryApplied(input simInput, reply Reply) {
	h := &w.history
	if _, ok := h.committed[input.body]; !ok || h.rejected[input.body] {
		w.failf("%q is acknowledged, committed %v, rejected %v", input.body, ok, h.rejected[input.body])
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
