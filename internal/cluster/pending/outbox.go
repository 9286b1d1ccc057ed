package pending

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	bolt "go.etcd.io/bbolt"

	"cresshub/internal/cluster/boltfile"
	"cresshub/internal/cluster/ledger"
)

// outbox is the file that stores the batches that aren't committed yet: a bbolt database with the last
// incarnation and the batches by key. Keys are ascending numbers of 8 bytes in big endian. Once write has
// returned without error, what it wrote is synced to disk.
type outbox struct{ db *bolt.DB }

// outboxFile is the name of the outbox in Options.Dir.
const outboxFile = "outbox.db"

var (
	batchesBucket  = []byte("batches")
	metaBucket     = []byte("meta")
	incarnationKey = []byte("incarnation")
)

// storedState is the content of an outbox when it was opened, with the new incarnation.
type storedState struct {
	incarnation uint64
	lastKey     uint64
	batches     []queuedBatch
}

// openOutbox opens the outbox in a directory and begins a new incarnation. It creates the directory and the
// file if they don't exist. An error names the file.
func openOutbox(dir string) (*outbox, storedState, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, storedState{}, err
	}
	path := filepath.Join(dir, outboxFile)
	db, err := boltfile.Open(path, bolt.Options{})
	if errors.Is(err, boltfile.ErrLocked) {
		return nil, storedState{}, err // it names the file
	}
	if err != nil {
		return nil, storedState{}, fmt.Errorf("%s: %w; if you move the file away, the usage in it that "+
			"was not committed is lost", path, err)
	}
	o := &outbox{db: db}
	stored, err := o.load()
	if err != nil {
		_ = db.Close() // the error of load is the cause
		return nil, storedState{}, fmt.Errorf("%s: %w", path, err)
	}
	return o, stored, nil
}

// load begins a new incarnation and returns it with the stored batches.
func (o *outbox) load() (stored storedState, err error) {
	err = o.db.Update(func(tx *bolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		if stored.incarnation, err = nextIncarnation(meta); err != nil {
			return err
		}
		batches, err := tx.CreateBucketIfNotExists(batchesBucket)
		if err != nil {
			return err
		}
		return batches.ForEach(stored.addBatch)
	})
	return stored, err
}

// addBatch adds a stored batch. Both slices are valid only during the call.
func (s *storedState) addBatch(key, raw []byte) error {
	batch, err := ledger.DecodeBatch(raw)
	if err != nil {
		return fmt.Errorf("reading batch %x: %w", key, err)
	}
	s.lastKey = binary.BigEndian.Uint64(key)
	s.batches = append(s.batches, queuedBatch{
		key:       s.lastKey,
		raw:       bytes.Clone(raw),
		answers:   countAnswers(batch),
		createdAt: time.Now(),
	})
	return nil
}

// nextIncarnation stores and returns the next incarnation. It is greater than the last one, and at least
// the wall clock in milliseconds since 1970, so that a member that has lost its file doesn't return with an
// earlier incarnation.
func nextIncarnation(meta *bolt.Bucket) (uint64, error) {
	last := uint64(0)
	if raw := meta.Get(incarnationKey); len(raw) == 8 {
		last = binary.BigEndian.Uint64(raw)
	}
	next := max(last+1, uint64(time.Now().UnixMilli()))
	return next, meta.Put(incarnationKey, binary.BigEndian.AppendUint64(nil, next))
}

// countAnswers returns the number of answers in a batch.
func countAnswers(batch *ledger.Batch) (answers int64) {
	for i := range batch.Usage {
		answers += batch.Usage[i].Count + int64(len(batch.Usage[i].IDs))
	}
	return answers
}

// write adds a batch, unless it is the zero one, and deletes the committed batches with the given keys, in
// one transaction.
func (o *outbox) write(batch queuedBatch, committed []uint64) error {
	return o.db.Update(func(tx *bolt.Tx) error {
		batches := tx.Bucket(batchesBucket)
		for _, key := range committed {
			if err := batches.Delete(binary.BigEndian.AppendUint64(nil, key)); err != nil {
				return err
			}
		}
		if batch.raw == nil {
			return nil
		}
		return batches.Put(binary.BigEndian.AppendUint64(nil, batch.key), batch.raw)
	})
}

func (o *outbox) close() error { return o.db.Close() }
