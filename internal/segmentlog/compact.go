package segmentlog

import (
	"errors"
	"io/fs"
	"strings"
)

// Compact begins a new segment with a snapshot, records that stand for all so far, and removes the old one.
// After an error, which is ErrClosed or a *WriteError, the log is as before.
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
	_ = old.Close() // all of it was synced
	l.removeLeftovers()
	return nil
}

// startSegment writes the next segment under a temporary name, and takes it into use once file and name are
// durable.
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

// removeTemporary removes the file that was to become a segment. If that fails the next Open removes it.
func (l *Log) removeTemporary(segmentPath string) { _ = l.fsys.Remove(segmentPath + temporarySuffix) }

// abandon gives up a new segment whose name may or may not be durable.
func (l *Log) abandon(name string, file File, cause error) error {
	_ = file.Close() // its content doesn't count
	l.abandoned = name
	_ = l.removeAbandoned() // else before the next write
	return &WriteError{l.dir, "sync the folder", cause}
}

// removeAbandoned removes a segment that was given up. That has to be durable before the old segment takes
// another record, because Open would prefer the new one.
func (l *Log) removeAbandoned() error {
	if l.abandoned == "" {
		return nil
	}
	if err := l.fsys.Remove(l.abandoned); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return &WriteError{l.abandoned, "remove", err}
	}
	if err := l.fsys.SyncDir(l.dir); err != nil {
		return &WriteError{l.dir, "sync the folder", err}
	}
	l.abandoned = ""
	return nil
}

// removeLeftovers removes older segments and unfinished ones. Those that remain do no harm, and the next Open
// removes them.
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
