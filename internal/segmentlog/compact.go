package segmentlog

import (
	"errors"
	"io/fs"
	"strings"
)

// Compact begins a new segment with a snapshot, whose records replace all records so far, and removes the old
// segment. After an error, which is ErrClosed or a *WriteError, the log is as before.
func (l *Log) Compact(snapshot [][]byte) error {
	if l.closed {
		return ErrClosed
	}
	if err := l.removeAbandoned(); err != nil {
		return err
	}
	old := l.file
	if err := l.startSegment(snapshot); err != nil {
		return err
	}
	_ = old.Close() // its content was synced
	l.removeLeftovers()
	return nil
}

// startSegment writes the next segment under a temporary name, renames it, and switches the log to it once
// both its content and its name are durable.
func (l *Log) startSegment(snapshot [][]byte) error {
	number := l.segment + 1
	name := l.path(segmentName(number))
	data := appendFrame(appendHeader(nil, number), number, 0, snapshot)
	file, err := l.writeTemporary(name+temporarySuffix, data)
	if err != nil {
		l.removeTemporary(name)
		return err
	}
	if err := l.fsys.Rename(name+temporarySuffix, name); err != nil {
		_ = file.Close() // the other error is returned
		l.removeTemporary(name)
		return &WriteError{name, "rename", err}
	}
	if err := l.fsys.SyncDir(l.dir); err != nil {
		return l.abandon(name, file, err)
	}
	l.file, l.segment, l.nextSequence = file, number, 1
	l.snapshotEnd, l.end, l.dirty = int64(len(data)), int64(len(data)), false
	return nil
}

// writeTemporary writes and syncs a file under its temporary name.
func (l *Log) writeTemporary(name string, data []byte) (File, error) {
	file, err := l.fsys.Create(name)
	if err != nil {
		return nil, &WriteError{name, "create", err}
	}
	if _, err := file.WriteAt(data, 0); err != nil {
		_ = file.Close() // the other error is returned
		return nil, &WriteError{name, "write", err}
	}
	if err := file.Sync(); err != nil {
		_ = file.Close() // the other error is returned
		return nil, &WriteError{name, "sync", err}
	}
	return file, nil
}

// removeTemporary removes the temporary file of a segment. If that fails, the next Open removes it.
func (l *Log) removeTemporary(segmentPath string) { _ = l.fsys.Remove(segmentPath + temporarySuffix) }

// abandon discards a new segment whose name may or may not be durable, because the directory sync failed.
func (l *Log) abandon(name string, file File, cause error) error {
	_ = file.Close() // its content doesn't count
	l.abandoned = name
	_ = l.removeAbandoned() // if this fails, it is retried before the next write
	return &WriteError{l.dir, "sync the directory", cause}
}

// removeAbandoned removes the segment that abandon discarded. The removal has to be durable before another
// record is appended to the old segment, because Open would prefer the new segment and lose that record.
func (l *Log) removeAbandoned() error {
	if l.abandoned == "" {
		return nil
	}
	if err := l.fsys.Remove(l.abandoned); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return &WriteError{l.abandoned, "remove", err}
	}
	if err := l.fsys.SyncDir(l.dir); err != nil {
		return &WriteError{l.dir, "sync the directory", err}
	}
	l.abandoned = ""
	return nil
}

// removeLeftovers removes older segments and temporary files. Open ignores any that remain, and removes them.
func (l *Log) removeLeftovers() {
	names, err := l.fsys.List(l.dir)
	if err != nil {
		return
	}
	for _, name := range names {
		number, ok := segmentNumber(name)
		older := ok && number < l.segment
		if older || strings.HasSuffix(name, segmentSuffix+temporarySuffix) {
			_ = l.fsys.Remove(l.path(name))
		}
	}
}
