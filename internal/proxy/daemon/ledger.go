package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"cresshub/internal/cluster/groupstate"
	"cresshub/internal/cluster/ledger"
	"cresshub/internal/cluster/membership"
	"cresshub/internal/cluster/pending"
	"cresshub/internal/cluster/placement"
	"cresshub/internal/cluster/raftgroup"
	"cresshub/internal/proxy/ingress"
)

const (
	// ledgerGroup is the name of the group that holds the ledger.
	ledgerGroup = "ledger"
	// settleWithin bounds how long the end waits for the last counts to be committed; what is not is kept.
	settleWithin = time.Second
	// readWithin bounds a read for the operators' door, which answers within a second.
	readWithin = 700 * time.Millisecond
)

// ledgerPart is this proxy's part in the ledger.
type ledgerPart struct {
	host *raftgroup.Host
	rec  *pending.Recorder
	stop chan struct{}
}

// openLedger opens this proxy's part in the ledger where ledger.bind says so: its disk and its listener.
func (p *Proxy) openLedger() error {
	c := &p.cfg.Ledger
	if c.Bind == "" {
		return nil
	}
	set := ledger.Settings{Keep: c.Keep, Remember: c.Remember, IDs: c.IDs, Tenants: c.Tenants,
		Members: p.cfg.Fleet.Members}
	if err := set.Check(); err != nil {
		return err
	}
	var faults raftgroup.Faults
	if c.Faults != "" {
		faults = raftgroup.FileFaults{Path: c.Faults}
	}
	l := &ledgerPart{stop: make(chan struct{})}
	var err error
	l.host, err = raftgroup.Open(raftgroup.Options{
		Name: p.cfg.Name, Bind: c.Bind, Advertise: c.Advertise, Dir: c.Data, Label: p.cfg.Fleet.Label,
		Hall: p.cfg.Policy.Hall, Replicas: c.Replicas, Expect: c.Expect, CatchUp: c.CatchUp,
		Heartbeat: c.Heartbeat, Election: c.Election, GoneAfter: p.cfg.Fleet.GoneAfter,
		SnapshotEntries: c.SnapEvery, SnapshotBytes: int64(c.SnapBytes), Relay: p.cfg.Fleet.Relay,
		Groups: []string{ledgerGroup}, Faults: faults, Log: p.log.Logger,
		Machine: func(string) raftgroup.Machine {
			m, _ := groupstate.New(set) // checked above
			return m
		},
	})
	if err != nil {
		return err
	}
	l.rec, err = pending.Open(pending.Options{Member: p.cfg.Name, Dir: c.Data, Flush: c.Flush,
		Most: int64(c.Outbox), Faults: faults, Log: p.log.Logger, Propose: l.propose})
	if err != nil {
		l.host.Close()
		return err
	}
	p.ledger = l
	return nil
}

func (l *ledgerPart) propose(ctx context.Context, command []byte) (ledger.Result, error) {
	return pending.Result(l.host.Propose(ctx, ledgerGroup, command))
}

// countUse is what the clients' front tells of each final answer, nil where nobody counts.
func (p *Proxy) countUse() func(ingress.Use) {
	if p.ledger == nil {
		return nil
	}
	rec := p.ledger.rec
	return func(u ingress.Use) {
		rec.Count(ledger.Key{Tenant: u.Tenant, Class: u.Class, Answer: u.Answer}, u.ID, u.In, u.Out)
	}
}

// runLedger has the opened part take part in the fleet.
func (p *Proxy) runLedger() error {
	l := p.ledger
	if l == nil {
		return nil
	}
	if err := l.host.Run(p.peers); err != nil {
		return err
	}
	l.rec.Run()
	closer := pending.Closer{Period: p.cfg.Ledger.Period, Stop: l.stop, Propose: l.propose,
		Leads: func() bool { return l.host.Leads(ledgerGroup) },
		Open: func() (uint64, bool) {
			v, ok := l.host.Peek(ledgerGroup, openQuery)
			view, is := v.(ledger.View)
			return view.Open, ok && is
		}}
	go closer.Run()
	if p.door != nil {
		p.door.Page("/_ledger", l.page)
		p.door.Action("/_ledger/correct", l.correct)
	}
	return nil
}

// openQuery asks for nothing but what every answer says.
var openQuery, _ = json.Marshal(ledger.Query{Tenant: "-", Period: 1})

