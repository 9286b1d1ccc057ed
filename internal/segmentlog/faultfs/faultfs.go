// Package faultfs is an in-memory segmentlog.FS for tests. It numbers every operation that changes something,
// injects a fault at the number that a test sets, and simulates a power loss that loses writes that were not
// synced. A test that runs once with a fault at each number covers all states that a crash can leave.
//
// A FS is not safe for concurrent use.
package faultfs

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"math/rand"
	"strings"

	"cresshub/internal/segmentlog"
)

// Errors that operations return.
var (
	// ErrCrashed is returned by the operation that crashes and by all after it until Restart.
	ErrCrashed = errors.New("faultfs: the machine is down; call Restart")
	// ErrNoSpace is returned by a write beyond the capacity.
	ErrNoSpace = errors.New("faultfs: no space left; raise the capacity")
	// ErrInjected is returned by the operation at which FailIO is injected.
	ErrInjected = errors.New("faultfs: injected I/O error; FaultAt requested it")
)

// Fault is a fault that FaultAt injects at a numbered operation.
type Fault int

// The faults.
const (
	// NoFault lets the operation succeed.
	NoFault Fault = iota
	// CrashBefore stops the machine before the operation takes effect.
	CrashBefore
	// CrashAfter stops the machine after the operation has taken effect, before it returns.
	CrashAfter
	// FailIO makes the operation return ErrInjected. A write writes half of its data, any other operation has
	// no effect.
	FailIO
)

// Loss selects which unsynced writes and name changes a restart loses.
type Loss int

// The losses.
const (
	// KeepAll keeps every write, as when only the process ends.
	KeepAll Loss = iota
	// LoseAll loses every write and name change since the last sync.
	LoseAll
	// LoseSome keeps or loses each sector of a write at random, keeps a random number of the first name changes
	// and loses all later ones.
	LoseSome
)

// sectorSize is the unit that a torn write keeps or loses, in bytes.
const sectorSize = 512

// FS is the file system of a simulated machine, which is up until a fault or Crash stops it.
type FS struct {
	// current and durable are the files by name, as they are and as they would be after a power loss.
	current, durable map[string]*inode
	// pending are the name changes since their directory was synced, in order.
	pending []nameChange

	// Operations is the number of operations that changed something.
	Operations int
	// Syncs is the number of completed calls of Sync and SyncDir among them.
	Syncs int
	// Capacity limits the total size of all files in bytes; 0 means no limit.
	Capacity int64

	// fault is injected at the operation whose number is faultAt.
	faultAt int
	fault   Fault
	// down is whether the machine has crashed and was not restarted.
	down bool
	// generation is incremented by each Restart and Wipe, which invalidate all open files.
	generation int
}

// nameChange is a rename, a removal (to is empty) or a creation (from is empty).
type nameChange struct {
	from, to string
	file     *inode
}

// New returns an empty file system.
func New() *FS {
	return &FS{current: map[string]*inode{}, durable: map[string]*inode{}}
}

// FaultAt injects a fault at an operation; number 1 is the next one.
func (f *FS) FaultAt(number int, fault Fault) {
	f.faultAt, f.fault = f.Operations+number, fault
}

// Down reports whether the machine has crashed.
func (f *FS) Down() bool { return f.down }

// Crash stops the machine now.
func (f *FS) Crash() { f.down = true }

// Restart starts the machine again with the writes and names that the loss keeps. Open files become invalid.
// LoseSome draws from random, which may be nil for the other losses.
func (f *FS) Restart(loss Loss, random *rand.Rand) {
	if loss != KeepAll {
		f.loseNames(loss, random)
		for _, file := range f.current {
			file.lose(loss, random)
		}
	}
	f.down = false
	f.fault = NoFault
	f.generation++
}

// Corrupt flips a bit of the byte at an offset of a file, also in its durable content.
func (f *FS) Corrupt(name string, offset int) error {
	file := f.current[name]
	if file == nil {
		return errNotExist(name)
	}
	file.data = bytes.Clone(file.data)
	file.data[offset] ^= 1
	if offset < len(file.durable) {
		file.durable[offset] ^= 1
	}
	return nil
}

// Wipe removes all files, as if the disk had been replaced.
func (f *FS) Wipe() {
	f.current, f.durable, f.pending = map[string]*inode{}, map[string]*inode{}, nil
	f.generation++
}

// loseNames reverts the names to the durable ones and applies those pending changes that the loss keeps.
func (f *FS) loseNames(loss Loss, random *rand.Rand) {
	pending := f.pending
	f.current, f.pending = f.durable, nil
	if loss == LoseSome {
		for _, change := range pending[:random.Intn(len(pending)+1)] {
			change.apply(f.current)
		}
	}
	f.durable = maps.Clone(f.current)
}

// apply applies the change to a map of names.
func (c nameChange) apply(names map[string]*inode) {
	if c.from != "" {
		delete(names, c.from)
	}
	if c.to != "" {
		names[c.to] = c.file
	}
}

// effect is how much of an operation takes effect.
type effect int

const (
	nothing effect = iota
	half           // half of a write; nothing of any other operation
	complete
)

// beginOperation counts an operation, and returns how much of it to perform and the error to return after
// that.
func (f *FS) beginOperation() (effect, error) {
	if f.down {
		return nothing, ErrCrashed
	}
	f.Operations++
	if f.fault == NoFault || f.Operations != f.faultAt {
		return complete, nil
	}
	switch f.fault {
	case CrashBefore:
		f.down = true
		return nothing, ErrCrashed
	case CrashAfter:
		f.down = true
		return complete, ErrCrashed
	default:
		return half, ErrInjected
	}
}

// usedBytes returns the total size of all files in bytes.
func (f *FS) usedBytes() int64 {
	var total int64
	for _, file := range f.current {
		total += int64(len(file.data))
	}
	return total
}

// errNotExist returns the error for a file that does not exist.
func errNotExist(name string) error {
	return fmt.Errorf("faultfs: %s: %w; create it first", name, fs.ErrNotExist)
}

// dirOf returns the directory part of a name.
func dirOf(name string) string {
	slash := strings.LastIndexByte(name, '/')
	return name[:max(slash, 0)]
}

var _ segmentlog.FS = (*FS)(nil)
