package faultfs

import (
	"strings"

	"cresshub/internal/segmentlog"
)

// MakeDir implements segmentlog.FS; folders need no making here.
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
		if folderOf(name) == dir {
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
	return append([]byte(nil), file.data...), nil
}

// Create implements segmentlog.FS.
func (f *FS) Create(name string) (segmentlog.File, error) {
	do, _, err := f.beginOperation()
	if do {
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
	do, _, err := f.beginOperation()
	if do {
		f.changeName(nameChange{from, to, f.current[from]})
	}
	return err
}

// Remove implements segmentlog.FS.
func (f *FS) Remove(name string) error {
	if f.current[name] == nil && !f.down {
		return errNotExist(name)
	}
	do, _, err := f.beginOperation()
	if do {
		f.changeName(nameChange{from: name})
	}
	return err
}

// SyncDir implements segmentlog.FS.
func (f *FS) SyncDir(dir string) error {
	do, _, err := f.beginOperation()
	if !do {
		return err
	}
	f.Syncs++
	remaining := f.pending[:0]
	for _, change := range f.pending {
		if folderOf(change.from+change.to) != dir && folderOf(change.to) != dir {
			remaining = append(remaining, change)
			continue
		}
		change.apply(f.durable)
	}
	f.pending = remaining
	return err
}

// changeName makes a change of a name and remembers it until the folder is synced.
func (f *FS) changeName(change nameChange) {
	change.apply(f.current)
	f.pending = append(f.pending, change)
}

// handle is one open file.
type handle struct {
	fs         *FS
	file       *inode
	generation int
}

// beginOperation counts one operation on the file.
func (h *handle) beginOperation() (do, half bool, err error) {
	if h.generation != h.fs.generation {
		return false, false, ErrCrashed
	}
	return h.fs.beginOperation()
}

// WriteAt implements segmentlog.File. A write that fails has done half of its work.
func (h *handle) WriteAt(data []byte, offset int64) (int, error) {
	do, half, err := h.beginOperation()
	if do {
		available := int64(len(data))
		if h.fs.Capacity != 0 {
			available = h.fs.Capacity - h.fs.usedBytes() + max(0, int64(len(h.file.data))-offset)
		}
		if available < int64(len(data)) {
			h.file.write(data[:max(available, 0)], offset)
			return int(max(available, 0)), ErrNoSpace
		}
		h.file.write(data, offset)
	}
	if half {
		h.file.write(data[:len(data)/2], offset)
		return len(data) / 2, err
	}
	if err != nil {
		return 0, err
	}
	return len(data), nil
}

// Truncate implements segmentlog.File.
func (h *handle) Truncate(size int64) error {
	do, _, err := h.beginOperation()
	if do {
		h.file.truncate(size)
	}
	return err
}

// Sync implements segmentlog.File. A file that was created lasts with its name from its first sync on.
func (h *handle) Sync() error {
	do, _, err := h.beginOperation()
	if !do {
		return err
	}
	h.fs.Syncs++
	h.file.durable = append([]byte(nil), h.file.data...)
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

// write changes the content and remembers the change until the next sync.
func (i *inode) write(data []byte, offset int64) {
	i.data = writeAt(i.data, data, offset)
	i.unsynced = append(i.unsynced, write{offset, append([]byte{}, data...)})
}

// truncate sets the content's size and remembers the change until the next sync.
func (i *inode) truncate(size int64) {
	i.data = resize(i.data, size)
	i.unsynced = append(i.unsynced, write{offset: size})
}
