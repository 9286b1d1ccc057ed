package segmentlog

import "fmt"

// DefaultMaxGrowth is the default of Options.MaxGrowth, in bytes.
const DefaultMaxGrowth = 1 << 20

// Options are what a log's owner may set.
type Options struct {
	// Snapshot returns records that replace all appended so far, including those of the Append that calls it.
	// Without it the log begins a new segment only by Compact.
	Snapshot func() [][]byte
	// MaxGrowth is how far a segment grows beyond its snapshot before Append begins a new one, in bytes.
	MaxGrowth int64
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	fsys    FS
	dir     string
	options Options

	file         File   // the open segment
	segment      uint64 // its number
	nextSequence uint64 // of the next frame
	snapshotEnd  int64  // offset of the first frame after the snapshot
	end          int64  // offset of the next frame
	// dirty says that there may be bytes after end, which have to be truncated before the next frame.
	dirty bool
	// abandoned is the path of a segment that was given up and has to be removed before the next frame.
	abandoned string
	closed    bool
}

// Append makes records durable as one unit. If the segment would grow beyond Options.MaxGrowth, a new
// segment with a snapshot takes the place of the frame. After an error, which is ErrClosed, a *WriteError or
// that of too many bytes at once, none of the records counts and the log is as before.
func (l *Log) Append(records ...[]byte) error {
	if l.closed {
		return ErrClosed
	}
	if len(records) == 0 {
		return nil
	}
	size := frameSize(records)
	if size-frameHeaderSize > maxPayload {
		return fmt.Errorf("segment log: %d bytes at once, %d are the most; write less at once", size, maxPayload)
	}
	if l.options.Snapshot != nil && l.end+size > l.snapshotEnd+l.options.MaxGrowth {
		if l.Compact(l.options.Snapshot()) == nil {
			return nil
		}
	}
	return l.appendFrame(records)
}

// appendFrame writes a frame at the end and syncs it.
func (l *Log) appendFrame(records [][]byte) error {
	if err := l.repair(); err != nil {
		return err
	}
	name := l.currentPath()
	data := appendFrame(nil, l.segment, l.nextSequence, records)
	l.dirty = true
	if _, err := l.file.WriteAt(data, l.end); err != nil {
		return &WriteError{name, "write", err}
	}
	if err := l.file.Sync(); err != nil {
		return &WriteError{name, "sync", err}
	}
	l.dirty = false
	l.end += int64(len(data))
	l.nextSequence++
	l.writeSyncMarker()
	return nil
}

// writeSyncMarker writes after the last frame that this was synced, so that corruption of it is not taken for
// a torn write. The marker itself is not synced: a crash may lose it, and no more than this knowledge with
// it.
func (l *Log) writeSyncMarker() {
	if _, err := l.file.WriteAt(syncMarker(l.segment, l.nextSequence), l.end); err != nil {
		l.dirty = true
	}
}

// repair removes what a failed write or a failed compaction may have left.
func (l *Log) repair() error {
	if err := l.removeAbandoned(); err != nil {
		return err
	}
	if !l.dirty {
		return nil
	}
	name := l.currentPath()
	if err := l.file.Truncate(l.end); err != nil {
		return &WriteError{name, "truncate", err}
	}
	if err := l.file.Sync(); err != nil {
		return &WriteError{name, "sync", err}
	}
	l.dirty = false
	return nil
}

// Size returns the size of the log's segment in bytes.
func (l *Log) Size() int64 { return l.end }

// Close closes the log. All that was appended is durable already.
func (l *Log) Close() error {
	if l.closed {
		return ErrClosed
	}
	l.closed = true
	return l.file.Close()
}

// path returns the path of a file in the log's folder.
func (l *Log) path(name string) string { return l.dir + "/" + name }

// currentPath returns the path of the log's segment.
func (l *Log) currentPath() string { return l.path(segmentName(l.segment)) }
