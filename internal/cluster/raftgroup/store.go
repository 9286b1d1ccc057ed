package raftgroup

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// storeFormat is that of the file; one of a newer format is refused.
const storeFormat = 1

// The file holds one bucket of what it is, and one bucket a group: the log by index, the hard state, the last
// snapshot. Every value of a group has a checksum before it (xxhash, 8 bytes).
var (
	metaBucket   = []byte("meta")
	logBucket    = []byte("log")
	hardStateKey = []byte("hard")
	snapshotKey  = []byte("snap")
)

// DiskFaults has the disk fail, for tests and the laboratory. A nil one does nothing.
type DiskFaults interface {
	// Sync is called before what is written is synced: it may wait, or return an error such as ENOSPC.
	Sync() error
}

// store is a member's disk: a bbolt file that all its groups write to.
type store struct {
	db     *bolt.DB
	path   string
	id     uint64 // identity of this disk, drawn when the file was made
	faults DiskFaults
}

// openStore opens the file in a folder, making both where they are missing. Errors name the file and say what
// is wrong: of another fleet, of a newer format, held by another process, cut off.
func openStore(dir, label string, faults DiskFaults) (*store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "replica.db")
	if err := checkNotTruncated(path); err != nil {
		return nil, err
	}
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second, NoFreelistSync: true,
		FreelistType: bolt.FreelistMapType})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%s is held by another process", path)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	s := &store{db: db, path: path, faults: faults}
	if err := s.identify(label); err != nil {
		db.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// checkNotTruncated refuses a file that is shorter than its own head says: reading on would end in a fault
// of the memory it is mapped to.
func checkNotTruncated(path string) error {
	st, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if st.Size() == 0 {
		return nil // made and not yet written
	}
	truncated := func(why string) error {
		return fmt.Errorf("%s is cut off (%s); move it away and start again: the group brings this replica up "+
			"anew from the others", path, why)
	}
	db, err := bolt.Open(path, 0o600, &bolt.Options{ReadOnly: true, Timeout: time.Second})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return fmt.Errorf("%s is held by another process", path)
	}
	if err != nil {
		return truncated(err.Error())
	}
	defer db.Close()
	tx, err := db.Begin(false)
	if err != nil {
		return truncated(err.Error())
	}
	defer tx.Rollback()
	if want := tx.Size(); st.Size() < want {
		return truncated(fmt.Sprintf("%d bytes of %d", st.Size(), want))
	}
	return nil
}

// identify reads what the file is, or writes it into a new one.
func (s *store) identify(label string) error {
	return s.db.Update(func(tx *bolt.Tx) error {
		b := tx.Bucket(metaBucket)
		if b == nil {
			b, err := tx.CreateBucket(metaBucket)
			if err != nil {
				return err
			}
			s.id = rand.Uint64() | 1 // never raft's none
			return errors.Join(b.Put([]byte("format"), []byte(strconv.Itoa(storeFormat))),
				b.Put([]byte("label"), []byte(label)), b.Put([]byte("id"), binary.BigEndian.AppendUint64(nil, s.id)))
		}
		if f, err := strconv.Atoi(string(b.Get([]byte("format")))); err != nil || f > storeFormat || f < 1 {
			return fmt.Errorf("its format is %q; this program reads up to %d", b.Get([]byte("format")), storeFormat)
		}
		if got := string(b.Get([]byte("label"))); got != label {
			return fmt.Errorf("it is of the fleet %q, and fleet.label is %q", got, label)
		}
		id := b.Get([]byte("id"))
		if len(id) != 8 {
			return errors.New("it has no identity")
		}
		s.id = binary.BigEndian.Uint64(id)
		return nil
	})
}

func (s *store) close() error { return s.db.Close() }

// update writes and syncs, or changes nothing.
func (s *store) update(f func(*bolt.Tx) error) error {
	if s.faults != nil {
		if err := s.faults.Sync(); err != nil {
			return err
		}
	}
	return s.db.Update(f)
}

func addChecksum(b []byte) []byte {
	return append(binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(b)), xxhash.Sum64(b)), b...)
}

func verifyChecksum(b []byte) ([]byte, error) {
	if len(b) < 8 || binary.BigEndian.Uint64(b) != xxhash.Sum64(b[8:]) {
		return nil, errors.New("its checksum does not fit")
	}
	return b[8:], nil
}

func groupBucket(group string) []byte { return []byte("group/" + group) }

func indexKey(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

// groups are the names of the groups that the file holds.
func (s *store) groups() []string {
	var names []string
	s.db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(name []byte, _ *bolt.Bucket) error {
			if len(name) > len("group/") && string(name[:6]) == "group/" {
				names = append(names, string(name[6:]))
			}
			return nil
		})
	})
	return names
}

