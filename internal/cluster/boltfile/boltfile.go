// Package boltfile opens bbolt files, each of which only one process at a time may use. Its functions may be
// called from any goroutine.
package boltfile

import (
	"errors"
	"fmt"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// LockTimeout is how long Open waits for another process's lock on the file. The kernel may release the lock
// of a killed process only after the parent was notified of the process's end, because the file is mapped
// into memory and the mapping lasts until its last reference is dropped. When the killed writers were
// syncing, this took up to 0.3 s on a machine with four runnable processes per core, and was once seen to
// take more than a second.
const LockTimeout = 10 * time.Second

// fileMode gives access to the files that Open creates only to the user of the process.
const fileMode = 0o600

// ErrLocked is the cause of Open's error when another process has the file open.
var ErrLocked = errors.New("is held by another process")

// Open opens a bbolt file and creates it if it is missing, unless options ask for read-only access. It
// replaces the timeout in options by LockTimeout. If the cause of an error is ErrLocked, the error names the
// file.
func Open(path string, options bolt.Options) (*bolt.DB, error) {
	options.Timeout = LockTimeout
	db, err := bolt.Open(path, fileMode, &options)
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%s %w", path, ErrLocked)
	}
	return db, err
}
