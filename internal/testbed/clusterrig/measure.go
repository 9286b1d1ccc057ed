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

const (
	measureGroup = "ledger"
	// measuredReplicas is how many members there are; each holds a replica.
	measuredReplicas = 3
	// countInterval is how often the answers that are due are counted.
	countInterval = 10 * time.Millisecond
	// proposers is how many goroutines fill the log at the same time.
	proposers = 1024
	// maxLearnerLag is how many entries a replica may lack and count as caught up.
	maxLearnerLag = 100
	// leaderPollInterval is how often the group is asked for its leader and its replicas.
	leaderPollInterval = 5 * time.Millisecond
	// replicationTimeout bounds how long the group may take until it is fully replicated.
	replicationTimeout = time.Minute
	// commitTimeout bounds the wait until what a member counted is committed.
	commitTimeout = 10 * time.Second
)

// measuredNames are the members.
var measuredNames = [measuredReplicas]string{"a", "b", "c"}

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
	var peers []raftgroup.Peer
	for name, member := range m.members {
		peers = append(peers, raftgroup.Peer{Address: member.host.Address(), Member: placement.Member{Name: name,
			ReplicaID: member.host.ID(), Live: true}})
	}
	return peers
}

// start starts or restarts a member.
func (m *measurement) start(name string) error {
	dir := filepath.Join(m.opts.Dir, name)
	log := slog.New(slog.DiscardHandler)
	host, err := openHost(name, dir, log)
	if err != nil {
		return err
	}
	recorder, err := pending.Open(pending.Options{
		Member: name, Dir: dir, FlushInterval: 100 * time.Millisecond, MaxQueuedBytes: 64 << 20, Log: log,
		Propose: func(ctx context.Context, batch []byte) (ledger.Result, error) {
			return pending.DecodeResult(host.Propose(ctx, measureGroup, batch))
		},
	})
	if err != nil {
		return errors.Join(err, host.Close())
	}
	m.mu.Lock()
	m.members[name] = &measuredMember{host: host, recorder: recorder}
	m.mu.Unlock()
	if err := host.Run(m.peers); err != nil {
		return err
	}
	recorder.Run()
	return nil
}

// openHost opens a member's replica host, on its disk.
func openHost(name, dir string, log *slog.Logger) (*raftgroup.Host, error) {
	limits := ledger.Settings{MaxPeriods: 1440, DedupPeriods: 2, MaxIDs: 1_000_000, MaxTenants: 10_000,
		MaxMembers: 4096}
	return raftgroup.Open(raftgroup.Options{
		Name: name, Bind: "127.0.0.1:0", Dir: dir, Label: "measure", Groups: []string{measureGroup},
		Replicas: measuredReplicas, BootstrapExpect: measuredReplicas, MaxLearnerLag: maxLearnerLag,
		HeartbeatInterval: 100 * time.Millisecond, ElectionTimeout: time.Second, GoneAfter: time.Hour,
		SnapshotEntries: 10000, SnapshotBytes: 16 << 20, Log: log,
		NewStateMachine: func(string) raftgroup.StateMachine {
			machine, _ := groupstate.New(limits) // it fails only for limits that make no sense
			return machine
		},
	})
}

// Measure lets three members count answers at the rate, then fills the log and lets a wiped replica catch up.
func Measure(ctx context.Context, o MeasureOptions) (r Measured, err error) {
	m := &measurement{opts: o, members: map[string]*measuredMember{}}
	defer func() {
		for _, member := range m.members {
			err = errors.Join(err, member.recorder.Close(), member.host.Close())
		}
	}()
	for _, name := range measuredNames {
		if err := m.start(name); err != nil {
			return r, err
		}
	}
	if err := m.waitFullyReplicated(ctx, replicationTimeout); err != nil {
		return r, err
	}
	started := time.Now()
	m.count(ctx, o.Rate, o.For)
	took := time.Since(started)
	for _, member := range m.members {
		member.recorder.WaitCommitted(commitTimeout)
		r.add(member.recorder.Stats())
	}
	r.PerSecond = float64(r.Committed) / took.Seconds()
	if err := m.catchUp(ctx, &r); err != nil {
		return r, err
	}
	if file, err := os.Stat(filepath.Join(o.Dir, measuredNames[0], "replica.db")); err == nil {
		r.DiskBytes = file.Size()
	}
	return r, ctx.Err()
}

