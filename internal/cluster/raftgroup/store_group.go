package raftgroup

import (
	"encoding/binary"
	"fmt"

	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// logFillPercent is how full bbolt packs the pages of a log, which is appended to and hardly ever inserted
// into.
const logFillPercent = 0.95

// createGroup adds an empty group unless the file has it.
func (s *store) createGroup(group string) error {
	return s.update(func(tx *bolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(groupBucket(group))
		if err == nil {
			_, err = b.CreateBucketIfNotExists(logBucket)
		}
		return err
	})
}

// load reads a group into a raft storage and returns that with the size of the log in bytes. The storage is
// nil if the file does not have the group.
func (s *store) load(group string) (*raft.MemoryStorage, int64, error) {
	var storage *raft.MemoryStorage
	var size int64
	err := s.db.View(func(tx *bolt.Tx) error {
		b := tx.Bucket(groupBucket(group))
		if b == nil {
			return nil
		}
		storage = raft.NewMemoryStorage()
		if err := loadSnapshot(b, storage); err != nil {
			return err
		}
		if err := loadHardState(b, storage); err != nil {
			return err
		}
		var err error
		size, err = loadEntries(b, storage)
		return err
	})
	if err != nil {
		return nil, 0, fmt.Errorf("%s: group %s: %w", s.path, group, err)
	}
	return storage, size, nil
}

func loadSnapshot(b *bolt.Bucket, storage *raft.MemoryStorage) error {
	raw := b.Get(snapshotKey)
	if raw == nil {
		return nil
	}
	snap := &raftpb.Snapshot{}
	if err := decodeValue("its snapshot", raw, snap); err != nil {
		return err
	}
	return storage.ApplySnapshot(snap)
}

// loadHardState reads the hard state, once the snapshot is loaded. A change of the commit index alone is not
// synced, so the index of the snapshot may be higher.
func loadHardState(b *bolt.Bucket, storage *raft.MemoryStorage) error {
	raw := b.Get(hardStateKey)
	if raw == nil {
		return nil
	}
	hardState := &raftpb.HardState{}
	if err := decodeValue("its hard state", raw, hardState); err != nil {
		return err
	}
	snap, err := storage.Snapshot()
	if err != nil {
		return err
	}
	hardState.Commit = proto.Uint64(max(hardState.GetCommit(), snap.GetMetadata().GetIndex()))
	return storage.SetHardState(hardState)
}

// loadEntries reads the log after the snapshot, which must have no gap, and returns its size in bytes.
func loadEntries(b *bolt.Bucket, storage *raft.MemoryStorage) (int64, error) {
	first, err := storage.FirstIndex()
	if err != nil {
		return 0, err
	}
	var entries []*raftpb.Entry
	var size int64
	c := b.Bucket(logBucket).Cursor()
	for k, v := c.Seek(indexKey(first)); k != nil; k, v = c.Next() {
		e := &raftpb.Entry{}
		if err := decodeValue(fmt.Sprintf("log entry %d", binary.BigEndian.Uint64(k)), v, e); err != nil {
			return 0, err
		}
		if want := first + uint64(len(entries)); e.GetIndex() != want {
			return 0, fmt.Errorf("log entry %d is missing", want)
		}
		entries = append(entries, e)
		size += int64(len(v))
	}
	return size, storage.Append(entries)
}

// decodeValue reads a group's value; what names it in errors.
func decodeValue(what string, raw []byte, into proto.Message) error {
	plain, err := verifyChecksum(raw)
	if err == nil {
		err = proto.Unmarshal(plain, into)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", what, err)
	}
	return nil
}

// putValue writes a group's value and returns its size in bytes.
func putValue(b *bolt.Bucket, key []byte, value proto.Message) (int64, error) {
	plain, err := proto.Marshal(value)
	if err != nil {
		return 0, err
	}
	return checksumSize + int64(len(plain)), b.Put(key, addChecksum(plain))
}

// save stores the durable part of a raft.Ready in one synced transaction, and returns how many bytes of log
// that added.
func (s *store) save(group string, rd *raft.Ready) (int64, error) {
	var size int64
	err := s.update(func(tx *bolt.Tx) error {
		b := tx.Bucket(groupBucket(group))
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := saveSnapshot(b, rd.Snapshot); err != nil {
				return err
			}
		}
		if !raft.IsEmptyHardState(rd.HardState) {
			if _, err := putValue(b, hardStateKey, rd.HardState); err != nil {
				return err
			}
		}
		var err error
		size, err = saveEntries(b.Bucket(logBucket), rd.Entries)
		return err
	})
	return size, err
}

// saveSnapshot replaces the snapshot by a leader's, and the log by an empty one that follows it.
func saveSnapshot(b *bolt.Bucket, snap *raftpb.Snapshot) error {
	if _, err := putValue(b, snapshotKey, snap); err != nil {
		return err
	}
	return emptyLog(b)
}

func emptyLog(b *bolt.Bucket) error {
	if err := b.DeleteBucket(logBucket); err != nil {
		return err
	}
	_, err := b.CreateBucket(logBucket)
	return err
}

// saveEntries appends entries to the log and returns their size in bytes. Stored entries from the first new
// index on come from an earlier leader, and are overwritten or deleted.
func saveEntries(log *bolt.Bucket, entries []*raftpb.Entry) (int64, error) {
	if len(entries) == 0 {
		return 0, nil
	}
	log.FillPercent = logFillPercent
	var size int64
	for _, e := range entries {
		n, err := putValue(log, indexKey(e.GetIndex()), e)
		if err != nil {
			return 0, err
		}
		size += n
	}
	behind := indexKey(entries[len(entries)-1].GetIndex() + 1)
	c := log.Cursor()
	for k, _ := c.Seek(behind); k != nil; k, _ = c.Seek(behind) {
		if err := c.Delete(); err != nil {
			return 0, err
		}
	}
	return size, nil
}

// compact stores a snapshot and deletes the log before an index.
func (s *store) compact(group string, snap *raftpb.Snapshot, firstIndex uint64) error {
	return s.update(func(tx *bolt.Tx) error {
		b := tx.Bucket(groupBucket(group))
		if _, err := putValue(b, snapshotKey, snap); err != nil {
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

// clearGroup deletes the log and snapshot of a removed replica. Its term and vote stay, so that it doesn't
// vote twice in a term if it is added again.
func (s *store) clearGroup(group string) error {
	return s.update(func(tx *bolt.Tx) error {
		b := tx.Bucket(groupBucket(group))
		if err := b.Delete(snapshotKey); err != nil {
			return err
		}
		if raw := b.Get(hardStateKey); raw != nil {
			hardState := &raftpb.HardState{}
			if err := decodeValue("its hard state", raw, hardState); err != nil {
				return err
			}
			hardState.Commit = proto.Uint64(0)
			if _, err := putValue(b, hardStateKey, hardState); err != nil {
				return err
			}
		}
		return emptyLog(b)
	})
}
