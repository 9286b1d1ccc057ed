package raftgroup

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

func testEntries(from, to uint64) (out []*raftpb.Entry) {
	for i := from; i <= to; i++ {
		out = append(out, &raftpb.Entry{Index: proto.Uint64(i), Term: proto.Uint64(1),
			Data: fmt.Append(nil, "entry ", i)})
	}
	return out
}

func mustOpenStore(t *testing.T, dir string) *store {
	t.Helper()
	s, err := openStore(dir, "fleet", nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.close() })
	return s
}

// storeWithEntries creates a store with 40 log entries, each saved in a transaction of its own, and returns
// its directory.
func storeWithEntries(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	s := mustOpenStore(t, dir)
	if err := s.createGroup("g"); err != nil {
		t.Fatal(err)
	}
	for _, e := range testEntries(1, 40) {
		if _, err := s.save("g", &raft.Ready{Entries: []*raftpb.Entry{e}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.close(); err != nil {
		t.Fatal(err)
	}
	return dir
}

// A store whose file is truncated at any byte of its last page, or at every 997th byte before, is rejected
// with an error that names the file, or has all of its entries: it never has fewer, and never crashes the
// process.
func TestTruncatedStoreIsRejectedOrComplete(t *testing.T) {
	path := filepath.Join(storeWithEntries(t), "replica.db")
	full, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	//nolint:usetesting // thousands of files, kept in memory where /dev/shm exists
	if memoryDir, err := os.MkdirTemp("/dev/shm", "cresshub-store-"); err == nil {
		t.Cleanup(func() { os.RemoveAll(memoryDir) })
		dir = memoryDir
	}
	rejected, read := 0, 0
	// Every byte of the last page, then every 997th byte before it.
	for size := len(full) - 1; size > 0; {
		if err := os.WriteFile(filepath.Join(dir, "replica.db"), full[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := openStore(dir, "fleet", nil)
		switch {
		case err != nil && !strings.Contains(err.Error(), "replica.db"):
			t.Fatalf("truncated to %d bytes: error %v does not name the file", size, err)
		case err != nil:
			rejected++
		default:
			storage, _, err := s.load("g")
			if err != nil {
				rejected++
			} else if last, _ := storage.LastIndex(); last != 40 {
				t.Fatalf("truncated to %d of %d bytes: the last entry read is %d, not 40", size, len(full), last)
			} else {
				read++
			}
			s.close()
		}
		if size > len(full)-4096 {
			size--
		} else {
			size -= 997
		}
	}
	t.Logf("%d bytes; %d truncations rejected, %d read with all entries", len(full), rejected, read)
	if rejected == 0 {
		t.Error("no truncation was rejected")
	}
}

func TestStoreErrorsNameTheirCause(t *testing.T) {
	dir := storeWithEntries(t)
	put := func(key, value string) func(*store) error {
		return func(s *store) error { return s.setMetaValue(key, value) }
	}
	for name, c := range map[string]struct {
		corrupt  func(*store) error
		wantText string
	}{
		"another fleet":  {put("label", "other"), `fleet "other"`},
		"a newer format": {put("format", "2"), "format"},
		"no format":      {put("format", "x"), "format"},
		"no replica ID":  {put("id", "x"), "no valid replica ID"},
	} {
		raw, err := os.ReadFile(filepath.Join(dir, "replica.db"))
		if err != nil {
			t.Fatal(err)
		}
		copyDir := t.TempDir()
		if err := os.WriteFile(filepath.Join(copyDir, "replica.db"), raw, 0o600); err != nil {
			t.Fatal(err)
		}
		s := mustOpenStore(t, copyDir)
		if err := c.corrupt(s); err != nil {
			t.Fatal(err)
		}
		s.close()
		if _, err := openStore(copyDir, "fleet", nil); err == nil || !strings.Contains(err.Error(), c.wantText) {
			t.Errorf("%s: %v", name, err)
		}
	}
	s := mustOpenStore(t, dir)
	synctest.Test(t, func(t *testing.T) { // virtual time, as openStore waits for the lock
		if _, err := openStore(dir, "fleet", nil); err == nil || !strings.Contains(err.Error(), "another process") {
			t.Errorf("store in use by another process: %v", err)
		}
	})
	err := s.update(func(tx *bolt.Tx) error { // flips a bit in an entry
		b := tx.Bucket(groupBucket("g")).Bucket(logBucket)
		v := append([]byte(nil), b.Get(indexKey(7))...)
		v[9] ^= 1
		return b.Put(indexKey(7), v)
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := s.load("g"); err == nil || !strings.Contains(err.Error(), "log entry 7: checksum mismatch") {
		t.Errorf("corrupt entry: %v", err)
	}
	if err := s.update(func(tx *bolt.Tx) error {
		return tx.Bucket(groupBucket("g")).Bucket(logBucket).Delete(indexKey(7))
	}); err != nil {
		t.Fatal(err)
	}
	if _, _, err := s.load("g"); err == nil || !strings.Contains(err.Error(), "log entry 7 is missing") {
		t.Errorf("missing entry: %v", err)
	}
}

func TestStoreOverwritesCompactsAndClears(t *testing.T) {
	s := mustOpenStore(t, storeWithEntries(t))
	logRange := func() (first, last uint64) {
		t.Helper()
		storage, _, err := s.load("g")
		if err != nil {
			t.Fatal(err)
		}
		first, _ = storage.FirstIndex()
		last, _ = storage.LastIndex()
		return first, last
	}
	// Entries from another leader replace the stored entries from index 30 on.
	if _, err := s.save("g", &raft.Ready{Entries: testEntries(30, 33)}); err != nil {
		t.Fatal(err)
	}
	if first, last := logRange(); first != 1 || last != 33 {
		t.Errorf("after an overwrite the log goes from %d to %d", first, last)
	}
	snap := &raftpb.Snapshot{Data: []byte("state"), Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(25),
		Term: proto.Uint64(1), ConfState: &raftpb.ConfState{Voters: []uint64{1}}}}
	if err := s.compact("g", snap, 20); err != nil {
		t.Fatal(err)
	}
	if first, last := logRange(); first != 26 || last != 33 {
		t.Errorf("after a snapshot at 25 the log goes from %d to %d", first, last)
	}
	hard := &raftpb.HardState{Term: proto.Uint64(9), Vote: proto.Uint64(3), Commit: proto.Uint64(30)}
	if _, err := s.save("g", &raft.Ready{HardState: hard}); err != nil {
		t.Fatal(err)
	}
	if err := s.clearGroup("g"); err != nil {
		t.Fatal(err)
	}
	storage, _, err := s.load("g")
	if err != nil {
		t.Fatal(err)
	}
	got, _, _ := storage.InitialState()
	last, _ := storage.LastIndex()
	if last != 0 || got.GetTerm() != 9 || got.GetVote() != 3 || got.GetCommit() != 0 {
		t.Errorf("after a removal: log to %d, hard state %v", last, got)
	}
	if got := s.groups(); len(got) != 1 || got[0] != "g" {
		t.Errorf("groups %v", got)
	}
}

func TestFileFaultsFailsWritesWhenFileSaysFull(t *testing.T) {
	path := filepath.Join(t.TempDir(), "faults")
	f := FileFaults{path}
	for text, full := range map[string]bool{`{"full": true}`: true, `{}`: false, `garbage`: false} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := f.Sync(); (err != nil) != full {
			t.Errorf("%s: %v", text, err)
		}
	}
	if err := (FileFaults{path + "-not-there"}).Sync(); err != nil {
		t.Error(err)
	}
	s, err := openStore(t.TempDir(), "fleet", FileFaults{path})
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	os.WriteFile(path, []byte(`{"full": true}`), 0o600)
	if err := s.createGroup("g"); err == nil || errors.Is(err, os.ErrNotExist) {
		t.Errorf("write on a full disk: %v", err)
	}
}