// load reads a group into a storage of raft's, nil where the file does not hold the group.
func (s *store) load(group string) (*raft.MemoryStorage, int64, error) {
	var ms *raft.MemoryStorage
	var size int64
	err := s.db.View(func(tx *bolt.Tx) error {
		b := tx.Bucket(groupBucket(group))
		if b == nil {
			return nil
		}
		ms = raft.NewMemoryStorage()
		read := func(what string, raw []byte, into proto.Message) error {
			plain, err := verifyChecksum(raw)
			if err == nil {
				err = proto.Unmarshal(plain, into)
			}
			if err != nil {
				return fmt.Errorf("%s: group %s: %s: %w", s.path, group, what, err)
			}
			return nil
		}
		if raw := b.Get(snapshotKey); raw != nil {
			snap := &raftpb.Snapshot{}
			if err := read("its snapshot", raw, snap); err != nil {
				return err
			}
			if err := ms.ApplySnapshot(snap); err != nil {
				return err
			}
		}
		if raw := b.Get(hardStateKey); raw != nil {
			hard := &raftpb.HardState{}
			if err := read("its hard state", raw, hard); err != nil {
				return err
			}
			// A commit index that rises by itself is not synced: the snapshot's may be further.
			snap, _ := ms.Snapshot()
			hard.Commit = proto.Uint64(max(hard.GetCommit(), snap.GetMetadata().GetIndex()))
			ms.SetHardState(hard)
		}
		first, _ := ms.FirstIndex()
		c := b.Bucket(logBucket).Cursor()
		var entries []*raftpb.Entry
		for k, v := c.Seek(indexKey(first)); k != nil; k, v = c.Next() {
			e := &raftpb.Entry{}
			if err := read(fmt.Sprintf("log entry %d", binary.BigEndian.Uint64(k)), v, e); err != nil {
				return err
			}
			if want := first + uint64(len(entries)); e.GetIndex() != want {
				return fmt.Errorf("%s: group %s: log entry %d is missing", s.path, group, want)
			}
			entries = append(entries, e)
			size += int64(len(v))
		}
		return ms.Append(entries)
	})
	return ms, size, err
}

// createGroup makes room for a group.
func (s *store) createGroup(group string) error {
	return s.update(func(tx *bolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(groupBucket(group))
		if err == nil {
			_, err = b.CreateBucketIfNotExists(logBucket)
		}
		return err
	})
}

// save writes what a Ready of raft's wants on disk, in one synced transaction, and says how many bytes of log
// that was.
func (s *store) save(group string, rd *raft.Ready) (int64, error) {
	var size int64
	err := s.update(func(tx *bolt.Tx) error {
		b := tx.Bucket(groupBucket(group))
		log := b.Bucket(logBucket)
		if !raft.IsEmptySnap(rd.Snapshot) {
			raw, err := proto.Marshal(rd.Snapshot)
			if err != nil {
				return err
			}
			if err := b.Put(snapshotKey, addChecksum(raw)); err != nil {
				return err
			}
			if err := b.DeleteBucket(logBucket); err != nil { // the log starts anew behind the snapshot
				return err
			}
			if log, err = b.CreateBucket(logBucket); err != nil {
				return err
			}
		}
		if !raft.IsEmptyHardState(rd.HardState) {
			raw, err := proto.Marshal(rd.HardState)
			if err != nil {
				return err
			}
			if err := b.Put(hardStateKey, addChecksum(raw)); err != nil {
				return err
			}
		}
		if len(rd.Entries) == 0 {
			return nil
		}
		log.FillPercent = 0.95 // appended to, hardly ever inserted into
		size = 0
		for _, e := range rd.Entries {
			raw, err := proto.Marshal(e)
			if err != nil {
				return err
			}
			if err := log.Put(indexKey(e.GetIndex()), addChecksum(raw)); err != nil {
				return err
			}
			size += int64(len(raw)) + 8
		}
		// What stands behind was of another leader and is overwritten.
		behind := indexKey(rd.Entries[len(rd.Entries)-1].GetIndex() + 1)
		c := log.Cursor()
		for k, _ := c.Seek(behind); k != nil; k, _ = c.Seek(behind) {
			if err := c.Delete(); err != nil {
				return err
			}
		}
		return nil
	})
	return size, err
}

// compact writes a snapshot and drops the log before an index.
func (s *store) compact(group string, snap *raftpb.Snapshot, firstIndex uint64) error {
	raw, err := proto.Marshal(snap)
	if err != nil {
		return err
	}
	return s.update(func(tx *bolt.Tx) error {
		b := tx.Bucket(groupBucket(group))
		if err := b.Put(snapshotKey, addChecksum(raw)); err != nil {
			return err
		}
		c := b.Bucket(logBucket).Cursor()
		for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) < firstIndex; k, _ = c.First() {
			if err := c.Delete(); err != nil {
				return err
			}
		}
		return nil
	})
}

// clearGroup drops a group's log and snapshot, after its replica here was removed. What it voted stays.
func (s *store) clearGroup(group string) error {
	return s.update(func(tx *bolt.Tx) error {
		b := tx.Bucket(groupBucket(group))
		if err := b.Delete(snapshotKey); err != nil {
			return err
		}
		if raw := b.Get(hardStateKey); raw != nil {
			hard := &raftpb.HardState{}
			if plain, err := verifyChecksum(raw); err != nil || proto.Unmarshal(plain, hard) != nil {
				return errors.New("its hard state does not decode")
			}
			hard.Commit = proto.Uint64(0)
			plain, err := proto.Marshal(hard)
			if err != nil {
				return err
			}
			if err := b.Put(hardStateKey, addChecksum(plain)); err != nil {
				return err
			}
		}
		if err := b.DeleteBucket(logBucket); err != nil {
			return err
		}
		_, err := b.CreateBucket(logBucket)
		return err
	})
}

// metaValue and setMetaValue are small things of the member's own, beside the groups.
func (s *store) metaValue(key string) string {
	var v string
	s.db.View(func(tx *bolt.Tx) error {
		v = string(tx.Bucket(metaBucket).Get([]byte(key)))
		return nil
	})
	return v
}

func (s *store) setMetaValue(key, value string) error {
	return s.update(func(tx *bolt.Tx) error { return tx.Bucket(metaBucket).Put([]byte(key), []byte(value)) })
}
