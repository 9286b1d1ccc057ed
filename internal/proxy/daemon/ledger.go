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

// ledgerNode is this proxy's part in the ledger.
type ledgerNode struct {
	host     *raftgroup.Host
	recorder *pending.Recorder
	stop     chan struct{}
}

// openLedger opens this proxy's part in the ledger where ledger.bind says so: its disk and its listener.
func (p *Proxy) openLedger() error {
	c := &p.cfg.Ledger
	if c.Bind == "" {
		return nil
	}
	set := ledger.Settings{MaxPeriods: c.MaxPeriods, DedupPeriods: c.DedupPeriods, MaxIDs: c.MaxIDs,
		MaxTenants: c.MaxTenants, MaxMembers: p.cfg.Fleet.MaxMembers}
	if err := set.Check(); err != nil {
		return err
	}
	var faults raftgroup.DiskFaults
	if c.FaultFile != "" {
		faults = raftgroup.FileFaults{Path: c.FaultFile}
	}
	l := &ledgerNode{stop: make(chan struct{})}
	var err error
	l.host, err = raftgroup.Open(raftgroup.Options{
		Name: p.cfg.Name, Bind: c.Bind, Advertise: c.Advertise, Dir: c.DataDir, Label: p.cfg.Fleet.Label,
		Hall: p.cfg.Policy.Hall, Replicas: c.Replicas, BootstrapExpect: c.BootstrapExpect,
		MaxLearnerLag:     c.MaxLearnerLag,
		HeartbeatInterval: c.HeartbeatInterval, ElectionTimeout: c.ElectionTimeout,
		GoneAfter:       p.cfg.Fleet.GoneAfter,
		SnapshotEntries: c.SnapshotEntries, SnapshotBytes: int64(c.SnapshotBytes), Relay: p.cfg.Fleet.Relay,
		Groups: []string{ledgerGroup}, Faults: faults, Log: p.log.Logger,
		NewStateMachine: func(string) raftgroup.StateMachine {
			m, _ := groupstate.New(set) // checked above
			return m
		},
	})
	if err != nil {
		return err
	}
	l.recorder, err = pending.Open(pending.Options{Member: p.cfg.Name, Dir: c.DataDir,
		FlushInterval: c.FlushInterval, MaxQueuedBytes: int64(c.MaxQueuedBytes),
		Faults: faults, Log: p.log.Logger, Propose: l.propose})
	if err != nil {
		l.host.Close()
		return err
	}
	p.ledger = l
	return nil
}

func (l *ledgerNode) propose(ctx context.Context, command []byte) (ledger.Result, error) {
	return pending.DecodeResult(l.host.Propose(ctx, ledgerGroup, command))
}

// usageRecorder is what the clients' front tells of each final answer, nil where nobody counts.
func (p *Proxy) usageRecorder() func(ingress.Usage) {
	if p.ledger == nil {
		return nil
	}
	recorder := p.ledger.recorder
	return func(u ingress.Usage) {
		recorder.Count(ledger.Key{Tenant: u.Tenant, Class: u.Class, Answer: u.Answer}, u.ID, u.In, u.Out)
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
	l.recorder.Run()
	closer := pending.PeriodCloser{Period: p.cfg.Ledger.Period, Stop: l.stop, Propose: l.propose,
		IsLeader: func() bool { return l.host.Leads(ledgerGroup) },
		OpenPeriod: func() (uint64, bool) {
			v, ok := l.host.ReadStale(ledgerGroup, periodQuery)
			view, isView := v.(ledger.View)
			return view.OpenPeriod, ok && isView
		}}
	go closer.Run()
	if p.admin != nil {
		p.admin.HandleGet("/_ledger", l.readPage)
		p.admin.HandlePost("/_ledger/correct", l.enterCorrection)
	}
	return nil
}

// periodQuery asks for nothing but what every answer says.
var periodQuery, _ = json.Marshal(ledger.Query{Tenant: "-", Period: 1})

// peers is the fleet view as replicas are placed by it.
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

// readPage reads the ledger linearizably: what it shows holds all that was promised when it was asked.
func (l *ledgerNode) readPage(params url.Values) any {
	page := LedgerPage{Group: l.host.Status(ledgerGroup), Here: l.recorder.Stats()}
	query := ledger.Query{Tenant: params.Get("tenant")}
	if text := params.Get("period"); text != "" {
		var err error
		if query.Period, err = strconv.ParseUint(text, 10, 64); err != nil {
			page.Problem = "period is no whole number"
			return page
		}
	}
	encoded, _ := json.Marshal(query)
	ctx, cancel := context.WithTimeout(context.Background(), pageReadTimeout)
	defer cancel()
	raw, err := l.host.Read(ctx, ledgerGroup, encoded)
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

// enterCorrection enters a correction against a closed period. Its id makes a call that is repeated count
// once.
func (l *ledgerNode) enterCorrection(params url.Values) any {
	correction := ledger.Correction{ID: params.Get("id"), Reason: params.Get("reason"),
		Key: ledger.Key{Tenant: params.Get("tenant"),
			Class: params.Get("class"), Answer: params.Get("answer")}}
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
	correction.Period = uint64(max(parseInt("period", true), 0))
	correction.Usage = ledger.Usage{Count: parseInt("n", true), BytesIn: parseInt("bytes_in", false),
		BytesOut: parseInt("bytes_out", false)}
	for _, key := range []string{"id", "tenant", "class", "answer", "reason"} {
		if params.Get(key) == "" {
			errs = append(errs, fmt.Errorf("%s is missing", key))
		}
	}
	if err := errors.Join(errs...); err != nil {
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
	p.closeRoles()
	l.recorder.WaitCommitted(commitWaitTimeout)
	if err := l.recorder.Close(); err != nil {
		p.log.Warn("ledger: the file of waiting counts", "err", err)
	}
	if err := l.host.Close(); err != nil {
		p.log.Warn("ledger: the replicas' file", "err", err)
	}
}
