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

// storeFormat is the version of the file format that this program writes, and the newest that it reads.
const storeFormat = 1

// The file has a bucket for metadata (format, fleet label, replica ID and bootstrap votes) and one for each
// group. A group's bucket holds the hard state, the last snapshot, and a bucket of log entries by index. Each
// of these values is preceded by a checksum (xxhash, 8 bytes).
var (
	metaBucket   = []byte("meta")
	logBucket    = []byte("log")
	hardStateKey = []byte("hard")
	snapshotKey  = []byte("snap")

	metaFormat = []byte("format")
	metaLabel  = []byte("label")
	metaID     = []byte("id")
)

// groupPrefix is the prefix of the names of the groups' buckets.
const groupPrefix = "group/"

// store is the storage of a member's replicas: one bbolt file for all groups. Its methods may be called from
// any goroutine; writers wait for each other.
type store struct {
	db     *bolt.DB
	path   string
	id     uint64 // ID of this disk and of all replicas on it, drawn when the file was created
	faults DiskFaults
}

// openStore opens the store's file in a directory, creating both if they are missing. Errors name the file
// and the cause: it belongs to another fleet, has a newer format, is in use by another process, or is
// truncated.
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

// checkNotTruncated returns an error for a file that is shorter than its own meta page says. bbolt maps the
// file into memory, and a read beyond its end would kill the process.
func checkNotTruncated(path string) error {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if info.Size() == 0 {
		return nil // created and not written yet
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
	return fmt.Errorf("%s is cut off (%s); move the file away and start again: the group "+
		"restores this replica from the others", path, why)
}

// sizeByMetaPage returns the size in bytes that a file should have according to its own meta page.
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

// identify reads the metadata of the file and checks that it is of this fleet and of a known format; it
// writes the metadata of a new file.
func (s *store) identify(label string) error {
	return s.db.Update(func(tx *bolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if meta == nil {
			return s.initMeta(tx, label)
		}
		format, err := strconv.Atoi(string(meta.Get(metaFormat)))
		if err != nil || format > storeFormat || format < 1 {
			return fmt.Errorf("file format is %q; this program reads formats up to %d", meta.Get(metaFormat),
				storeFormat)
		}
		if got := string(meta.Get(metaLabel)); got != label {
			return fmt.Errorf("file belongs to the fleet %q, but fleet.label is %q", got, label)
		}
		id := meta.Get(metaID)
		if len(id) != 8 {
			return errors.New("file has no valid replica ID")
		}
		s.id = binary.BigEndian.Uint64(id)
		return nil
	})
}

// initMeta writes the metadata of a new file: the format, the fleet's label, and a random ID.
func (s *store) initMeta(tx *bolt.Tx, label string) error {
	meta, err := tx.CreateBucket(metaBucket)
	if err != nil {
		return err
	}
	s.id = rand.Uint64() | 1 // never raft.None, which is 0
	return errors.Join(
		meta.Put(metaFormat, []byte(strconv.Itoa(storeFormat))),
		meta.Put(metaLabel, []byte(label)),
		meta.Put(metaID, binary.BigEndian.AppendUint64(nil, s.id)))
}

func (s *store) close() error { return s.db.Close() }

// update runs change in a transaction, which is synced to disk when update returns. After an error nothing
// has changed.
func (s *store) update(change func(*bolt.Tx) error) error {
	if s.faults != nil {
		if err := s.faults.Sync(); err != nil {
			return err
		}
	}
	return s.db.Update(change)
}

// metaValue returns a value from the metadata, or "" if there is none.
func (s *store) metaValue(key string) string {
	var value string
	_ = s.db.View(func(tx *bolt.Tx) error { // fails only for a closed file
		value = string(tx.Bucket(metaBucket).Get([]byte(key)))
		return nil
	})
	return value
}

func (s *store) setMetaValue(key, value string) error {
	return s.update(func(tx *bolt.Tx) error { return tx.Bucket(metaBucket).Put([]byte(key), []byte(value)) })
}

// groups returns the names of the groups in the file.
func (s *store) groups() []string {
	var names []string
	_ = s.db.View(func(tx *bolt.Tx) error { // fails only for a closed file
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

// indexKey returns the key of a log entry. It is big endian, so that bbolt sorts the entries by index.
func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

const checksumSize = 8 // in bytes

// addChecksum returns a value as it is stored: the checksum, then the value.
func addChecksum(value []byte) []byte {
	stored := binary.BigEndian.AppendUint64(make([]byte, 0, checksumSize+len(value)), xxhash.Sum64(value))
	return append(stored, value...)
}

// verifyChecksum returns the value in stored, without copying it, or an error if the checksum does not match.
func verifyChecksum(stored []byte) ([]byte, error) {
	if len(stored) < checksumSize || binary.BigEndian.Uint64(stored) != xxhash.Sum64(stored[checksumSize:]) {
		return nil, errors.New("checksum mismatch")
	}
	return stored[checksumSize:], nil
}
