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

// machine draws a machine.
func (c *simClient) machine() *simMachine {
	world := c.world
	if c.onlyAddress != "" {
		return world.machines[c.onlyAddress]
	}
	return world.machines[world.addresses[world.random.Intn(len(world.addresses))]]
}

// report passes an outcome to onOutcome.
func (c *simClient) report(outcome Outcome) {
	if c.onOutcome != nil {
		c.onOutcome(outcome)
	}
}

// read reads at a machine that it draws.
func (c *simClient) read() { c.readAt(c.machine()) }

// readAt reads at a machine.
func (c *simClient) readAt(machine *simMachine) {
	world, called := c.world, c.world.now
	machine.request(nil, func(reply Reply) {
		c.report(reply.Outcome)
		if reply.Outcome == Applied {
			c.version = reply.Entry.Version
		}
		c.last = reply.Outcome
		output := simOutput{reply.Outcome, reply.Entry.Version, string(reply.Entry.Body)}
		world.recordReturn(c.id, simInput{}, called, output)
		c.scheduleNext()
	})
}

// write writes at a machine; now and then with an expected version that can't be right.
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

// attempt sends a write to a machine that it draws.
func (c *simClient) attempt(input simInput, called time.Duration, number int, unknown bool) {
	c.attemptAt(c.machine(), input, called, number, unknown)
}

// attemptAt sends a write, and retries it while the outcome is unknown. A conflict ends it, unless an
// earlier attempt can still be committed.
func (c *simClient) attemptAt(
	machine *simMachine, input simInput, called time.Duration, number int, unknown bool,
) {
	world := c.world
	proposal := Proposal{input.expected, input.version, []byte(input.body)}
	machine.request(&proposal, func(reply Reply) {
		c.report(reply.Outcome)
		outcome := reply.Outcome
		if outcome == Unavailable && number < simAttempts && world.now < c.until {
			delay := time.Duration(world.random.Int63n(int64(400 * time.Millisecond)))
			world.after(delay, func() { c.attempt(input, called, number+1, true) })
			return
		}
		passed := reply.Entry.Version > input.expected
		if outcome == Conflict && unknown && !passed {
			outcome = Unavailable
		}
		if outcome != Conflict || passed {
			c.retryable = append(c.retryable, input)
		}
		if outcome == Applied {
			c.version = input.version
		}
		c.last = outcome
		if reply.Outcome == Conflict {
			c.version = reply.Entry.Version
		}
		world.recordReturn(c.id, input, called, simOutput{outcome: outcome})
		c.scheduleNext()
	})
}
