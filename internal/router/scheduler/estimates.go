package scheduler

import (
	"time"

	"cresshub/internal/router/catalog"
)

// ownTime is the ms until the first sign of an answer that a call takes by itself.
func (p *servicePool) ownTime(call *Call) float64 {
	switch {
	case p.service.Engine == nil:
		return p.plainTime.value
	case call.Role == Prefill:
		return p.prefillTime.at(float64(call.uncachedTokens))
	case call.Role == Serve:
		return p.prefillTime.base + decodePrefillFactor*p.prefillTime.slope*float64(call.uncachedTokens) +
			p.timePerToken.at(call.inFlight)
	}
	return p.transferTime(call.chain.tokens, true) + p.timePerToken.at(call.inFlight)
}

// recordUtilization takes a told load into λ.
func (p *servicePool) recordUtilization(server *serverState) {
	switch {
	case server.Role == catalog.Prefill:
		p.prefillUtilization.add(min(server.reportedOthers, 1), meanWindow)
	default:
		p.serveUtilization.add(min(float64(server.reported.Running+server.reported.Waiting)/server.slots(), 1),
			meanWindow)
	}
}

// peerAnsweredSince tells whether another server of the call's kind answered well after the call was sent.
func (p *servicePool) peerAnsweredSince(call *Call) bool {
	for _, server := range p.serversFor(call.Role) {
		if server != call.state && server.outliers.lastSuccess > call.startedAt {
			return true
		}
	}
	return false
}

// learn takes in what a served call tells of speeds.
func (p *servicePool) learn(now time.Duration, call *Call) {
	tookMs := ms(now - call.startedAt)
	switch {
	case p.service.Engine == nil:
		p.learnPlainTime(call, tookMs)
	case call.Role == Prefill:
		p.learnPrefillTime(call, tookMs)
	default:
		p.learnTimePerToken(now, call)
	}
}

func (p *servicePool) learnPlainTime(call *Call, tookMs float64) {
	expected := p.plainTime.value
	if call.inFlight < call.state.slots() || tookMs < expected {
		p.plainTime.add(tookMs, meanWindow)
		call.state.observeSpeed(expected, tookMs)
	}
}

// learnPrefillTime takes in how long a read took. Where other proxies may have sent the shared parts there,
// nobody tells how many tokens it was: such a sample is taken at the middle and counts for little.
func (p *servicePool) learnPrefillTime(call *Call, tookMs float64) {
	p.prefillTokens.add(float64(call.uncachedTokens), meanWindow)
	tokens := float64(call.minUncached+call.maxUncached) / 2
	certain := float64(max(call.minUncached, 1)) / float64(max(call.maxUncached, 1))
	expected := p.prefillTime.at(tokens)
	p.prefillTime.add(tokens, tookMs, certain*certain)
	if call.serverIdle && certain > minSpeedCertainty {
		call.state.observeSpeed(expected, tookMs)
	}
}

const minSpeedCertainty = 0.9 // certainty from which on a sample tells a server's speed

// learnTimePerToken takes in the pace of a stream: the time between its first event and its end.
func (p *servicePool) learnTimePerToken(now time.Duration, call *Call) {
	p.outputTokens.add(float64(call.outputTokens), meanWindow)
	if !call.answered || call.outputTokens < minPaceTokens {
		return
	}
	pace := ms(now-call.firstEventAt) / float64(call.outputTokens-1)
	expected := p.timePerToken.at(call.inFlight)
	p.timePerToken.add(call.inFlight, pace, 1)
	call.state.observeSpeed(expected, pace)
}

const minPaceTokens = 4 // tokens that a stream must have to tell a pace

// observeDirectPrefill follows how much this proxy's own prompts still have to be read at writers, beside its
// calls there.
func (p *servicePool) observeDirectPrefill(now time.Duration) {
	if len(p.decodeServers) == 0 {
		return
	}
	remainingMs, calls := 0.0, 0.0
	for _, server := range p.decodeServers {
		remainingMs += server.remainingPrefillMs(now)
		calls += float64(len(server.calls))
	}
	servers := float64(len(p.decodeServers))
	p.directPrefillMs.add(remainingMs/servers, meanWindow)
	p.directCalls.add(calls/servers, meanWindow)
}

// peerDirectPrefillMs is the ms that prompts of other proxies still have to be read at a writer, on average.
// No server tells it: other proxies are taken to send what this one sends, for as many calls as they have.
func (p *servicePool) peerDirectPrefillMs(peerCalls float64) float64 {
	const minCalls = 0.02 // calls; below, nothing follows from so few
	return p.directPrefillMs.value * peerCalls / max(p.directCalls.value, minCalls)
}
