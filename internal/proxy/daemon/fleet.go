package daemon

import (
	"net/url"
	"runtime/debug"
	"time"

	"cresshub/internal/cluster/gossip"
	"cresshub/internal/cluster/membership"
)

// leaveTimeout bounds how long a change of phase, or the leave at SIGTERM, waits to reach all members.
const leaveTimeout = time.Second

// joinFleet joins the fleet's gossip where fleet.bind says so.
func (p *Proxy) joinFleet() error {
	c := &p.cfg.Fleet
	if c.Bind == "" {
		return nil
	}
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	ledgerAt, disk := "", uint64(0)
	if p.ledger != nil {
		ledgerAt, disk = p.ledger.host.Address(), p.ledger.host.ID()
	}
	f, err := gossip.Start(gossip.Options{LedgerAddress: ledgerAt, ReplicaID: disk,
		Name: p.cfg.Name, Bind: c.Bind, Advertise: c.Advertise, Seeds: c.Seeds, Label: c.Label,
		Version: version, Hall: p.cfg.Policy.Hall, ProbeInterval: c.Probe, ProbeTimeout: c.Timeout,
		GossipInterval: c.Gossip,
		SuspicionMult:  c.Suspicion, RejoinInterval: c.Rejoin, SyncIntervalPerMember: c.SyncEach, Relay: c.Relay,
		Membership: membership.Settings{GoneAfter: c.GoneAfter, FlapWindow: c.Flaps, ForgetAfter: c.Forget,
			MaxMembers: c.Members},
		Log: p.log.Logger,
	})
	if err != nil {
		return err
	}
	p.fleet = f
	if p.admin != nil {
		p.admin.Page("/_fleet", func(url.Values) any { return f.Snapshot() })
	}
	return nil
}

// setFleetPhase announces that this proxy drains, or serves again.
func (p *Proxy) setFleetPhase(draining bool) {
	if p.fleet == nil {
		return
	}
	phase := membership.Serving
	if draining {
		phase = membership.Draining
	}
	if err := p.fleet.SetPhase(phase, leaveTimeout); err != nil {
		p.log.Warn("fleet: phase not announced to all members", "phase", phase.String(), "err", err)
	}
}

// leaveFleet announces that this proxy leaves, before it stops accepting clients.
func (p *Proxy) leaveFleet() {
	if p.fleet == nil {
		return
	}
	if err := p.fleet.Leave(leaveTimeout); err != nil {
		p.log.Warn("fleet: leave not announced to all members", "err", err)
	}
}
