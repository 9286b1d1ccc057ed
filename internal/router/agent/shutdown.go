package agent

import (
	"net"
	"time"

	"cresshub/internal/router/directory"
)

// shutdown drains the clients, hands off the replica of the configuration and announces that this process has
// ended, all within the grace period. It returns when the process may exit.
func (a *Agent) shutdown(l *listeners) {
	signalled, plan := time.Now(), planShutdown(a.settings.Bounds.Grace)
	a.shuttingDown.Store(true)
	a.log.Info().Msg("agent: shutting down")
	if a.proxy != nil {
		a.proxy.Drain()
	}
	go a.configStore.drain()
	time.Sleep(plan.closeListenerAt)
	if l.clients != nil {
		l.clients.Close()
		a.proxy.Wait(signalled.Add(plan.abortRequestsAt), signalled.Add(plan.finalResponsesBy))
	}
	a.awaitHandoff(signalled.Add(plan.finalResponsesBy))
	a.announceShutdown(plan.announceTimeout)
	for _, listener := range []net.Listener{l.peers, l.control, l.readiness} {
		if listener != nil {
			listener.Close()
		}
	}
	a.log.Info().Msg("agent: stopped")
}

// awaitHandoff waits until the other members have everything of the configuration that this process has
// accepted, or until a deadline. It waits because this may be one of the last replicas of acknowledged
// changes.
func (a *Agent) awaitHandoff(deadline time.Time) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-a.configStore.drained():
	case <-timer.C:
		a.log.Warn().Msg("agent: shutting down without handing off the configuration in time")
	}
}

// announceShutdown announces that this process has ended, and waits until a majority of the hubs knows it or
// the timeout has passed.
func (a *Agent) announceShutdown(timeout time.Duration) {
	a.self.announce(func(self *directory.Record) { self.State = directory.Ended })
	var offset uint64
	a.state.read(func(d *directory.Directory) { offset = d.Offset() })
	a.quorum.awaitMajority(offset, timeout)
}
