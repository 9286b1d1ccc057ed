package chain

import "github.com/anishathalye/porcupine"

// retry repeats one of the client's earlier writes, or asks by its digest whether it was committed, at a
// random machine.
func (c *simClient) retry() {
	world := c.world
	input := c.retryable[world.random.Intn(len(c.retryable))]
	onReply := func(reply Reply) {
		world.checkRetry(input, reply)
		c.scheduleNext()
	}
	if world.random.Intn(2) == 0 {
		change := ChangeID{input.expected, input.version, digestOfBody([]byte(input.body))}
		c.drawMachine().confirm(change, onReply)
		return
	}
	proposal := Proposal{input.expected, input.version, []byte(input.body)}
	c.drawMachine().request(&proposal, onReply)
}

// checkRetry checks the reply to a retry. A write may be acknowledged only if it was committed, and
// rejected only if it was not. Once the register has passed the expected version a rejection is final: the
// write must not be committed later.
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

// recordRetryApplied records that a retry was acknowledged, so that the write was committed before now.
func (w *simWorld) recordRetryApplied(input simInput, reply Reply) {
	h := &w.history
	if _, ok := h.committed[input.body]; !ok || h.rejected[input.body] {
		w.failf("%q is acknowledged, committed %v, rejected %v", input.body, ok, h.rejected[input.body])
	}
	if reply.Entry.Version > input.version {
		h.replacedRetries++
	}
	for i := range h.operations {
		operation := &h.operations[i]
		if operation.Input.(simInput) == input && operation.Output.(simOutput).outcome == Unavailable {
			*operation = porcupine.Operation{ClientId: operation.ClientId, Input: input, Call: operation.Call,
				Output: simOutput{outcome: Applied}, Return: int64(w.now)}
		}
	}
}
