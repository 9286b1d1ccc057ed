package segmentlog

// FS is the file system that the log is stored in. Names are paths as the implementation understands them;
// the log joins a directory and a file name by a slash. Package faultfs has an in-memory implementation that
// injects faults.
type FS interface {
	// MakeDir creates a directory and its parents where they don't exist.
	MakeDir(dir string) error
	// List returns the names of the files in a directory, in any order.
	List(dir string) ([]string, error)
	// ReadFile returns a file's content.
	ReadFile(name string) ([]byte, error)
	// Create creates a file, or truncates it if it exists, and opens it for writing.
	Create(name string) (File, error)
	// Open opens an existing file for writing.
	Open(name string) (File, error)
	// Rename renames a file. The new name is durable once the directory is synced.
	Rename(from, to string) error
	// Remove removes a file's name. The removal is durable once the directory is synced.
	Remove(name string) error
	// SyncDir makes the names in a directory durable.
	SyncDir(dir string) error
}

// File is one open file of an FS.
type File interface {
	// WriteAt writes all of data at an offset or returns an error.
	WriteAt(data []byte, offset int64) (int, error)
	// Truncate sets the file's size.
	Truncate(size int64) error
	// Sync makes the content durable.
	Sync() error
	// Close closes the file without syncing it.
	Close() error
}
