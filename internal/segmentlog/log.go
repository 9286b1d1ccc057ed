package segmentlog

import "fmt"

// DefaultMaxGrowth is the default of Options.MaxGrowth, in bytes.
const DefaultMaxGrowth = 1 << 20

// Options are what a log's owner may set.
type Options struct {
	// Snapshot returns records that replace all appended so far, including those of the Append that calls it.
	// If it is nil, only Compact begins a new segment.
	Snapshot func() [][]byte
	// MaxGrowth is how far a segment may grow beyond its snapshot, in bytes, before Append calls Snapshot and
	// begins a new segment.
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
	// dirty is set while there may be invalid bytes after end, which repair truncates before the next frame.
	dirty bool
	// abandoned is the path of a new segment that was discarded because the directory sync failed, and that has
	// to be removed before the next frame; "" if there is none.
	abandoned string
	closed    bool
}

// Append makes records durable as one unit. If the segment would grow beyond Options.MaxGrowth, Append begins
// a new segment with a snapshot instead of writing a frame; if that fails, it writes the frame. It returns
// ErrClosed, a *WriteError, or an error if the records exceed the size limit. After an error none of the
// records counts and the log is as before.
func (l *Log) Append(records ...[]byte) error {
	if l.closed {
		return ErrClosed
	}
	if len(records) == 0 {
		return nil
	}
	size := frameSize(records)
	if size-frameHeaderSize > maxPayload {
		return fmt.Errorf("segment log: append %d bytes: the limit is %d; write less at once", size, maxPayload)
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

// writeSyncMarker writes a marker after the last frame, which records that this frame was synced, so that
// its corruption is not taken for a torn write. The marker itself is not synced: if a crash loses it, no
// record is lost, but corruption of the frame may then be taken for a torn write.
func (l *Log) writeSyncMarker() {
	if _, err := l.file.WriteAt(syncMarker(l.segment, l.nextSequence), l.end); err != nil {
		l.dirty = true
	}
}

// repair removes the bytes that a failed write, or the segment that a failed compaction, may have left.
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

// Close closes the log. It needs no sync, because Append has synced every record.
func (l *Log) Close() error {
	if l.closed {
		return ErrClosed
	}
	l.closed = true
	return l.file.Close()
}

// path returns the path of a file in the log's directory.
func (l *Log) path(name string) string { return l.dir + "/" + name }

// currentPath returns the path of the log's segment.
func (l *Log) currentPath() string { return l.path(segmentName(l.segment)) }
