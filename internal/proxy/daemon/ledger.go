package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"cresshub/internal/cluster/groupstate"
	"cresshub/internal/cluster/ledger"
	"cresshub/internal/cluster/membership"
	"cresshub/internal/cluster/pending"
	"cresshub/internal/cluster/placement"
	"cresshub/internal/cluster/raftgroup"
	"cresshub/internal/proxy/ingress"
	"cresshub/internal/proxy/logging"
)

const (
	// ledgerGroup is the name of the Raft group that replicates the ledger.
	ledgerGroup = "ledger"
	// commitWaitTimeout bounds how long a shutdown waits until the last counts are committed; the outbox on
	// disk keeps those that are not.
	commitWaitTimeout = time.Second
)

// ledgerNode is this proxy's member of the replicated ledger of usage by tenant.
type ledgerNode struct {
	host     *raftgroup.Host   // its replica of the group, if it has one, and its calls to the leader
	recorder *pending.Recorder // keeps counts until they are committed
	stop     chan struct{}     // closed at shutdown
}

// openLedger opens the ledger's files and listener if ledger.bind is set; runLedger starts the ledger.
func (p *Proxy) openLedger() error {
	c := &p.cfg.Ledger
	if c.Bind == "" {
		return nil
	}
	settings := ledger.Settings{MaxPeriods: c.MaxPeriods, DedupPeriods: c.DedupPeriods, MaxIDs: c.MaxIDs,
		MaxTenants: c.MaxTenants, MaxMembers: p.cfg.Fleet.MaxMembers}
	if err := settings.Check(); err != nil {
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
		Replicas: c.Replicas, BootstrapExpect: c.BootstrapExpect, MaxLearnerLag: c.MaxLearnerLag,
		HeartbeatInterval: c.HeartbeatInterval, ElectionTimeout: c.ElectionTimeout,
		GoneAfter:       p.cfg.Fleet.GoneAfter,
		SnapshotEntries: c.SnapshotEntries, SnapshotBytes: int64(c.SnapshotBytes), Relay: p.cfg.Fleet.Relay,
		Groups: []string{ledgerGroup}, Faults: faults, Log: p.log.Logger,
		NewStateMachine: func(string) raftgroup.StateMachine {
			m, _ := groupstate.New(settings) // checked above
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
		return errors.Join(err, l.host.Close())
	}
	p.ledger = l
	return nil
}

// propose has the group commit a command and returns its result.
func (l *ledgerNode) propose(ctx context.Context, command []byte) (ledger.Result, error) {
	return pending.DecodeResult(l.host.Propose(ctx, ledgerGroup, command))
}

// usageRecorder returns the function that records the usage of each final response, nil without a ledger.
func (p *Proxy) usageRecorder() func(ingress.Usage) {
	if p.ledger == nil {
		return nil
	}
	recorder := p.ledger.recorder
	return func(u ingress.Usage) {
		recorder.Count(ledger.Key{Tenant: u.Tenant, Class: u.Class, Answer: u.Answer}, u.ID, u.In, u.Out)
	}
}

// runLedger starts the ledger that openLedger opened. It needs the fleet's members and so runs after
// joinFleet.
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

// periodQuery asks for no entries, only for the number of the open period, which every response has.
var periodQuery, _ = json.Marshal(ledger.Query{Tenant: "-", Period: 1})

// peers returns the fleet's members in the form that replica placement uses.
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

// closeLedger stops the singleton roles and closes the recorder and the replica. Counts are committed, or
// stay in the outbox for the next start. Further calls are no-ops; it must not be called from several
// goroutines at once.
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
		p.log.Warn("ledger: the outbox was not closed cleanly", logging.Err, err)
	}
	if err := l.host.Close(); err != nil {
		p.log.Warn("ledger: the replica's log was not closed cleanly", logging.Err, err)
	}
}
