// Command raft measures hashicorp/raft with raft-boltdb as the ledger's group would use it, beside what
// `cresshub rig ledger` measures of ours: three replicas in one process on this machine's disk with real
// syncs, batches at the ledger's pace, then entries as fast as they go. It is a module of its own, so that
// the proxy does not depend on what it did not take.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

// sums is a state machine that does next to nothing.
type sums struct{ n, bytes atomic.Int64 }

func (s *sums) Apply(l *raft.Log) any {
	s.n.Add(1)
	s.bytes.Add(int64(len(l.Data)))
	return nil
}
func (s *sums) Snapshot() (raft.FSMSnapshot, error) { return s, nil }
func (s *sums) Restore(r io.ReadCloser) error       { return r.Close() }
func (s *sums) Persist(k raft.SnapshotSink) error   { return k.Close() }
func (s *sums) Release()                            {}

type node struct {
	r     *raft.Raft
	store *raftboltdb.BoltStore
	at    raft.ServerAddress
}

func open(dir, name string) (*node, error) {
	dir = filepath.Join(dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	store, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(dir, "raft.db")})
	if err != nil {
		return nil, err
	}
	snaps, err := raft.NewFileSnapshotStore(dir, 1, io.Discard)
	if err != nil {
		return nil, err
	}
	t, err := raft.NewTCPTransport("127.0.0.1:0", nil, 3, time.Second, io.Discard)
	if err != nil {
		return nil, err
	}
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(name)
	c.Logger = hclog.NewNullLogger()
	c.SnapshotThreshold = 10000
	r, err := raft.NewRaft(c, &sums{}, store, store, snaps, t)
	if err != nil {
		return nil, err
	}
	return &node{r, store, t.LocalAddr()}, nil
}

func run() error {
	dir := flag.String("dir", "", "folder on the disk to measure; the system's for temporary files where empty")
	batch := flag.Int("batch", 20_000, "bytes of a batch")
	every := flag.Duration("flush", 100*time.Millisecond, "between a member's batches")
	lasting := flag.Duration("for", 15*time.Second, "how long batches go")
	entries := flag.Int("entries", 200_000, "small entries, as fast as they go")
	flag.Parse()
	tmp, err := os.MkdirTemp(*dir, "raft-compare-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(tmp)
	var nodes []*node
	var conf raft.Configuration
	for _, name := range []string{"a", "b", "c"} {
		n, err := open(tmp, name)
		if err != nil {
			return err
		}
		defer n.store.Close()
		nodes = append(nodes, n)
		conf.Servers = append(conf.Servers, raft.Server{ID: raft.ServerID(name), Address: n.at})
	}
	if err := nodes[0].r.BootstrapCluster(conf).Error(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	var lead *raft.Raft
	for lead == nil && ctx.Err() == nil {
		for _, n := range nodes {
			if n.r.State() == raft.Leader {
				lead = n.r
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	hist := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var all sync.WaitGroup
	end := time.Now().Add(*lasting)
	for i := range 3 { // the three members' batches
		all.Go(func() {
			tick := time.NewTicker(*every)
			defer tick.Stop()
			time.Sleep(time.Duration(i) * *every / 3)
			data := make([]byte, *batch)
			for time.Now().Before(end) {
				<-tick.C
				begun := time.Now()
				if err := lead.Apply(data, 10*time.Second).Error(); err != nil {
					fmt.Println("a batch failed:", err)
					return
				}
				mu.Lock()
				hist.RecordValue(time.Since(begun).Microseconds())
				mu.Unlock()
			}
		})
	}
	all.Wait()
	ms := func(q float64) float64 { return float64(hist.ValueAtQuantile(q)) / 1000 }
	fmt.Printf("%d batches of %d bytes: commit p50 %.1f ms, p99 %.1f ms, max %.1f ms\n", hist.TotalCount(),
		*batch, ms(50), ms(99), float64(hist.Max())/1000)
	var next atomic.Int64
	begun := time.Now()
	for range 1024 {
		all.Go(func() {
			data := make([]byte, 60)
			for ctx.Err() == nil && next.Add(1) <= int64(*entries) {
				if lead.Apply(data, time.Minute).Error() != nil {
					return
				}
			}
		})
	}
	all.Wait()
	took := time.Since(begun)
	fmt.Printf("%d entries in %.1f s: %.0f a second\n", *entries, took.Seconds(),
		float64(*entries)/took.Seconds())
	for _, n := range nodes {
		n.r.Shutdown().Error()
	}
	return nil
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
