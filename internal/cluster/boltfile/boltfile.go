// Package boltfile opens bbolt files, each of which one process at a time uses. Its functions may be called
// from any goroutine.
package boltfile

import (
	"errors"
	"fmt"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// LockTimeout is how long Open waits for another process's lock on the file. The kernel may release the lock
// of a killed process after its parent has been notified of its end: the file is mapped into memory, and the
// mapping goes with the last reference to it. With writers that were syncing it took up to 0.3 s on a machine
// with four runnable processes a core, and more than a second was seen once.
const LockTimeout = 10 * time.Second

// fileMode lets only the user of the process read a file that Open makes.
const fileMode = 0o600

// ErrLocked is the cause in an error of Open when another process has the file open.
var ErrLocked = errors.New("is held by another process")

// Open opens a file, and makes it where it is missing unless options say that it is only read. The timeout
// in options is replaced by LockTimeout. An error with the cause ErrLocked names the file.
func Open(path string, options bolt.Options) (*bolt.DB, error) {
	options.Timeout = LockTimeout
	db, err := bolt.Open(path, fileMode, &options)
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%s %w", path, ErrLocked)
	}
	return db, err
}
