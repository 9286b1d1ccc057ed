package clusterrig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"cresshub/internal/cluster/groupstate"
	"cresshub/internal/cluster/ledger"
	"cresshub/internal/cluster/pending"
	"cresshub/internal/cluster/placement"
	"cresshub/internal/cluster/raftgroup"
)

// MeasureOptions describe a measurement of the ledger alone: its replicas run in this process, on a real
// disk, without the proxy's data path.
type MeasureOptions struct {
	Dir     string
	Rate    int // answers per second, over all members
	For     time.Duration
	Entries int // log entries that a wiped replica must catch up with
}

// Measured is the result of a measurement.
type Measured struct {
	Answers          int64   `json:"answers"`
	Committed        int64   `json:"promised"`
	PerSecond        float64 `json:"answers_per_second"`
	P50              float64 `json:"commit_p50_ms"`
	P99              float64 `json:"commit_p99_ms"`
	Max              float64 `json:"commit_max_ms"`
	Entries          int64   `json:"entries"`
	EntriesPerSecond float64 `json:"entries_per_second"`
	CatchUpMS        float64 `json:"catch_up_ms"` // of a replica with an empty disk, until it is caught up
	DiskBytes        int64   `json:"disk_bytes"`  // of one replica's file at the end
}

const measureGroup = "ledger"

// measuredMember is one member: its replica host and its recorder of usage.
type measuredMember struct {
	host     *raftgroup.Host
	recorder *pending.Recorder
}

// measurement is the state of one measurement.
type measurement struct {
	opts    MeasureOptions
	mu      sync.Mutex
	members map[string]*measuredMember
}

// peers returns the members as the hosts' view of the membership.
func (m *measurement) peers() []raftgroup.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []raftgroup.Peer
	for name, x := range m.members {
		out = append(out, raftgroup.Peer{Address: x.host.Address(), Member: placement.Member{Name: name,
			ReplicaID: x.host.ID(), Live: true}})
	}
	return out
}

// start starts or restarts a member.
func (m *measurement) start(name string) error {
	dir := filepath.Join(m.opts.Dir, name)
	log := slog.New(slog.DiscardHandler)
	x := &measuredMember{}
	var err error
	x.host, err = raftgroup.Open(raftgroup.Options{Name: name, Bind: "127.0.0.1:0", Dir: dir, Label: "measure",
		Replicas: 3, BootstrapExpect: 3, MaxLearnerLag: 100, HeartbeatInterval: 100 * time.Millisecond,
		ElectionTimeout: time.Second,
		GoneAfter:       time.Hour, SnapshotEntries: 10000, SnapshotBytes: 16 << 20, Groups: []string{measureGroup},
		Log: log, NewStateMachine: func(string) raftgroup.StateMachine {
			l, _ := groupstate.New(ledger.Settings{MaxPeriods: 1440, DedupPeriods: 2, MaxIDs: 1_000_000,
				MaxTenants: 10_000,
				MaxMembers: 4096})
			return l
		}})
	if err != nil {
		return err
	}
	x.recorder, err = pending.Open(pending.Options{Member: name, Dir: dir, FlushInterval: 100 * time.Millisecond,
		MaxQueuedBytes: 64 << 20, Log: log, Propose: func(ctx context.Context, b []byte) (ledger.Result, error) {
			return pending.DecodeResult(x.host.Propose(ctx, measureGroup, b))
		}})
	if err != nil {
		return errors.Join(err, x.host.Close())
	}
	m.mu.Lock()
	m.members[name] = x
	m.mu.Unlock()
	if err := x.host.Run(m.peers); err != nil {
		return err
	}
	x.recorder.Run()
	return nil
}

// Measure lets three members count answers at the rate, then fills the log and lets a wiped replica catch up.
func Measure(ctx context.Context, o MeasureOptions) (r Measured, err error) {
	m := &measurement{opts: o, members: map[string]*measuredMember{}}
	defer func() {
		for _, x := range m.members {
			err = errors.Join(err, x.recorder.Close(), x.host.Close())
		}
	}()
	for _, name := range []string{"a", "b", "c"} {
		if err := m.start(name); err != nil {
			return r, err
		}
	}
	if err := m.waitFullyReplicated(ctx, time.Minute); err != nil {
		return r, err
	}
	started := time.Now()
	m.count(ctx, o.Rate, o.For)
	took := time.Since(started)
	for _, x := range m.members {
		x.recorder.WaitCommitted(10 * time.Second)
		f := x.recorder.Stats()
		r.Answers += f.Counted
		r.Committed += f.Committed
		r.P50, r.P99, r.Max = max(r.P50, f.CommitP50MS), max(r.P99, f.CommitP99MS), max(r.Max, f.CommitMaxMS)
	}
	r.PerSecond = float64(r.Committed) / took.Seconds()
	if err := m.catchUp(ctx, &r); err != nil {
		return r, err
	}
	if st, err := os.Stat(filepath.Join(o.Dir, "a", "replica.db")); err == nil {
		r.DiskBytes = st.Size()
	}
	return r, ctx.Err()
}

