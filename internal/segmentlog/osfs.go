package segmentlog

import "os"

// Permissions of the directory and the files that the log creates. Only the owner may read them, because the
// log contains the operator's configuration.
const (
	dirMode  = 0o700
	fileMode = 0o600
)

// OSFS is the file system of the operating system.
type OSFS struct{}

// MakeDir implements FS.
func (OSFS) MakeDir(dir string) error { return os.MkdirAll(dir, dirMode) }

// List implements FS.
func (OSFS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		if entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

// ReadFile implements FS.
func (OSFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create implements FS.
func (OSFS) Create(name string) (File, error) {
	file, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return nil, err
	}
	return file, nil
}

// Open implements FS.
func (OSFS) Open(name string) (File, error) {
	file, err := os.OpenFile(name, os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	return file, nil
}

// Rename implements FS.
func (OSFS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OSFS) Remove(name string) error { return os.Remove(name) }

// SyncDir implements FS.
func (OSFS) SyncDir(dir string) error {
	directory, err := os.Open(dir)
	if err != nil {
		return err
	}
	if err := directory.Sync(); err != nil {
		directory.Close()
		return err
	}
	return directory.Close()
}
