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
	// commitWaitTimeout bounds how long the end waits for the last counts to be committed; what is not is kept.
	commitWaitTimeout = time.Second
	// pageReadTimeout bounds a read for the operators' door, which answers within a second.
	pageReadTimeout = 700 * time.Millisecond
)

// ledgerNode is this proxy's replica host of the ledger's Raft group, and its recorder of usage.
type ledgerNode struct {
	host     *raftgroup.Host
	recorder *pending.Recorder
	stop     chan struct{}
}

// openLedger opens the files and the listener of the ledger where ledger.bind says so.
func (p *Proxy) openLedger() error {
	c := &p.cfg.Ledger
	if c.Bind == "" {
		return nil
	}
	set := ledger.Settings{MaxPeriods: c.Keep, DedupPeriods: c.Remember, MaxIDs: c.IDs, MaxTenants: c.Tenants,
		MaxMembers: p.cfg.Fleet.Members}
	if err := set.Check(); err != nil {
		return err
	}
	var faults raftgroup.DiskFaults
	if c.Faults != "" {
		faults = raftgroup.FileFaults{Path: c.Faults}
	}
	l := &ledgerNode{stop: make(chan struct{})}
	var err error
	l.host, err = raftgroup.Open(raftgroup.Options{
		Name: p.cfg.Name, Bind: c.Bind, Advertise: c.Advertise, Dir: c.Data, Label: p.cfg.Fleet.Label,
		Hall: p.cfg.Policy.Hall, Replicas: c.Replicas, BootstrapExpect: c.Expect, MaxLearnerLag: c.CatchUp,
		HeartbeatInterval: c.Heartbeat, ElectionTimeout: c.Election, GoneAfter: p.cfg.Fleet.GoneAfter,
		SnapshotEntries: c.SnapEvery, SnapshotBytes: int64(c.SnapBytes), Relay: p.cfg.Fleet.Relay,
		Groups: []string{ledgerGroup}, Faults: faults, Log: p.log.Logger,
		NewStateMachine: func(string) raftgroup.StateMachine {
			m, _ := groupstate.New(set) // checked above
			return m
		},
	})
	if err != nil {
		return err
	}
	l.recorder, err = pending.Open(pending.Options{Member: p.cfg.Name, Dir: c.Data, FlushInterval: c.Flush,
		MaxQueuedBytes: int64(c.Outbox), Faults: faults, Log: p.log.Logger, Propose: l.propose})
	if err != nil {
		_ = l.host.Close() // the error of the recorder is the one to report
		return err
	}
	p.ledger = l
	return nil
}

func (l *ledgerNode) propose(ctx context.Context, command []byte) (ledger.Result, error) {
	return pending.DecodeResult(l.host.Propose(ctx, ledgerGroup, command))
}

// usageRecorder returns the function that counts each final answer, nil if there is no ledger.
func (p *Proxy) usageRecorder() func(ingress.Use) {
	if p.ledger == nil {
		return nil
	}
	rec := p.ledger.recorder
	return func(u ingress.Use) {
		rec.Count(ledger.Key{Tenant: u.Tenant, Class: u.Class, Answer: u.Answer}, u.ID, u.In, u.Out)
	}
}

// runLedger starts what openLedger has opened. The fleet has to be joined before.
func (p *Proxy) runLedger() error {
	l := p.ledger
	if l == nil {
		return nil
	}
	if err := l.host.Run(p.peers); err != nil {
		return err
	}
	l.recorder.Run()
	closer := pending.PeriodCloser{Period: p.cfg.Ledger.Period, Stop: l.stop, Propose: l.propose,
		IsLeader: func() bool { return l.host.Leads(ledgerGroup) },
		OpenPeriod: func() (uint64, bool) {
			v, ok := l.host.ReadStale(ledgerGroup, openQuery)
			view, is := v.(ledger.View)
			return view.OpenPeriod, ok && is
		}}
	go closer.Run()
	if p.admin != nil {
		p.admin.Page("/_ledger", l.page)
		p.admin.Action("/_ledger/correct", l.correct)
	}
	return nil
}

// openQuery selects no rows: the number of the open period is in every answer.
var openQuery, _ = json.Marshal(ledger.Query{Tenant: "-", Period: 1})