// count lets the members count answers at the rate for a while; every 10 ms those that are due.
func (m *measurement) count(ctx context.Context, rate int, lasting time.Duration) {
	start := time.Now()
	done := 0
	var all []*pending.Recorder
	for _, x := range m.members {
		all = append(all, x.recorder)
	}
	for ctx.Err() == nil && time.Since(start) < lasting {
		for due := int(time.Since(start).Seconds() * float64(rate)); done < due; done++ {
			all[done%3].Count(ledger.Key{Tenant: Tenants[done%len(Tenants)], Class: "zone-lookup", Answer: "passed"},
				uint64(done)*0x9e3779b97f4a7c15+1, 500, 2000)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// catchUp fills the log, wipes a follower, and waits until it is a replica again.
func (m *measurement) catchUp(ctx context.Context, r *Measured) error {
	leader := m.leader(ctx)
	if leader == "" || m.opts.Entries == 0 {
		return ctx.Err()
	}
	var next, failed atomic.Int64
	var all sync.WaitGroup
	started := time.Now()
	for w := range 1024 {
		all.Go(func() {
			member := fmt.Sprint("writer-", w)
			for seq := uint64(1); ctx.Err() == nil && next.Add(1) <= int64(m.opts.Entries); seq++ {
				b := ledger.Batch{Member: member, Incarnation: 1, Seq: seq, Usage: []ledger.KeyUsage{{
					Key:   ledger.Key{Tenant: Tenants[w%3], Class: "zone-lookup", Answer: "passed"},
					Usage: ledger.Usage{Count: 1}}}}
				if _, err := m.members[leader].host.Propose(ctx, measureGroup, b.Encode()); err != nil {
					failed.Add(1)
				}
			}
		})
	}
	all.Wait()
	r.Entries = int64(m.opts.Entries) - failed.Load()
	r.EntriesPerSecond = float64(r.Entries) / time.Since(started).Seconds()
	wiped := "a"
	if leader == wiped {
		wiped = "b"
	}
	x := m.members[wiped]
	err := errors.Join(x.recorder.Close(), x.host.Close(), os.RemoveAll(filepath.Join(m.opts.Dir, wiped)))
	if err != nil {
		return err
	}
	started = time.Now()
	if err := m.start(wiped); err != nil {
		return err
	}
	err = m.waitFullyReplicated(ctx, time.Minute)
	r.CatchUpMS = ms(time.Since(started))
	return err
}

// leader waits for the group's leader; "" if ctx ends first.
func (m *measurement) leader(ctx context.Context) string {
	for ctx.Err() == nil {
		for name, x := range m.members {
			if x.host.Leads(measureGroup) {
				return name
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return ""
}

// waitFullyReplicated waits until the group consists of the current disks of the three members, caught up.
func (m *measurement) waitFullyReplicated(ctx context.Context, limit time.Duration) error {
	end := time.Now().Add(limit)
	for ; time.Now().Before(end) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		st := m.members[m.leader(ctx)].host.Status(measureGroup)
		caughtUp := 0
		for _, rep := range st.Replicas {
			x := m.members[rep.Member]
			if x != nil && x.host.Status(measureGroup).Disk == rep.Disk && !rep.Learner && rep.Behind <= 100 {
				caughtUp++
			}
		}
		if caughtUp == 3 && len(st.Replicas) == 3 {
			return nil
		}
	}
	return errors.New("the group was not fully replicated in time")
}

// Print writes the result as a table.
func (r *Measured) Print(w io.Writer) error {
	const header = "ANSWERS\tPROMISED\tPER SECOND\tCOMMIT P50\tP99\tMAX\tENTRIES\tPER SECOND\tCATCH UP\tDISK\n"
	row := fmt.Sprintf("%d\t%d\t%.0f\t%.1f ms\t%.1f ms\t%.1f ms\t%d\t%.0f\t%.0f ms\t%d\n", r.Answers,
		r.Committed, r.PerSecond, r.P50, r.P99, r.Max, r.Entries, r.EntriesPerSecond, r.CatchUpMS, r.DiskBytes)
	return writeTable(w, header+row, 0)
}

// JSON writes it as one object.
func (r *Measured) JSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }
