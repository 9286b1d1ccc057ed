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

// groupStore is the ledger's Raft group as leaseholder.Store.
type groupStore struct{ host *raftgroup.Host }

func (s groupStore) Propose(ctx context.Context, command []byte) (json.RawMessage, error) {
	return s.host.Propose(ctx, ledgerGroup, command)
}

func (s groupStore) Read(ctx context.Context, query []byte) (json.RawMessage, error) {
	return s.host.Read(ctx, ledgerGroup, query)
}

func (s groupStore) Peek(query []byte) (any, bool) { return s.host.ReadStale(ledgerGroup, query) }

// endpointSource is the client of discovery as leaseholder.EndpointSource.
type endpointSource struct{ *discovery.Client }

func (l endpointSource) Feed(f leaseholder.Feed) {
	l.Client.Feed(discovery.Feed{Held: f.FromOwner, Token: f.Token})
}

// runRoles has this proxy compete for the lease of the fleet's singleton roles where owner.chores names any.
func (p *Proxy) runRoles() error {
	c := &p.cfg.Owner
	if len(c.Chores) == 0 || p.ledger == nil {
		return nil
	}
	opts := leaseholder.Options{Name: p.cfg.Name, Lease: p.cfg.LeaseSettings(), Store: groupStore{p.ledger.host},
		Log: p.log.Logger}
	if c.Faults != "" {
		opts.Faults = leaseholder.FileFaults{Path: c.Faults}
	}
	if c.Does(config.ChoreExport) {
		opts.Export = &leaseholder.Exporter{Sink: c.Sink, CallTimeout: c.Call, BatchSize: c.AtOnce}
	}
	if c.Does(config.ChoreList) {
		opts.Endpoints = &leaseholder.EndpointSync{Source: endpointSource{p.discovery}, MaxAge: c.MaxAge,
			Jitter: rand.N(c.MaxAge), PollInterval: c.Poll, WatchTimeout: p.cfg.Discovery.Silence}
	}
	runner, err := leaseholder.New(opts)
	if err != nil {
		return err
	}
	p.discovery.Refused(runner.ReportRejection)
	p.roles = runner
	runner.Run()
	if p.admin != nil {
		p.admin.Page("/_owner", func(url.Values) any { return runner.Page() })
	}
	return nil
}

// closeRoles releases the lease if this proxy holds it.
func (p *Proxy) closeRoles() {
	if p.roles != nil {
		p.roles.Close()
	}
}
