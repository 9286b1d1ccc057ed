package scheduler

import (
	"time"

	"cresshub/internal/router/catalog"
)

// ownTime is the ms until the first sign of an answer that a call takes by itself.
func (p *pool) ownTime(call *Call) float64 {
	switch {
	case p.service.Engine == nil:
		return p.serve.value
	case call.Role == Read:
		return p.read.at(float64(call.tokens))
	case call.Role == Serve:
		return p.read.base + writePace*p.read.slope*float64(call.tokens) + p.pace.at(call.busy)
	}
	return p.moveTime(call.prompt.tokens, true) + p.pace.at(call.busy)
}

// tellUse takes a told load into λ.
func (p *pool) tellUse(s *server) {
	switch {
	case s.Stage == catalog.Reading:
		p.readUse.add(min(s.others, 1), meanMemory)
	default:
		p.runUse.add(min(float64(s.told.Running+s.told.Waiting)/s.slots(), 1), meanMemory)
	}
}

// answeredSince tells whether another server of the call's kind answered well after the call was sent.
func (p *pool) answeredSince(call *Call) bool {
	for _, s := range p.of(call.Role) {
		if s != call.state && s.trust.answered > call.started {
			return true
		}
	}
	return false
}

// learn takes in what a served call tells of speeds.
func (p *pool) learn(now time.Duration, call *Call) {
	took := ms(now - call.started)
	switch {
	case p.service.Engine == nil:
		p.learnService(call, took)
	case call.Role == Read:
		p.learnRead(call, took)
	default:
		p.learnPace(now, call)
	}
}

func (p *pool) learnService(call *Call, took float64) {
	expected := p.serve.value
	if call.busy < call.state.slots() || took < expected {
		p.serve.add(took, meanMemory)
		call.state.measured(expected, took)
	}
}

// learnRead takes in how long a read took. Where other proxies may have sent the shared parts there, nobody
// tells how many tokens it was: such a sample is taken at the middle and counts for little.
func (p *pool) learnRead(call *Call, took float64) {
	p.tokens.add(float64(call.tokens), meanMemory)
	tokens := float64(call.least+call.most) / 2
	certain := float64(max(call.least, 1)) / float64(max(call.most, 1))
	expected := p.read.at(tokens)
	p.read.add(tokens, took, certain*certain)
	if call.alone && certain > sure {
		call.state.measured(expected, took)
	}
}

const sure = 0.9 // certainty from which on a sample tells a server's speed

// learnPace takes in the pace of a stream: the time between its first event and its end.
func (p *pool) learnPace(now time.Duration, call *Call) {
	p.output.add(float64(call.output), meanMemory)
	if !call.answered || call.output < leastPace {
		return
	}
	pace := ms(now-call.first) / float64(call.output-1)
	expected := p.pace.at(call.busy)
	p.pace.add(call.busy, pace, 1)
	call.state.measured(expected, pace)
}

const leastPace = 4 // tokens that a stream must have to tell a pace

// watchDirect follows how much this proxy's own prompts still have to be read at writers, beside its calls
// there.
func (p *pool) watchDirect(now time.Duration) {
	if len(p.writers) == 0 {
		return
	}
	left, calls := 0.0, 0.0
	for _, s := range p.writers {
		left += s.readingLeft(now)
		calls += float64(len(s.calls))
	}
	n := float64(len(p.writers))
	p.directLeft.add(left/n, meanMemory)
	p.directCalls.add(calls/n, meanMemory)
}

// othersDirect is the ms that prompts of other proxies still have to be read at a writer, on average. No
// server tells it: other proxies are taken to send what this one sends, for as many calls as they have.
func (p *pool) othersDirect(others float64) float64 {
	const fewest = 0.02 // calls; below, nothing follows from so few
	return p.directLeft.value * others / max(p.directCalls.value, fewest)
}
