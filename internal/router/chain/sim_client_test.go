package chain

import (
	"fmt"
	"time"
)

// simMaxAttempts is how many times a client sends a write while its outcome is unknown.
const simMaxAttempts = 3

// simClient makes random reads and writes, one at a time, until a point of virtual time.
type simClient struct {
	world *simWorld
	id    int
	until time.Duration
	// onlyAddress is the address of the only machine that the client calls; empty for a random one.
	onlyAddress string
	// onOutcome, if set, is called with the outcome of each call.
	onOutcome func(Outcome)
	// version is the latest version that the client has observed.
	version int64
	// writes counts the writes that the client has started.
	writes int
	// lastOutcome is the outcome of the last operation that ended.
	lastOutcome Outcome
	// retryable are the writes that the client may send again. A write that was rejected because the register
	// had not reached its expected version isn't among them: sent again, it might be applied.
	retryable []simInput
}

// scheduleNext schedules the client's next operation, after a random delay.
func (c *simClient) scheduleNext() {
	world := c.world
	world.after(time.Duration(world.random.Int63n(int64(300*time.Millisecond))), func() {
		switch {
		case world.now >= c.until:
		case world.random.Intn(2) == 0:
			c.read()
		case len(c.retryable) > 0 && world.random.Intn(4) == 0:
			c.retry()
		default:
			c.write()
		}
	})
}

// drawMachine returns the machine at onlyAddress, or a random one if that is empty.
func (c *simClient) drawMachine() *simMachine {
	world := c.world
	if c.onlyAddress != "" {
		return world.machines[c.onlyAddress]
	}
	return world.machines[world.addresses[world.random.Intn(len(world.addresses))]]
}

// reportOutcome passes an outcome to onOutcome.
func (c *simClient) reportOutcome(outcome Outcome) {
	if c.onOutcome != nil {
		c.onOutcome(outcome)
	}
}

// read reads at a machine that drawMachine selects.
func (c *simClient) read() { c.readAt(c.drawMachine()) }

// readAt reads at a machine and records the result in the history.
func (c *simClient) readAt(machine *simMachine) {
	world, called := c.world, c.world.now
	machine.request(nil, func(reply Reply) {
		c.reportOutcome(reply.Outcome)
		if reply.Outcome == Applied {
			c.version = reply.Entry.Version
		}
		c.lastOutcome = reply.Outcome
		output := simOutput{reply.Outcome, reply.Entry.Version, string(reply.Entry.Body)}
		world.recordReturn(c.id, simInput{}, called, output)
		c.scheduleNext()
	})
}

// write writes at a machine that drawMachine selects. In about one of ten writes the expected version may be
// higher than any that the client has observed.
func (c *simClient) write() {
	world := c.world
	c.writes++
	input := simInput{write: true, expected: c.version, body: fmt.Sprintf("client %d write %d", c.id, c.writes)}
	if world.random.Intn(10) == 0 {
		input.expected += world.random.Int63n(5)
	}
	input.version = input.expected + 1 + world.random.Int63n(3)
	world.recordCall(c.id, input)
	c.attempt(input, world.now, 1, false)
}

// attempt sends a write to a machine that drawMachine selects.
func (c *simClient) attempt(input simInput, called time.Duration, number int, unknown bool) {
	c.attemptAt(c.drawMachine(), input, called, number, unknown)
}

// attemptAt sends a write, and retries it while its outcome is unknown. number is that of the attempt, from
// 1, and unknown means that the outcome of an earlier attempt is unknown. A Conflict is then the outcome of
// the write only if the register has passed the expected version; else the earlier attempt may still be
// committed.
func (c *simClient) attemptAt(
	machine *simMachine, input simInput, called time.Duration, number int, unknown bool,
) {
	world := c.world
	proposal := Proposal{input.expected, input.version, []byte(input.body)}
	machine.request(&proposal, func(reply Reply) {
		c.reportOutcome(reply.Outcome)
		outcome := reply.Outcome
		if outcome == Unavailable && number < simMaxAttempts && world.now < c.until {
			delay := time.Duration(world.random.Int63n(int64(400 * time.Millisecond)))
			world.after(delay, func() { c.attempt(input, called, number+1, true) })
			return
		}
		versionPassed := reply.Entry.Version > input.expected
		if outcome == Conflict && unknown && !versionPassed {
			outcome = Unavailable
		}
		if outcome != Conflict || versionPassed {
			c.retryable = append(c.retryable, input)
		}
		if outcome == Applied {
			c.version = input.version
		}
		c.lastOutcome = outcome
		if reply.Outcome == Conflict {
			c.version = reply.Entry.Version
		}
		world.recordReturn(c.id, input, called, simOutput{outcome: outcome})
		c.scheduleNext()
	})
}