// peers is the fleet view as replicas are placed by it.
func (p *Proxy) peers() []raftgroup.Peer {
	if p.fleet == nil {
		return nil
	}
	var out []raftgroup.Peer
	for _, m := range p.fleet.Members() {
		live := m.Status == membership.Alive || m.Status == membership.Suspect
		out = append(out, raftgroup.Peer{Address: m.Meta.Ledger, Member: placement.Member{Name: m.Name,
			Replica: m.Meta.Disk, Hall: m.Meta.Hall, Gone: m.Gone,
			Live: live && m.Meta.Phase != membership.Leaving}})
	}
	return out
}

// LedgerPage is what /_ledger shows.
type LedgerPage struct {
	Group   raftgroup.Status `json:"group"`
	Here    pending.Figures  `json:"here"`
	Ledger  *ledger.View     `json:"ledger,omitempty"`
	Problem string           `json:"problem,omitempty"` // why the ledger could not be read
}

// page reads the ledger linearizably: what it shows holds all that was promised when it was asked.
func (l *ledgerPart) page(q url.Values) any {
	page := LedgerPage{Group: l.host.Status(ledgerGroup), Here: l.rec.Figures()}
	query := ledger.Query{Tenant: q.Get("tenant")}
	if text := q.Get("period"); text != "" {
		var err error
		if query.Period, err = strconv.ParseUint(text, 10, 64); err != nil {
			page.Problem = "period is no whole number"
			return page
		}
	}
	asked, _ := json.Marshal(query)
	ctx, cancel := context.WithTimeout(context.Background(), readWithin)
	defer cancel()
	raw, err := l.host.Read(ctx, ledgerGroup, asked)
	if err == nil {
		err = json.Unmarshal(raw, &page.Ledger)
	}
	if err != nil {
		page.Problem = err.Error()
		if errors.Is(err, raftgroup.ErrNotLeader) {
			page.Problem = "the group has no leader that was reached"
		}
	}
	return page
}

// Corrected is what /_ledger/correct answers.
type Corrected struct {
	ledger.Result
	Problem string `json:"problem,omitempty"`
}

// correct enters a correction against a closed period. Its id makes a call that is repeated count once.
func (l *ledgerPart) correct(q url.Values) any {
	c := ledger.Correction{ID: q.Get("id"), Reason: q.Get("reason"), Key: ledger.Key{Tenant: q.Get("tenant"),
		Class: q.Get("class"), Answer: q.Get("answer")}}
	var errs []error
	whole := func(key string, must bool) int64 {
		if !must && q.Get(key) == "" {
			return 0
		}
		n, err := strconv.ParseInt(q.Get(key), 10, 64)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s is no whole number", key))
		}
		return n
	}
	c.Period = uint64(max(whole("period", true), 0))
	c.Sum = ledger.Sum{N: whole("n", true), In: whole("bytes_in", false), Out: whole("bytes_out", false)}
	for _, key := range []string{"id", "tenant", "class", "answer", "reason"} {
		if q.Get(key) == "" {
			errs = append(errs, fmt.Errorf("%s is missing", key))
		}
	}
	if err := errors.Join(errs...); err != nil {
		return Corrected{Problem: err.Error()}
	}
	ctx, cancel := context.WithTimeout(context.Background(), readWithin)
	defer cancel()
	r, err := l.propose(ctx, c.Encode())
	switch {
	case errors.Is(err, raftgroup.ErrUnknown):
		return Corrected{r, "whether it was entered is not known; call again with the same id"}
	case err != nil:
		return Corrected{r, err.Error()}
	case r.Status == ledger.Refused:
		return Corrected{r, "the period is open, or not kept any more"}
	}
	return Corrected{Result: r}
}

// closeLedger ends this proxy's part: what was counted is committed, or kept for the next life.
func (p *Proxy) closeLedger() {
	l := p.ledger
	if l == nil {
		return
	}
	select {
	case <-l.stop:
		return
	default:
	}
	close(l.stop)
	p.closeOwner()
	l.rec.Settle(settleWithin)
	if err := l.rec.Close(); err != nil {
		p.log.Warn("ledger: the file of waiting counts", "err", err)
	}
	if err := l.host.Close(); err != nil {
		p.log.Warn("ledger: the replicas' file", "err", err)
	}
}
