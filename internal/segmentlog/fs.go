package segmentlog

// FS is what the log needs of a file system. Names are paths as the implementation understands them; the log
// joins a folder and a file name by a slash. Package faultfs has one in memory with faults.
type FS interface {
	// MakeDir makes a folder and its parents where they don't exist.
	MakeDir(dir string) error
	// List returns the names of the files in a folder, in any order.
	List(dir string) ([]string, error)
	// ReadFile returns a file's content.
	ReadFile(name string) ([]byte, error)
	// Create opens a file for writing and makes it, or truncates the one that exists.
	Create(name string) (File, error)
	// Open opens an existing file for writing.
	Open(name string) (File, error)
	// Rename gives a file a new name. That is durable once the folder is synced.
	Rename(from, to string) error
	// Remove removes a file's name. That is durable once the folder is synced.
	Remove(name string) error
	// SyncDir makes the names in a folder durable.
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
