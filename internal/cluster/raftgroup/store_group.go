package raftgroup

import (
	"encoding/binary"
	"fmt"

	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// logFillPercent is the fraction to which bbolt fills the pages of a log. It is high, as entries are appended
// and hardly ever inserted.
const logFillPercent = 0.95

// createGroup adds an empty group to the file unless the file already has it.
func (s *store) createGroup(group string) error {
	return s.update(func(tx *bolt.Tx) error {
		bucket, err := tx.CreateBucketIfNotExists(groupBucket(group))
		if err == nil {
			_, err = bucket.CreateBucketIfNotExists(logBucket)
		}
		return err
	})
}

// load reads a group into a raft storage and returns the storage with the size of the log in bytes. The
// storage is nil if the file does not have the group.
func (s *store) load(group string) (storage *raft.MemoryStorage, logBytes int64, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		bucket := tx.Bucket(groupBucket(group))
		if bucket == nil {
			return nil
		}
		storage = raft.NewMemoryStorage()
		if err := loadSnapshot(bucket, storage); err != nil {
			return err
		}
		if err := loadHardState(bucket, storage); err != nil {
			return err
		}
		var err error
		logBytes, err = loadEntries(bucket, storage)
		return err
	})
	if err != nil {
		return nil, 0, fmt.Errorf("%s: group %s: %w", s.path, group, err)
	}
	return storage, logBytes, nil
}

func loadSnapshot(bucket *bolt.Bucket, storage *raft.MemoryStorage) error {
	raw := bucket.Get(snapshotKey)
	if raw == nil {
		return nil
	}
	snap := &raftpb.Snapshot{}
	if err := decodeValue("stored snapshot", raw, snap); err != nil {
		return err
	}
	return storage.ApplySnapshot(snap)
}

// loadHardState reads the hard state; the snapshot must be loaded before. A rise of the commit index alone is
// not stored, so the snapshot's index may be higher.
func loadHardState(bucket *bolt.Bucket, storage *raft.MemoryStorage) error {
	raw := bucket.Get(hardStateKey)
	if raw == nil {
		return nil
	}
	hardState := &raftpb.HardState{}
	if err := decodeValue("stored hard state", raw, hardState); err != nil {
		return err
	}
	snap, err := storage.Snapshot()
	if err != nil {
		return err
	}
	hardState.Commit = proto.Uint64(max(hardState.GetCommit(), snap.GetMetadata().GetIndex()))
	return storage.SetHardState(hardState)
}

// loadEntries reads the log entries after the snapshot and returns their size in bytes. It returns an error
// if an entry is missing.
func loadEntries(bucket *bolt.Bucket, storage *raft.MemoryStorage) (int64, error) {
	first, err := storage.FirstIndex()
	if err != nil {
		return 0, err
	}
	var entries []*raftpb.Entry
	var size int64
	cursor := bucket.Bucket(logBucket).Cursor()
	for key, value := cursor.Seek(indexKey(first)); key != nil; key, value = cursor.Next() {
		entry := &raftpb.Entry{}
		valueName := fmt.Sprintf("log entry %d", binary.BigEndian.Uint64(key))
		if err := decodeValue(valueName, value, entry); err != nil {
			return 0, err
		}
		if want := first + uint64(len(entries)); entry.GetIndex() != want {
			return 0, fmt.Errorf("log entry %d is missing", want)
		}
		entries = append(entries, entry)
		size += int64(len(value))
	}
	return size, storage.Append(entries)
}

// decodeValue verifies and decodes a group's stored value, which errors call valueName.
func decodeValue(valueName string, stored []byte, into proto.Message) error {
	value, err := verifyChecksum(stored)
	if err == nil {
		err = proto.Unmarshal(value, into)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", valueName, err)
	}
	return nil
}

// putValue writes a group's value and returns its size in bytes, including the checksum.
func putValue(bucket *bolt.Bucket, key []byte, value proto.Message) (int64, error) {
	raw, err := proto.Marshal(value)
	if err != nil {
		return 0, err
	}
	return checksumSize + int64(len(raw)), bucket.Put(key, addChecksum(raw))
}