// peers returns the members of the fleet, by which replicas are placed.
func (p *Proxy) peers() []raftgroup.Peer {
	if p.fleet == nil {
		return nil
	}
	var out []raftgroup.Peer
	for _, m := range p.fleet.Members() {
		live := m.Status == membership.Alive || m.Status == membership.Suspect
		out = append(out, raftgroup.Peer{Address: m.Meta.LedgerAddress, Member: placement.Member{Name: m.Name,
			ReplicaID: m.Meta.ReplicaID, Hall: m.Meta.Hall, Gone: m.Gone,
			Live: live && m.Meta.Phase != membership.Leaving}})
	}
	return out
}

// LedgerPage is what /_ledger shows.
type LedgerPage struct {
	Group   raftgroup.Status `json:"group"`
	Here    pending.Stats    `json:"here"`
	Ledger  *ledger.View     `json:"ledger,omitempty"`
	Problem string           `json:"problem,omitempty"` // why the ledger could not be read
}

// page reads the ledger linearizably: it shows all that was committed before the call.
func (l *ledgerNode) page(params url.Values) any {
	page := LedgerPage{Group: l.host.Status(ledgerGroup), Here: l.recorder.Stats()}
	query := ledger.Query{Tenant: params.Get("tenant")}
	if text := params.Get("period"); text != "" {
		var err error
		if query.Period, err = strconv.ParseUint(text, 10, 64); err != nil {
			page.Problem = "period is no whole number"
			return page
		}
	}
	asked, _ := json.Marshal(query)
	ctx, cancel := context.WithTimeout(context.Background(), pageReadTimeout)
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

// CorrectionReply is what /_ledger/correct answers.
type CorrectionReply struct {
	ledger.Result
	Problem string `json:"problem,omitempty"`
}

// correct proposes a correction of a closed period. A call repeated with the same id counts once.
func (l *ledgerNode) correct(params url.Values) any {
	correction, err := parseCorrection(params)
	if err != nil {
		return CorrectionReply{Problem: err.Error()}
	}
	ctx, cancel := context.WithTimeout(context.Background(), pageReadTimeout)
	defer cancel()
	result, err := l.propose(ctx, correction.Encode())
	switch {
	case errors.Is(err, raftgroup.ErrUnknown):
		return CorrectionReply{result, "whether it was entered is not known; call again with the same id"}
	case err != nil:
		return CorrectionReply{result, err.Error()}
	case result.Status == ledger.StatusRejected:
		return CorrectionReply{result, "the period is open, or not kept any more"}
	}
	return CorrectionReply{Result: result}
}

// parseCorrection reads a correction from the parameters of a call. Its error names all that is wrong.
func parseCorrection(params url.Values) (*ledger.Correction, error) {
	var errs []error
	parseInt := func(key string, required bool) int64 {
		if !required && params.Get(key) == "" {
			return 0
		}
		n, err := strconv.ParseInt(params.Get(key), 10, 64)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s is no whole number", key))
		}
		return n
	}
	correction := &ledger.Correction{
		ID:     params.Get("id"),
		Period: uint64(max(parseInt("period", true), 0)),
		Key: ledger.Key{Tenant: params.Get("tenant"), Class: params.Get("class"),
			Answer: params.Get("answer")},
		Usage: ledger.Usage{Count: parseInt("n", true), BytesIn: parseInt("bytes_in", false),
			BytesOut: parseInt("bytes_out", false)},
		Reason: params.Get("reason"),
	}
	for _, key := range []string{"id", "tenant", "class", "answer", "reason"} {
		if params.Get(key) == "" {
			errs = append(errs, fmt.Errorf("%s is missing", key))
		}
	}
	return correction, errors.Join(errs...)
}

// closeLedger ends this proxy's part, once: what was counted is committed, or stays in the outbox for the
// next incarnation.
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
	p.closeRoles()
	l.recorder.WaitCommitted(commitWaitTimeout)
	if err := l.recorder.Close(); err != nil {
		p.log.Warn("ledger: outbox not closed", "err", err)
	}
	if err := l.host.Close(); err != nil {
		p.log.Warn("ledger: replicas not closed", "err", err)
	}
}
