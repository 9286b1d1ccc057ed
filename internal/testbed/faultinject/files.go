package faultinject

import (
	"os"
	"syscall"
	"time"

	"cresshub/internal/segmentlog"
)

// files is the machine's file system with the faults of a process. Each operation passes a numbered point
// before it begins, and one that changes something passes another when it is done.
type files struct {
	faults *Faults
	osFS   segmentlog.OSFS
}

var _ segmentlog.FS = (*files)(nil)

// Files returns the file system of the process.
func (f *Faults) Files() segmentlog.FS { return &files{faults: f} }

// begin passes a numbered point, waits while the disk hangs or is slow, and fails with ENOSPC where the disk
// is full and the operation needs space.
func (f *files) begin(op, name string, writes bool) error {
	f.faults.passPoint()
	for f.faults.diskMode() == DiskHang {
		time.Sleep(pollInterval)
	}
	switch mode := f.faults.diskMode(); {
	case mode == DiskSlow:
		time.Sleep(slowDiskDelay)
	case mode == DiskFull && writes:
		return &os.PathError{Op: op, Path: name, Err: syscall.ENOSPC}
	}
	return nil
}

// MakeDir implements segmentlog.FS.
func (f *files) MakeDir(dir string) error {
	if err := f.begin("mkdir", dir, false); err != nil {
		return err
	}
	return f.osFS.MakeDir(dir)
}

// List implements segmentlog.FS.
func (f *files) List(dir string) ([]string, error) {
	if err := f.begin("list", dir, false); err != nil {
		return nil, err
	}
	return f.osFS.List(dir)
}

// ReadFile implements segmentlog.FS.
func (f *files) ReadFile(name string) ([]byte, error) {
	if err := f.begin("read", name, false); err != nil {
		return nil, err
	}
	return f.osFS.ReadFile(name)
}

// Create implements segmentlog.FS.
func (f *files) Create(name string) (segmentlog.File, error) {
	if err := f.begin("create", name, true); err != nil {
		return nil, err
	}
	return f.wrap(name)(f.osFS.Create(name))
}

// Open implements segmentlog.FS.
func (f *files) Open(name string) (segmentlog.File, error) {
	if err := f.begin("open", name, false); err != nil {
		return nil, err
	}
	return f.wrap(name)(f.osFS.Open(name))
}

// Rename implements segmentlog.FS.
func (f *files) Rename(from, to string) error {
	if err := f.begin("rename", from, true); err != nil {
		return err
	}
	defer f.faults.passPoint()
	return f.osFS.Rename(from, to)
}

// Remove implements segmentlog.FS.
func (f *files) Remove(name string) error {
	if err := f.begin("remove", name, false); err != nil {
		return err
	}
	defer f.faults.passPoint()
	return f.osFS.Remove(name)
}

// SyncDir implements segmentlog.FS.
func (f *files) SyncDir(dir string) error {
	if err := f.begin("sync", dir, false); err != nil {
		return err
	}
	defer f.faults.passPoint()
	return f.osFS.SyncDir(dir)
}

func (f *files) wrap(name string) func(segmentlog.File, error) (segmentlog.File, error) {
	return func(under segmentlog.File, err error) (segmentlog.File, error) {
		if err != nil {
			return nil, err
		}
		return &file{File: under, files: f, name: name}, nil
	}
}

// file is an open file.
type file struct {
	segmentlog.File
	files *files
	name  string
}

// WriteAt implements segmentlog.File. A full disk takes half of what is written.
func (f *file) WriteAt(data []byte, offset int64) (int, error) {
	if err := f.files.begin("write", f.name, true); err != nil {
		n, _ := f.File.WriteAt(data[:len(data)/2], offset)
		return n, err
	}
	defer f.files.faults.passPoint()
	return f.File.WriteAt(data, offset)
}

// Truncate implements segmentlog.File.
func (f *file) Truncate(size int64) error {
	if err := f.files.begin("truncate", f.name, false); err != nil {
		return err
	}
	defer f.files.faults.passPoint()
	return f.File.Truncate(size)
}

// Sync implements segmentlog.File.
func (f *file) Sync() error {
	if err := f.files.begin("sync", f.name, true); err != nil {
		return err
	}
	defer f.files.faults.passPoint()
	return f.File.Sync()
}