// save stores the durable part of a raft.Ready in one synced transaction and returns the size in bytes of the
// log entries that it wrote.
func (s *store) save(group string, ready *raft.Ready) (logBytes int64, err error) {
	err = s.update(func(tx *bolt.Tx) error {
		bucket := tx.Bucket(groupBucket(group))
		if !raft.IsEmptySnap(ready.Snapshot) {
			if err := saveSnapshot(bucket, ready.Snapshot); err != nil {
				return err
			}
		}
		if !raft.IsEmptyHardState(ready.HardState) {
			if _, err := putValue(bucket, hardStateKey, ready.HardState); err != nil {
				return err
			}
		}
		var err error
		logBytes, err = saveEntries(bucket.Bucket(logBucket), ready.Entries)
		return err
	})
	return logBytes, err
}

// saveSnapshot replaces the snapshot by the given one, and the log by an empty one that follows it.
func saveSnapshot(bucket *bolt.Bucket, snap *raftpb.Snapshot) error {
	if _, err := putValue(bucket, snapshotKey, snap); err != nil {
		return err
	}
	return emptyLog(bucket)
}

func emptyLog(bucket *bolt.Bucket) error {
	if err := bucket.DeleteBucket(logBucket); err != nil {
		return err
	}
	_, err := bucket.CreateBucket(logBucket)
	return err
}

// saveEntries appends entries to the log and returns their size in bytes. Stored entries from the first new
// index onwards come from an earlier leader and are overwritten or deleted.
func saveEntries(log *bolt.Bucket, entries []*raftpb.Entry) (int64, error) {
	if len(entries) == 0 {
		return 0, nil
	}
	log.FillPercent = logFillPercent
	var size int64
	for _, entry := range entries {
		entrySize, err := putValue(log, indexKey(entry.GetIndex()), entry)
		if err != nil {
			return 0, err
		}
		size += entrySize
	}
	next := indexKey(entries[len(entries)-1].GetIndex() + 1)
	cursor := log.Cursor()
	for key, _ := cursor.Seek(next); key != nil; key, _ = cursor.Seek(next) {
		if err := cursor.Delete(); err != nil {
			return 0, err
		}
	}
	return size, nil
}

// compact stores a snapshot and deletes the log entries before firstIndex.
func (s *store) compact(group string, snap *raftpb.Snapshot, firstIndex uint64) error {
	return s.update(func(tx *bolt.Tx) error {
		bucket := tx.Bucket(groupBucket(group))
		if _, err := putValue(bucket, snapshotKey, snap); err != nil {
			return err
		}
		cursor := bucket.Bucket(logBucket).Cursor()
		isOld := func(key []byte) bool { return key != nil && binary.BigEndian.Uint64(key) < firstIndex }
		for key, _ := cursor.First(); isOld(key); key, _ = cursor.First() {
			if err := cursor.Delete(); err != nil {
				return err
			}
		}
		return nil
	})
}

// clearGroup deletes the log and the snapshot of a removed replica. Its term and vote are kept, so that it
// doesn't vote twice in a term if it is added again.
func (s *store) clearGroup(group string) error {
	return s.update(func(tx *bolt.Tx) error {
		bucket := tx.Bucket(groupBucket(group))
		if err := bucket.Delete(snapshotKey); err != nil {
			return err
		}
		if err := resetCommit(bucket); err != nil {
			return err
		}
		return emptyLog(bucket)
	})
}

// resetCommit sets the commit index in the hard state, if there is one, to 0, that of an empty log.
func resetCommit(bucket *bolt.Bucket) error {
	raw := bucket.Get(hardStateKey)
	if raw == nil {
		return nil
	}
	hardState := &raftpb.HardState{}
	if err := decodeValue("stored hard state", raw, hardState); err != nil {
		return err
	}
	hardState.Commit = proto.Uint64(0)
	_, err := putValue(bucket, hardStateKey, hardState)
	return err
}
