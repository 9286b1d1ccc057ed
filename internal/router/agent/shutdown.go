package agent

import (
	"slices"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/agentsettings"
	"cresshub/internal/router/controlserver"
	"cresshub/internal/router/directory"
)

// handleReady tells the platform whether clients are to be sent here.
func (a *Agent) handleReady(call *controlserver.Call) *http1.Response {
	if call.Path != "/api/ready" {
		return controlserver.Text(404, "call /api/ready")
	}
	if reason := a.unready(); reason != "" {
		return controlserver.Text(503, reason)
	}
	return controlserver.Text(200, "ready")
}

// unready tells why no clients are to be sent here, "" where they are.
func (a *Agent) unready() string {
	switch {
	case a.isShuttingDown():
		return "ending"
	case a.state.Config() == nil:
		return "no configuration is known yet"
	case !a.state.isSynced():
		return "the other processes are not known yet"
	}
	return ""
}

// ReloadFailed notes that changed settings could not be read; those that were in force stay.
func (a *Agent) ReloadFailed(err error) {
	a.metrics.reloadErrors.Add(1)
	a.log.Warn().Err(err).Msg("settings: the changed file can't be read; it is read again")
}

// Reload takes changed settings in: the seeds.
func (a *Agent) Reload(settings *agentsettings.Settings) {
	if slices.Equal(a.seeds(), settings.Seeds) {
		return
	}
	a.seedList.Store(&settings.Seeds)
	a.log.Info().Strs("seeds", settings.Seeds).Msg("settings: seeds changed")
}

// end hands over what this process holds, answers what it has read, and returns when it may exit.
func (a *Agent) shutdown(l *listeners) {
	signalled, plan := time.Now(), planShutdown(a.settings.Bounds.Grace)
	a.shuttingDown.Store(true)
	a.log.Info().Msg("node: ending")
	if a.proxy != nil {
		a.proxy.Drain()
	}
	go a.configStore.leave()
	time.Sleep(plan.closeListener)
	if l.front != nil {
		l.front.Close()
		a.proxy.Wait(signalled.Add(plan.abortRequests), signalled.Add(plan.finishAnswers))
	}
	a.awaitHandoff(signalled.Add(plan.finishAnswers))
	a.announceShutdown(plan.notice)
	for _, listener := range []interface{ Close() error }{l.peers, l.control, l.ready} {
		if listener != nil {
			listener.Close()
		}
	}
	a.log.Info().Msg("node: ended")
}

// awaitHandoff waits until this process is not needed any more to keep the control state: it may hold one of
// the last copies of what was acknowledged.
func (a *Agent) awaitHandoff(deadline time.Time) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-a.configStore.canStop():
	case <-timer.C:
		a.log.Warn().Msg("node: ending although the other machines do not hold the whole control state yet")
	}
}

// announceShutdown tells the hubs that this process has ended, for a time at most.
func (a *Agent) announceShutdown(timeout time.Duration) {
	a.announceSelf(func(self *directory.Record) { self.State = directory.Ended })
	var offset uint64
	a.state.read(func(d *directory.Directory) { offset = d.Offset() })
	a.awaitMajority(offset, timeout)
}
