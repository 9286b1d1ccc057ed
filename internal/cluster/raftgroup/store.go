package raftgroup

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	bolt "go.etcd.io/bbolt"

	"cresshub/internal/cluster/boltfile"
)

// storeFormat is the newest format of the file that this program reads, and the one it writes.
const storeFormat = 1

// The file has one bucket for itself (identity and bootstrap votes) and one a group, with the hard state, the
// last snapshot and a bucket of log entries by index. Each value of a group has a checksum before it (xxhash,
// 8 bytes).
var (
	metaBucket   = []byte("meta")
	logBucket    = []byte("log")
	hardStateKey = []byte("hard")
	snapshotKey  = []byte("snap")

	metaFormat = []byte("format")
	metaLabel  = []byte("label")
	metaID     = []byte("id")
)

// groupPrefix begins the names of the groups' buckets.
const groupPrefix = "group/"

// store is what a member's replicas have on disk: one bbolt file for all groups. Its methods may be called
// from any goroutine; writers wait for each other.
type store struct {
	db     *bolt.DB
	path   string
	id     uint64 // ID of this disk, and of all replicas on it, drawn when the file was made
	faults DiskFaults
}

// openStore opens the file in a folder, making both where they are missing. Errors name the file and what is
// wrong: it is another fleet's, of a newer format, in use by another process, truncated.
func openStore(dir, label string, faults DiskFaults) (*store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "replica.db")
	if err := checkNotTruncated(path); err != nil {
		return nil, err
	}
	db, err := boltfile.Open(path, bolt.Options{NoFreelistSync: true, FreelistType: bolt.FreelistMapType})
	if errors.Is(err, boltfile.ErrLocked) {
		return nil, err // names the file
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	s := &store{db: db, path: path, faults: faults}
	if err := s.identify(label); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), db.Close())
	}
	return s, nil
}

// checkNotTruncated rejects a file that is shorter than its own meta page says: bbolt maps it into memory,
// and a read beyond its end would kill the process.
func checkNotTruncated(path string) error {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if info.Size() == 0 {
		return nil // made and not written yet
	}
	size, err := sizeByMetaPage(path)
	switch {
	case errors.Is(err, boltfile.ErrLocked):
		return err // names the file
	case err != nil:
		return truncatedError(path, err.Error())
	case info.Size() < size:
		return truncatedError(path, fmt.Sprintf("%d bytes of %d", info.Size(), size))
	}
	return nil
}

func truncatedError(path, why string) error {
	return fmt.Errorf("%s is cut off (%s); move it away and start again: the group brings this replica up "+
		"anew from the others", path, why)
}

// sizeByMetaPage is the size in bytes that a file's own meta page says it has.
func sizeByMetaPage(path string) (size int64, err error) {
	db, err := boltfile.Open(path, bolt.Options{ReadOnly: true})
	if err != nil {
		return 0, err
	}
	err = db.View(func(tx *bolt.Tx) error {
		size = tx.Size()
		return nil
	})
	return size, errors.Join(err, db.Close())
}

// identify reads whose the file is, or writes it into a new one.
func (s *store) identify(label string) error {
	return s.db.Update(func(tx *bolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if meta == nil {
			return s.initMeta(tx, label)
		}
		format, err := strconv.Atoi(string(meta.Get(metaFormat)))
		if err != nil || format > storeFormat || format < 1 {
			return fmt.Errorf("its format is %q; this program reads up to %d", meta.Get(metaFormat),
				storeFormat)
		}
		if got := string(meta.Get(metaLabel)); got != label {
			return fmt.Errorf("it is of the fleet %q, and fleet.label is %q", got, label)
		}
		id := meta.Get(metaID)
		if len(id) != 8 {
			return errors.New("it has no identity")
		}
		s.id = binary.BigEndian.Uint64(id)
		return nil
	})
}

// initMeta makes a new file this fleet's and draws its ID.
func (s *store) initMeta(tx *bolt.Tx, label string) error {
	meta, err := tx.CreateBucket(metaBucket)
	if err != nil {
		return err
	}
	s.id = rand.Uint64() | 1 // never raft.None
	return errors.Join(
		meta.Put(metaFormat, []byte(strconv.Itoa(storeFormat))),
		meta.Put(metaLabel, []byte(label)),
		meta.Put(metaID, binary.BigEndian.AppendUint64(nil, s.id)))
}

func (s *store) close() error { return s.db.Close() }

// update runs change in a transaction that is synced when update returns; with an error nothing has changed.
func (s *store) update(change func(*bolt.Tx) error) error {
	if s.faults != nil {
		if err := s.faults.Sync(); err != nil {
			return err
		}
	}
	return s.db.Update(change)
}

// metaValue reads a value of the file's own, "" if there is none.
func (s *store) metaValue(key string) string {
	var value string
	_ = s.db.View(func(tx *bolt.Tx) error { // fails for a closed file alone
		value = string(tx.Bucket(metaBucket).Get([]byte(key)))
		return nil
	})
	return value
}

func (s *store) setMetaValue(key, value string) error {
	return s.update(func(tx *bolt.Tx) error { return tx.Bucket(metaBucket).Put([]byte(key), []byte(value)) })
}

// groups are the names of the groups in the file.
func (s *store) groups() []string {
	var names []string
	_ = s.db.View(func(tx *bolt.Tx) error { // fails for a closed file alone
		return tx.ForEach(func(bucket []byte, _ *bolt.Bucket) error {
			if name, ok := strings.CutPrefix(string(bucket), groupPrefix); ok && name != "" {
				names = append(names, name)
			}
			return nil
		})
	})
	return names
}

func groupBucket(group string) []byte { return []byte(groupPrefix + group) }

// indexKey is the key of a log entry: big endian, so that bbolt has the entries in their order.
func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

const checksumSize = 8

// addChecksum returns a value as it is stored, behind its checksum.
func addChecksum(value []byte) []byte {
	stored := binary.BigEndian.AppendUint64(make([]byte, 0, checksumSize+len(value)), xxhash.Sum64(value))
	return append(stored, value...)
}

// verifyChecksum returns the value in a stored one, which it aliases, or an error if the checksum does not
// fit.
func verifyChecksum(stored []byte) ([]byte, error) {
	if len(stored) < checksumSize || binary.BigEndian.Uint64(stored) != xxhash.Sum64(stored[checksumSize:]) {
		return nil, errors.New("its checksum does not fit")
	}
	return stored[checksumSize:], nil
}
