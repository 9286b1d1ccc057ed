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

// begin passes a numbered point, waits while the disk hangs or is slow, and returns how the disk behaves
// then.
func (f *files) begin() DiskMode {
	f.faults.passPoint()
	for f.faults.diskMode() == DiskHang {
		time.Sleep(pollInterval)
	}
	mode := f.faults.diskMode()
	if mode == DiskSlow {
		time.Sleep(slowDiskDelay)
	}
	return mode
}

// beginWrite begins an operation that needs space: it fails with ENOSPC where the disk is full.
func (f *files) beginWrite(op, name string) error {
	if f.begin() == DiskFull {
		return &os.PathError{Op: op, Path: name, Err: syscall.ENOSPC}
	}
	return nil
}

// MakeDir implements segmentlog.FS.
func (f *files) MakeDir(dir string) error {
	f.begin()
	return f.osFS.MakeDir(dir)
}

// List implements segmentlog.FS.
func (f *files) List(dir string) ([]string, error) {
	f.begin()
	return f.osFS.List(dir)
}

// ReadFile implements segmentlog.FS.
func (f *files) ReadFile(name string) ([]byte, error) {
	f.begin()
	return f.osFS.ReadFile(name)
}

// Create implements segmentlog.FS.
func (f *files) Create(name string) (segmentlog.File, error) {
	if err := f.beginWrite("create", name); err != nil {
		return nil, err
	}
	opened, err := f.osFS.Create(name)
	if err != nil {
		return nil, err
	}
	return &file{File: opened, files: f, name: name}, nil
}

// Open implements segmentlog.FS.
func (f *files) Open(name string) (segmentlog.File, error) {
	f.begin()
	opened, err := f.osFS.Open(name)
	if err != nil {
		return nil, err
	}
	return &file{File: opened, files: f, name: name}, nil
}

// Rename implements segmentlog.FS.
func (f *files) Rename(from, to string) error {
	if err := f.beginWrite("rename", from); err != nil {
		return err
	}
	defer f.faults.passPoint()
	return f.osFS.Rename(from, to)
}

// Remove implements segmentlog.FS.
func (f *files) Remove(name string) error {
	f.begin()
	defer f.faults.passPoint()
	return f.osFS.Remove(name)
}

// SyncDir implements segmentlog.FS.
func (f *files) SyncDir(dir string) error {
	f.begin()
	defer f.faults.passPoint()
	return f.osFS.SyncDir(dir)
}

// file is an open file.
type file struct {
	segmentlog.File
	files *files
	name  string
}

// WriteAt implements segmentlog.File. A full disk takes half of what is written.
func (f *file) WriteAt(data []byte, offset int64) (int, error) {
	if err := f.files.beginWrite("write", f.name); err != nil {
		written, _ := f.File.WriteAt(data[:len(data)/2], offset)
		return written, err
	}
	defer f.files.faults.passPoint()
	return f.File.WriteAt(data, offset)
}

// Truncate implements segmentlog.File.
func (f *file) Truncate(size int64) error {
	f.files.begin()
	defer f.files.faults.passPoint()
	return f.File.Truncate(size)
}

// Sync implements segmentlog.File.
func (f *file) Sync() error {
	if err := f.files.beginWrite("sync", f.name); err != nil {
		return err
	}
	defer f.files.faults.passPoint()
	return f.File.Sync()
}
