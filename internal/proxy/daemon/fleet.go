package daemon

import (
	"net/url"
	"runtime/debug"
	"time"

	"cresshub/internal/cluster/gossip"
	"cresshub/internal/cluster/membership"
	"cresshub/internal/proxy/logging"
)

// gossipTimeout bounds the wait until gossip has spread a change of this proxy's phase.
const gossipTimeout = time.Second

// joinFleet makes this proxy a member of the fleet if fleet.bind is set.
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

// setFleetPhase announces to the fleet whether this proxy drains or serves.
func (p *Proxy) setFleetPhase(draining bool) {
	if p.fleet == nil {
		return
	}
	phase := membership.Serving
	if draining {
		phase = membership.Draining
	}
	if err := p.fleet.SetPhase(phase, gossipTimeout); err != nil {
		p.log.Warn("fleet: the new phase did not spread", "phase", phase.String(), logging.Err, err)
	}
}

// leaveFleet announces to the fleet that this proxy shuts down, while it still accepts clients.
func (p *Proxy) leaveFleet() {
	if p.fleet == nil {
		return
	}
	if err := p.fleet.Leave(gossipTimeout); err != nil {
		p.log.Warn("fleet: the leave did not spread", logging.Err, err)
	}
}
