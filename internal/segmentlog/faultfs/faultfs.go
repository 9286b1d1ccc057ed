// Package faultfs is a file system in memory for tests: it numbers every operation that changes something,
// breaks at the one a test names, and loses what was not synced when the power goes.
package faultfs

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand"
	"strings"

	"cresshub/internal/segmentlog"
)

// Errors that operations return.
var (
	// ErrCrashed is returned by the operation that crashes and by all behind it until Restart.
	ErrCrashed = errors.New("faultfs: the machine is down; call Restart")
	// ErrNoSpace is returned by a write beyond the capacity.
	ErrNoSpace = errors.New("faultfs: no space left; raise the capacity")
	// ErrInjected is returned by the operation that was told to fail.
	ErrInjected = errors.New("faultfs: input or output error; it was asked for")
)

// Fault is what happens at a numbered operation.
type Fault int

// The faults.
const (
	// NoFault lets the operation pass.
	NoFault Fault = iota
	// CrashBefore stops the machine before the operation did anything.
	CrashBefore
	// CrashAfter stops the machine when the operation is done, before its caller hears of it.
	CrashAfter
	// FailIO makes the operation return ErrInjected; half of a write is done.
	FailIO
)

// Loss is what a power loss does to writes that were not synced.
type Loss int

// The losses.
const (
	// KeepAll keeps every write, as when only the process ends.
	KeepAll Loss = iota
	// LoseAll loses every write and change of a name since the last sync.
	LoseAll
	// LoseSome keeps or loses each sector of a write and each change of a name by a draw.
	LoseSome
)

// sectorSize is the unit that a torn write keeps or loses.
const sectorSize = 512

// FS is the file system. It is for one goroutine at a time.
type FS struct {
	current map[string]*inode
	durable map[string]*inode
	// pending are changes of names since their folder was synced, in order.
	pending []nameChange

	// Operations counts what changed something since the start.
	Operations int
	// Syncs counts Sync and SyncDir among them.
	Syncs int
	// Capacity bounds the bytes of all files if it is not 0.
	Capacity int64

	faultAt int
	fault   Fault
	down    bool
	// generation tells handles of before a restart from those behind it.
	generation int
}

// inode is one file's content, as it is and as it is on the medium, with the writes between the two.
type inode struct {
	data     []byte
	durable  []byte
	unsynced []write
}

// write is one change of a content that was not synced: data at an offset, or a size if data is nil.
type write struct {
	offset int64
	data   []byte
}

// nameChange is one rename, removal (to is empty) or creation (from is empty).
type nameChange struct {
	from, to string
	file     *inode
}

// New returns an empty file system.
func New() *FS {
	return &FS{current: map[string]*inode{}, durable: map[string]*inode{}}
}

// FaultAt asks for a fault at the operation with that number, counted from the next one as 1.
func (f *FS) FaultAt(number int, fault Fault) {
	f.faultAt, f.fault = f.Operations+number, fault
}

// Down tells whether the machine has crashed.
func (f *FS) Down() bool { return f.down }

// Crash stops the machine now.
func (f *FS) Crash() { f.down = true }

// Restart lets the machine come back with what the loss leaves. Files that were open are closed.
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

// Corrupt flips one bit of a file, on the medium too, as rot does.
func (f *FS) Corrupt(name string, offset int) error {
	file := f.current[name]
	if file == nil {
		return errNotExist(name)
	}
	file.data = append([]byte(nil), file.data...)
	file.data[offset] ^= 1
	if offset < len(file.durable) {
		file.durable[offset] ^= 1
	}
	return nil
}

// Wipe empties the medium, as a new disk.
func (f *FS) Wipe() {
	f.current, f.durable, f.pending = map[string]*inode{}, map[string]*inode{}, nil
	f.generation++
}

// loseNames sets the names back and applies those changes that the loss keeps.
func (f *FS) loseNames(loss Loss, random *rand.Rand) {
	pending := f.pending
	f.current, f.pending = f.durable, nil
	if loss == LoseSome {
		for _, change := range pending[:random.Intn(len(pending)+1)] {
			change.apply(f.current)
		}
	}
	f.durable = copyNames(f.current)
}

// lose sets a file's content back and applies those sectors of its writes that the loss keeps.
func (i *inode) lose(loss Loss, random *rand.Rand) {
	content := append([]byte(nil), i.durable...)
	if loss == LoseSome {
		for _, w := range i.unsynced {
			if w.data == nil {
				if random.Intn(2) == 0 {
					content = resize(content, w.offset)
				}
				continue
			}
			content = w.applySome(content, random)
		}
	}
	i.data, i.durable, i.unsynced = content, append([]byte(nil), content...), nil
}

// applySome writes those sectors that a draw keeps; all and none come up often.
func (w write) applySome(data []byte, random *rand.Rand) []byte {
	chance := []int{0, 50, 90, 100}[random.Intn(4)]
	for start := 0; start < len(w.data); {
		end := min(start+sectorSize-int(w.offset+int64(start))%sectorSize, len(w.data))
		if random.Intn(100) < chance {
			data = writeAt(data, w.data[start:end], w.offset+int64(start))
		}
		start = end
	}
	return data
}

// apply makes one change to a table of names.
func (c nameChange) apply(names map[string]*inode) {
	if c.from != "" {
		delete(names, c.from)
	}
	if c.to != "" {
		names[c.to] = c.file
	}
}

// beginOperation counts one operation; it returns whether to do it, whether to do half of it, and the error
// to return.
func (f *FS) beginOperation() (do, half bool, err error) {
	if f.down {
		return false, false, ErrCrashed
	}
	f.Operations++
	if f.fault == NoFault || f.Operations != f.faultAt {
		return true, false, nil
	}
	switch f.fault {
	case CrashBefore:
		f.down = true
		return false, false, ErrCrashed
	case CrashAfter:
		f.down = true
		return true, false, ErrCrashed
	default:
		return false, true, ErrInjected
	}
}

// usedBytes returns the bytes of all files.
func (f *FS) usedBytes() int64 {
	var total int64
	for _, file := range f.current {
		total += int64(len(file.data))
	}
	return total
}

// errNotExist returns the error for a name that is not there.
func errNotExist(name string) error {
	return fmt.Errorf("faultfs: %s: %w; create it first", name, fs.ErrNotExist)
}

// copyNames copies a table of names.
func copyNames(names map[string]*inode) map[string]*inode {
	result := make(map[string]*inode, len(names))
	for name, file := range names {
		result[name] = file
	}
	return result
}

// resize sets a content's size.
func resize(data []byte, size int64) []byte {
	if size <= int64(len(data)) {
		return data[:size]
	}
	return append(data, make([]byte, size-int64(len(data)))...)
}

// writeAt writes bytes at an offset.
func writeAt(data, bytes []byte, offset int64) []byte {
	if end := offset + int64(len(bytes)); end > int64(len(data)) {
		data = resize(data, end)
	}
	copy(data[offset:], bytes)
	return data
}

// folderOf returns the folder part of a name.
func folderOf(name string) string {
	slash := strings.LastIndexByte(name, '/')
	return name[:max(slash, 0)]
}

var _ segmentlog.FS = (*FS)(nil)