// count lets the members count answers at the rate for a while, in turn.
func (m *measurement) count(ctx context.Context, rate int, lasting time.Duration) {
	start := time.Now()
	done := 0
	var recorders []*pending.Recorder
	for _, member := range m.members {
		recorders = append(recorders, member.recorder)
	}
	for ctx.Err() == nil && time.Since(start) < lasting {
		for due := int(time.Since(start).Seconds() * float64(rate)); done < due; done++ {
			recorders[done%measuredReplicas].Count(measuredKey(done), uint64(done)*0x9e3779b97f4a7c15+1, 500, 2000)
		}
		time.Sleep(countInterval)
	}
}

// measuredKey is the key of the answer of that number: each tenant's in turn.
func measuredKey(number int) ledger.Key {
	return ledger.Key{Tenant: Tenants[number%len(Tenants)], Class: "zone-lookup", Answer: "passed"}
}

// add adds what one member counted.
func (r *Measured) add(counted pending.Stats) {
	r.Answers += counted.Counted
	r.Committed += counted.Committed
	r.P50, r.P99 = max(r.P50, counted.CommitP50MS), max(r.P99, counted.CommitP99MS)
	r.Max = max(r.Max, counted.CommitMaxMS)
}

// catchUp fills the log, wipes a follower, and waits until it is a replica again.
func (m *measurement) catchUp(ctx context.Context, r *Measured) error {
	leader := m.leader(ctx)
	if leader == "" || m.opts.Entries == 0 {
		return ctx.Err()
	}
	started := time.Now()
	r.Entries = int64(m.opts.Entries) - m.fillLog(ctx, leader)
	r.EntriesPerSecond = float64(r.Entries) / time.Since(started).Seconds()
	wiped := measuredNames[0]
	if leader == wiped {
		wiped = measuredNames[1]
	}
	member := m.members[wiped]
	err := errors.Join(member.recorder.Close(), member.host.Close(),
		os.RemoveAll(filepath.Join(m.opts.Dir, wiped)))
	if err != nil {
		return err
	}
	started = time.Now()
	if err := m.start(wiped); err != nil {
		return err
	}
	err = m.waitFullyReplicated(ctx, replicationTimeout)
	r.CatchUpMS = milliseconds(time.Since(started))
	return err
}

// fillLog proposes the entries at the leader, and returns how many failed.
func (m *measurement) fillLog(ctx context.Context, leader string) int64 {
	var next, failed atomic.Int64
	var proposing sync.WaitGroup
	for number := range proposers {
		proposing.Go(func() {
			name := fmt.Sprint("writer-", number)
			for seq := uint64(1); ctx.Err() == nil && next.Add(1) <= int64(m.opts.Entries); seq++ {
				batch := ledger.Batch{Member: name, Incarnation: 1, Seq: seq, Usage: []ledger.KeyUsage{{
					Key: measuredKey(number), Usage: ledger.Usage{Count: 1}}}}
				if _, err := m.members[leader].host.Propose(ctx, measureGroup, batch.Encode()); err != nil {
					failed.Add(1)
				}
			}
		})
	}
	proposing.Wait()
	return failed.Load()
}

// leader waits for the group's leader; "" if ctx ends first.
func (m *measurement) leader(ctx context.Context) string {
	for ctx.Err() == nil {
		for name, member := range m.members {
			if member.host.Leads(measureGroup) {
				return name
			}
		}
		time.Sleep(leaderPollInterval)
	}
	return ""
}

// waitFullyReplicated waits until the group consists of the current disks of the three members, caught up.
func (m *measurement) waitFullyReplicated(ctx context.Context, limit time.Duration) error {
	end := time.Now().Add(limit)
	for ; time.Now().Before(end) && ctx.Err() == nil; time.Sleep(leaderPollInterval) {
		leader := m.leader(ctx)
		if leader == "" {
			break
		}
		replicas := m.members[leader].host.Status(measureGroup).Replicas
		caughtUp := 0
		for i := range replicas {
			if m.isCaughtUp(&replicas[i]) {
				caughtUp++
			}
		}
		if caughtUp == measuredReplicas && len(replicas) == measuredReplicas {
			return nil
		}
	}
	return errors.New("the group was not fully replicated in time")
}

// isCaughtUp reports whether a replica votes, is on its member's current disk and lacks few entries.
func (m *measurement) isCaughtUp(replica *raftgroup.ReplicaStatus) bool {
	member := m.members[replica.Member]
	return member != nil && member.host.Status(measureGroup).Disk == replica.Disk && !replica.Learner &&
		replica.LagEntries <= maxLearnerLag
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
