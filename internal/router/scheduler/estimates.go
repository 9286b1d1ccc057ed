package scheduler

import (
	"time"

	"cresshub/internal/router/catalog"
)

const (
	// minSpeedCertainty is the ratio of the lower to the upper bound of a prefill's uncached tokens above
	// which its time counts as a sample of the server's speed.
	minSpeedCertainty = 0.9
	minTimedTokens    = 4 // output tokens from which a stream counts as a sample of the time per token
)

// unqueuedFirstByteMs returns the expected time in ms from the beginning of a call to the first byte of its
// response, without the time in the server's queue.
func (p *servicePool) unqueuedFirstByteMs(call *Call) float64 {
	switch {
	case p.service.Engine == nil:
		return p.plainServiceTime.value
	case call.Role == Prefill:
		return p.prefillTime.at(float64(call.uncachedTokens))
	case call.Role == Serve:
		return p.prefillTime.base + decodePrefillFactor*p.prefillTime.slope*float64(call.uncachedTokens) +
			p.timePerToken.at(call.inFlight)
	}
	return p.transferTime(call.chain.tokens, true) + p.timePerToken.at(call.inFlight)
}

// recordUtilization adds a server's newest report to the observed utilization (u in arrivals.go).
func (p *servicePool) recordUtilization(server *serverState) {
	if server.Server.Role == catalog.Prefill {
		p.prefillUtilization.add(min(server.reportedOtherCalls, 1), meanWindow)
		return
	}
	atServer := float64(server.reported.Running + server.reported.Waiting)
	p.serveUtilization.add(min(atServer/server.slots(), 1), meanWindow)
}

// otherServerSucceededSince reports whether another server has completed a call of the same role successfully
// since the call began.
func (p *servicePool) otherServerSucceededSince(call *Call) bool {
	for _, server := range p.serversFor(call.Role) {
		if server != call.state && server.outliers.lastSuccess > call.startedAt {
			return true
		}
	}
	return false
}

// updateEstimates adjusts the estimates by a successful call that has just ended. It ignores a call during
// which this process did not run for some time, because it is not known how long the server took.
func (p *servicePool) updateEstimates(now time.Duration, call *Call) {
	if call.stallTime > 0 {
		return
	}
	elapsedMs := ms(now - call.startedAt)
	switch {
	case p.service.Engine == nil:
		p.updatePlainServiceTime(call, elapsedMs)
	case call.Role == Prefill:
		p.updatePrefillTime(call, elapsedMs)
	default:
		p.updateTimePerToken(now, call)
	}
}

// updatePlainServiceTime adds the time of a call to a service without a model, unless the call has probably
// waited for a slot: all slots were in use when it began, and it took longer than expected.
func (p *servicePool) updatePlainServiceTime(call *Call, elapsedMs float64) {
	expectedMs := p.plainServiceTime.value
	if call.inFlight < call.state.slots() || elapsedMs < expectedMs {
		p.plainServiceTime.add(elapsedMs, meanWindow)
		call.state.observeSpeed(expectedMs, elapsedMs)
	}
}

// updatePrefillTime adds the time of a prefill, as a sample at the mean of the lower and the upper bound of
// its uncached tokens. The bounds differ if other proxies may have sent the shared prefix to the server; the
// sample then has less weight.
func (p *servicePool) updatePrefillTime(call *Call, elapsedMs float64) {
	p.prefillTokens.add(float64(call.uncachedTokens), meanWindow)
	tokens := float64(call.minUncachedTokens+call.maxUncachedTokens) / 2
	certainty := float64(max(call.minUncachedTokens, 1)) / float64(max(call.maxUncachedTokens, 1))
	expectedMs := p.prefillTime.at(tokens)
	p.prefillTime.add(tokens, elapsedMs, certainty*certainty)
	if call.serverIdle && certainty > minSpeedCertainty {
		call.state.observeSpeed(expectedMs, elapsedMs)
	}
}

// updateTimePerToken adds the mean time per token of a stream from its first event to its end.
func (p *servicePool) updateTimePerToken(now time.Duration, call *Call) {
	p.outputTokens.add(float64(call.outputTokens), meanWindow)
	if !call.answered || call.outputTokens < minTimedTokens {
		return
	}
	perTokenMs := ms(now-call.firstEventAt) / float64(call.outputTokens-1)
	expectedMs := p.timePerToken.at(call.inFlight)
	p.timePerToken.add(call.inFlight, perTokenMs, 1)
	call.state.observeSpeed(expectedMs, perTokenMs)
}

// observeDirectPrefill adds samples of the prefill work and of the number of this proxy's own calls at a
// decode server, averaged over the decode servers.
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

// peerDirectPrefillMs returns the mean prefill work in ms that other proxies have at a decode server with
// peerCalls of their calls. As no server reports this work, their calls are assumed to bring as much of it as
// this proxy's own calls.
func (p *servicePool) peerDirectPrefillMs(peerCalls float64) float64 {
	const minCalls = 0.02 // bounds the divisor: fewer own calls per server allow no estimate
	return p.directPrefillMs.value * peerCalls / max(p.directCalls.value, minCalls)
}
