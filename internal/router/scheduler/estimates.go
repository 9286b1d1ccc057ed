package scheduler

import (
	"time"

	"cresshub/internal/router/catalog"
)

const (
	minSpeedCertainty = 0.9 // of a prefill's tokens, from which on its time says how fast the server is
	minPaceTokens     = 4   // output tokens from which on a stream says how long a token takes
)

// ownTime returns the time in ms that a call takes until the first byte of its answer, without queueing.
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

// recordUtilization adds a server's newest report to u of arrivals.go.
func (p *servicePool) recordUtilization(server *serverState) {
	if server.Server.Role == catalog.Prefill {
		p.prefillUtilization.add(min(server.reportedOthers, 1), meanWindow)
		return
	}
	atServer := float64(server.reported.Running + server.reported.Waiting)
	p.serveUtilization.add(min(atServer/server.slots(), 1), meanWindow)
}

// peerAnsweredSince reports whether another server has served a call of the same role since the call began.
func (p *servicePool) peerAnsweredSince(call *Call) bool {
	for _, server := range p.serversFor(call.Role) {
		if server != call.state && server.outliers.lastSuccess > call.startedAt {
			return true
		}
	}
	return false
}

// learn adjusts the estimates by a served call that has just ended, unless this process did not run for a
// part of it: how long its server took is not known then.
func (p *servicePool) learn(now time.Duration, call *Call) {
	if call.stalled > 0 {
		return
	}
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

// learnPlainTime leaves out calls that have probably waited for a slot.
func (p *servicePool) learnPlainTime(call *Call, tookMs float64) {
	expectedMs := p.plainTime.value
	if call.inFlight < call.state.slots() || tookMs < expectedMs {
		p.plainTime.add(tookMs, meanWindow)
		call.state.observeSpeed(expectedMs, tookMs)
	}
}

// learnPrefillTime adds a sample at the mean of the minimum and the maximum of tokens that the prefill may
// have had. They differ if other proxies may have sent the shared prefix there; the sample then has less
// weight.
func (p *servicePool) learnPrefillTime(call *Call, tookMs float64) {
	p.prefillTokens.add(float64(call.uncachedTokens), meanWindow)
	tokens := float64(call.minUncached+call.maxUncached) / 2
	certainty := float64(max(call.minUncached, 1)) / float64(max(call.maxUncached, 1))
	expectedMs := p.prefillTime.at(tokens)
	p.prefillTime.add(tokens, tookMs, certainty*certainty)
	if call.serverIdle && certainty > minSpeedCertainty {
		call.state.observeSpeed(expectedMs, tookMs)
	}
}

// learnTimePerToken takes the time per token of a stream, from its first event to its end.
func (p *servicePool) learnTimePerToken(now time.Duration, call *Call) {
	p.outputTokens.add(float64(call.outputTokens), meanWindow)
	if !call.answered || call.outputTokens < minPaceTokens {
		return
	}
	perTokenMs := ms(now-call.firstEventAt) / float64(call.outputTokens-1)
	expectedMs := p.timePerToken.at(call.inFlight)
	p.timePerToken.add(call.inFlight, perTokenMs, 1)
	call.state.observeSpeed(expectedMs, perTokenMs)
}

// observeDirectPrefill follows the prefill work that this proxy's own calls have at a decode server, and the
// number of those calls.
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

// peerDirectPrefillMs returns the prefill work in ms that other proxies have at a decode server on average.
// No server reports it: other proxies are assumed to send what this one sends, in proportion to their calls.
func (p *servicePool) peerDirectPrefillMs(peerCalls float64) float64 {
	const minCalls = 0.02 // below, nothing follows from so few
	return p.directPrefillMs.value * peerCalls / max(p.directCalls.value, minCalls)
}
