package faultfs

import (
	"bytes"
	"math"
	"strings"

	"cresshub/internal/segmentlog"
)

// MakeDir implements segmentlog.FS. Directories need not be created: they are part of the files' names.
func (f *FS) MakeDir(string) error {
	if f.down {
		return ErrCrashed
	}
	return nil
}

// List implements segmentlog.FS.
func (f *FS) List(dir string) ([]string, error) {
	if f.down {
		return nil, ErrCrashed
	}
	var names []string
	for name := range f.current {
		if dirOf(name) == dir {
			names = append(names, strings.TrimPrefix(name, dir+"/"))
		}
	}
	return names, nil
}

// ReadFile implements segmentlog.FS.
func (f *FS) ReadFile(name string) ([]byte, error) {
	if f.down {
		return nil, ErrCrashed
	}
	file := f.current[name]
	if file == nil {
		return nil, errNotExist(name)
	}
	return bytes.Clone(file.data), nil
}

// Create implements segmentlog.FS.
func (f *FS) Create(name string) (segmentlog.File, error) {
	done, err := f.beginOperation()
	if done == complete {
		file := f.current[name]
		if file == nil {
			file = &inode{}
			f.changeName(nameChange{to: name, file: file})
		} else {
			file.truncate(0)
		}
	}
	if err != nil {
		return nil, err
	}
	return f.Open(name)
}

// Open implements segmentlog.FS.
func (f *FS) Open(name string) (segmentlog.File, error) {
	if f.down {
		return nil, ErrCrashed
	}
	file := f.current[name]
	if file == nil {
		return nil, errNotExist(name)
	}
	return &handle{f, file, f.generation}, nil
}

// Rename implements segmentlog.FS.
func (f *FS) Rename(from, to string) error {
	if f.current[from] == nil && !f.down {
		return errNotExist(from)
	}
	done, err := f.beginOperation()
	if done == complete {
		f.changeName(nameChange{from, to, f.current[from]})
	}
	return err
}

// Remove implements segmentlog.FS.
func (f *FS) Remove(name string) error {
	if f.current[name] == nil && !f.down {
		return errNotExist(name)
	}
	done, err := f.beginOperation()
	if done == complete {
		f.changeName(nameChange{from: name})
	}
	return err
}

// SyncDir implements segmentlog.FS.
func (f *FS) SyncDir(dir string) error {
	done, err := f.beginOperation()
	if done != complete {
		return err
	}
	f.Syncs++
	remaining := f.pending[:0]
	for _, change := range f.pending {
		if dirOf(change.from+change.to) != dir && dirOf(change.to) != dir {
			remaining = append(remaining, change)
			continue
		}
		change.apply(f.durable)
	}
	f.pending = remaining
	return err
}

// changeName applies a name change, and records it until the directory is synced.
func (f *FS) changeName(change nameChange) {
	change.apply(f.current)
	f.pending = append(f.pending, change)
}

// handle is one open file.
type handle struct {
	fs         *FS
	file       *inode
	generation int // the file system's generation when the file was opened
}

// beginOperation counts an operation on the file as FS.beginOperation does.
func (h *handle) beginOperation() (effect, error) {
	if h.generation != h.fs.generation {
		return nothing, ErrCrashed
	}
	return h.fs.beginOperation()
}

// WriteAt implements segmentlog.File. A write beyond the capacity writes what fits.
func (h *handle) WriteAt(data []byte, offset int64) (int, error) {
	done, err := h.beginOperation()
	switch done {
	case nothing:
		return 0, err
	case half:
		h.file.write(data[:len(data)/2], offset)
		return len(data) / 2, err
	}
	if free := h.free(offset); free < int64(len(data)) {
		fitting := int(max(free, 0))
		h.file.write(data[:fitting], offset)
		return fitting, ErrNoSpace
	}
	h.file.write(data, offset)
	if err != nil {
		return 0, err
	}
	return len(data), nil
}

// free returns how many bytes can be written at an offset of the file; negative if more than the capacity is
// used.
func (h *handle) free(offset int64) int64 {
	if h.fs.Capacity == 0 {
		return math.MaxInt64
	}
	return h.fs.Capacity - h.fs.usedBytes() + max(0, int64(len(h.file.data))-offset)
}

// Truncate implements segmentlog.File.
func (h *handle) Truncate(size int64) error {
	done, err := h.beginOperation()
	if done == complete {
		h.file.truncate(size)
	}
	return err
}

// Sync implements segmentlog.File. The first sync of a file that was created makes its name durable, too.
func (h *handle) Sync() error {
	done, err := h.beginOperation()
	if done != complete {
		return err
	}
	h.fs.Syncs++
	h.file.durable = bytes.Clone(h.file.data)
	h.file.unsynced = nil
	remaining := h.fs.pending[:0]
	for _, change := range h.fs.pending {
		if change.from == "" && change.file == h.file {
			change.apply(h.fs.durable)
			continue
		}
		remaining = append(remaining, change)
	}
	h.fs.pending = remaining
	return err
}

// Close implements segmentlog.File.
func (h *handle) Close() error { return nil }
