package daemon

import (
	"net/url"
	"runtime/debug"
	"time"

	"cresshub/internal/cluster/gossip"
	"cresshub/internal/cluster/membership"
)

// leaveTimeout bounds how long a leave waits for the news to spread at SIGTERM.
const leaveTimeout = time.Second

// joinFleet starts this proxy's membership of the fleet where fleet.bind says so.
func (p *Proxy) joinFleet() error {
	c := &p.cfg.Fleet
	if c.Bind == "" {
		return nil
	}
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	ledgerAddress, replicaID := "", uint64(0)
	if p.ledger != nil {
		ledgerAddress, replicaID = p.ledger.host.Address(), p.ledger.host.ID()
	}
	f, err := gossip.Start(gossip.Options{
		Name: p.cfg.Name, Version: version, Hall: p.cfg.Policy.Hall, Label: c.Label,
		LedgerAddress: ledgerAddress, ReplicaID: replicaID,
		Bind: c.Bind, Advertise: c.Advertise, Seeds: c.Seeds, Relay: c.Relay,
		ProbeInterval: c.ProbeInterval, ProbeTimeout: c.ProbeTimeout, SuspicionMult: c.SuspicionMult,
		GossipInterval: c.GossipInterval, RejoinInterval: c.RejoinInterval,
		SyncIntervalPerMember: c.SyncIntervalPerMember,
		Membership: membership.Settings{GoneAfter: c.GoneAfter, FlapWindow: c.FlapWindow,
			ForgetAfter: c.ForgetAfter, MaxMembers: c.MaxMembers},
		Log: p.log.Logger,
	})
	if err != nil {
		return err
	}
	p.fleet = f
	if p.admin != nil {
		p.admin.HandleGet("/_fleet", func(url.Values) any { return f.Snapshot() })
	}
	return nil
}

// setFleetPhase tells the fleet that this proxy drains or serves again.
func (p *Proxy) setFleetPhase(draining bool) {
	if p.fleet == nil {
		return
	}
	phase := membership.Serving
	if draining {
		phase = membership.Draining
	}
	if err := p.fleet.SetPhase(phase, leaveTimeout); err != nil {
		p.log.Warn("fleet: the new phase was not told to all", "phase", phase.String(), "err", err)
	}
}

// leaveFleet tells the fleet that this proxy goes, before it stops taking clients.
func (p *Proxy) leaveFleet() {
	if p.fleet == nil {
		return
	}
	if err := p.fleet.Leave(leaveTimeout); err != nil {
		p.log.Warn("fleet: the leave was not told to all", "err", err)
	}
}
