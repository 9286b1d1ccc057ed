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

// store is the ledger's group as the chores use it.
type store struct{ host *raftgroup.Host }

func (s store) Propose(ctx context.Context, command []byte) (json.RawMessage, error) {
	return s.host.Propose(ctx, ledgerGroup, command)
}

func (s store) Read(ctx context.Context, query []byte) (json.RawMessage, error) {
	return s.host.Read(ctx, ledgerGroup, query)
}

func (s store) Peek(query []byte) (any, bool) { return s.host.Peek(ledgerGroup, query) }

// listSource is the list of servers as the chores use it.
type listSource struct{ *discovery.Client }

func (l listSource) Feed(f leaseholder.Feed) {
	l.Client.Feed(discovery.Feed{Held: f.Held, Token: f.Token})
}

// runOwner has this proxy take part in the fleet's chores where owner.chores says so.
func (p *Proxy) runOwner() error {
	c := &p.cfg.Owner
	if len(c.Chores) == 0 || p.ledger == nil {
		return nil
	}
	o := leaseholder.Options{Name: p.cfg.Name, Lease: p.cfg.LeaseSettings(), Store: store{p.ledger.host},
		Log: p.log.Logger}
	if c.Faults != "" {
		o.Faults = leaseholder.FileFaults{Path: c.Faults}
	}
	if c.Does(config.ChoreExport) {
		o.Export = &leaseholder.Export{Sink: c.Sink, Within: c.Call, AtOnce: c.AtOnce}
	}
	if c.Does(config.ChoreList) {
		o.List = &leaseholder.List{Source: listSource{p.list}, MaxAge: c.MaxAge, Spread: rand.N(c.MaxAge),
			Poll: c.Poll, Silence: p.cfg.Discovery.Silence}
	}
	w, err := leaseholder.New(o)
	if err != nil {
		return err
	}
	p.list.Refused(w.Refused)
	p.owner = w
	w.Run()
	if p.door != nil {
		p.door.Page("/_owner", func(url.Values) any { return w.Page() })
	}
	return nil
}

// closeOwner gives the lease back, if this proxy holds it.
func (p *Proxy) closeOwner() {
	if p.owner != nil {
		p.owner.Close()
	}
}
