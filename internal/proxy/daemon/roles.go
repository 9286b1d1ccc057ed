package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/url"

	"cresshub/internal/cluster/leaseholder"
	"cresshub/internal/cluster/raftgroup"
	"cresshub/internal/proxy/config"
	"cresshub/internal/proxy/discovery"
)

// groupStore lets the singleton roles store their state in the ledger's Raft group.
type groupStore struct{ host *raftgroup.Host }

func (s groupStore) Propose(ctx context.Context, command []byte) (json.RawMessage, error) {
	return s.host.Propose(ctx, ledgerGroup, command)
}

func (s groupStore) Read(ctx context.Context, query []byte) (json.RawMessage, error) {
	return s.host.Read(ctx, ledgerGroup, query)
}

func (s groupStore) Peek(query []byte) (any, bool) { return s.host.ReadStale(ledgerGroup, query) }

// endpointSource lets the singleton role that reads discovery for all members supply the list of servers.
type endpointSource struct{ *discovery.Client }

// Feed sets the source of the list.
func (s endpointSource) Feed(f leaseholder.Feed) {
	s.Client.SetFeed(discovery.Feed{ReplaceOnly: f.FromOwner, Token: f.Token})
}

// runRoles has this proxy compete for the fleet's singleton roles that owner.chores names.
func (p *Proxy) runRoles() error {
	c := &p.cfg.Owner
	if len(c.Roles) == 0 || p.ledger == nil {
		return nil
	}
	opts := leaseholder.Options{
		Name: p.cfg.Name, Lease: p.cfg.LeaseSettings(), Store: groupStore{p.ledger.host}, Log: p.log.Logger,
	}
	if c.FaultFile != "" {
		opts.Faults = leaseholder.FileFaults{Path: c.FaultFile}
	}
	if c.HasRole(config.RoleExport) {
		opts.Export = &leaseholder.Exporter{SinkAddress: c.Sink, CallTimeout: c.CallTimeout, BatchSize: c.BatchSize}
	}
	if c.HasRole(config.RoleList) {
		opts.Endpoints = &leaseholder.EndpointSync{Source: endpointSource{p.discovery}, MaxAge: c.ListMaxAge,
			Jitter: rand.N(c.ListMaxAge), PollInterval: c.ListPollInterval,
			WatchTimeout: p.cfg.Discovery.WatchTimeout}
	}
	runner, err := leaseholder.New(opts)
	if err != nil {
		return err
	}
	p.discovery.OnTokenRejected(runner.ReportRejection)
	p.roles = runner
	runner.Run()
	if p.admin != nil {
		p.admin.HandleGet("/_owner", func(url.Values) any { return runner.Page() })
	}
	return nil
}

// closeRoles stops the roles and resigns the lease, if this proxy holds it.
func (p *Proxy) closeRoles() {
	if p.roles != nil {
		p.roles.Close()
	}
}
