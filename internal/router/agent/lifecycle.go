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
func (n *Node) handleReady(call *controlserver.Call) *http1.Response {
	if call.Path != "/api/ready" {
		return controlserver.Text(404, "call /api/ready")
	}
	if reason := n.unready(); reason != "" {
		return controlserver.Text(503, reason)
	}
	return controlserver.Text(200, "ready")
}

// unready tells why no clients are to be sent here, "" where they are.
func (n *Node) unready() string {
	switch {
	case n.isShuttingDown():
		return "ending"
	case n.state.Config() == nil:
		return "no configuration is known yet"
	case !n.state.isSynced():
		return "the other processes are not known yet"
	}
	return ""
}

// ReloadFailed notes that changed settings could not be read; those that were in force stay.
func (n *Node) ReloadFailed(err error) {
	n.metrics.reloadErrors.Add(1)
	n.log.Warn().Err(err).Msg("settings: the changed file can't be read; it is read again")
}

// Reload takes changed settings in: the seeds.
func (n *Node) Reload(settings *agentsettings.Settings) {
	if slices.Equal(n.seeds(), settings.Seeds) {
		return
	}
	n.seedList.Store(&settings.Seeds)
	n.log.Info().Strs("seeds", settings.Seeds).Msg("settings: seeds changed")
}

// shutdown hands over what this process holds, answers what it has read, and returns when it may exit.
func (n *Node) shutdown(l *listeners) {
	signalled, plan := time.Now(), planShutdown(n.settings.Bounds.Grace)
	n.shuttingDown.Store(true)
	n.log.Info().Msg("node: ending")
	if n.front != nil {
		n.front.Drain()
	}
	go n.configStore.leave()
	time.Sleep(plan.closeListener)
	if l.front != nil {
		l.front.Close()
		n.front.Wait(signalled.Add(plan.abortRequests), signalled.Add(plan.finishAnswers))
	}
	n.awaitHandoff(signalled.Add(plan.finishAnswers))
	n.announceShutdown(plan.notice)
	for _, listener := range []interface{ Close() error }{l.peers, l.control, l.ready} {
		if listener != nil {
			listener.Close()
		}
	}
	n.log.Info().Msg("node: ended")
}

// awaitHandoff waits until this process is not needed any more to keep the control state: it may hold one of
// the last copies of what was acknowledged.
func (n *Node) awaitHandoff(deadline time.Time) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-n.configStore.canStop():
	case <-timer.C:
		n.log.Warn().Msg("node: ending although the other machines do not hold the whole control state yet")
	}
}

// announceShutdown tells the hubs that this process has ended, for a time at most.
func (n *Node) announceShutdown(timeout time.Duration) {
	n.announceSelf(func(self *directory.Record) { self.State = directory.Ended })
	var offset uint64
	n.state.read(func(d *directory.Directory) { offset = d.Offset() })
	n.awaitMajority(offset, timeout)
}
