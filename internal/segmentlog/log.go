package segmentlog

import (
	"errors"
	"fmt"
	"io/fs"
	"strings"
)

// DefaultMaxGrowth is how far a segment grows beyond its snapshot before a new one is begun.
const DefaultMaxGrowth = 1 << 20

// Options are what a log's owner may set.
type Options struct {
	// Snapshot returns records that stand for all appended so far, those of an Append that is going on
	// included. Without it the log never begins a new segment by itself.
	Snapshot func() [][]byte
	// MaxGrowth replaces DefaultMaxGrowth if it is not 0.
	MaxGrowth int64
}

// Log is an open log. It is for one goroutine at a time.
type Log struct {
	fsys    FS
	dir     string
	options Options

	file    File
	segment uint64
	// nextSequence is the sequence of the next frame, base and size the offsets where snapshot and log end.
	nextSequence     uint64
	snapshotEnd, end int64
	// dirty says that bytes behind size may be in the file and have to be cut off before the next frame.
	dirty bool
	// abandoned is a segment whose name has to be gone for good before the next frame, or empty.
	abandoned string
	closed    bool
}

// OpenOrReset opens the log as Open does. If it is damaged it begins an empty one in place of it, and returns
// the damage too. That is safe for an owner that starts as a stranger then: what it promised under the old
// records counts as lost with them.
func OpenOrReset(fsys FS, dir string, options Options) (*Log, [][]byte, *CorruptionError, error) {
	l, records, err := Open(fsys, dir, options)
	var corruption *CorruptionError
	if !errors.As(err, &corruption) {
		return l, records, nil, err
	}
	numbers, err := segmentNumbers(fsys, dir)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("segment log: list %s: %w; let this user read the folder", dir, err)
	}
	// The new segment has the highest number before the damaged one is gone: no older one can come back.
	l = &Log{fsys: fsys, dir: dir, options: options.withDefaults(), segment: numbers[len(numbers)-1]}
	if err := l.startSegment(nil); err != nil {
		return nil, nil, nil, err
	}
	l.removeLeftovers()
	return l, nil, corruption, nil
}

// withDefaults fills in what is not set.
func (o Options) withDefaults() Options {
	if o.MaxGrowth == 0 {
		o.MaxGrowth = DefaultMaxGrowth
	}
	return o
}

// Open opens the log in a folder, or begins one there, and returns its records. All of them are durable.
func Open(fsys FS, dir string, options Options) (*Log, [][]byte, error) {
	log := &Log{fsys: fsys, dir: dir, options: options.withDefaults()}
	if err := fsys.MakeDir(dir); err != nil {
		return nil, nil, fmt.Errorf("segment log: make %s: %w; make the folder or name another", dir, err)
	}
	numbers, err := segmentNumbers(fsys, dir)
	if err != nil {
		return nil, nil, fmt.Errorf("segment log: list %s: %w; let this user read the folder", dir, err)
	}
	if len(numbers) == 0 {
		return log, nil, log.startSegment(nil)
	}
	records, err := log.recoverSegment(numbers[len(numbers)-1])
	if err != nil {
		return nil, nil, err
	}
	log.removeLeftovers()
	return log, records, nil
}

// recoverSegment reads one segment, cuts a torn end off and syncs the rest: what a process that was killed
// had written but not synced must not count before it is durable.
func (l *Log) recoverSegment(number uint64) ([][]byte, error) {
	name := l.path(segmentName(number))
	data, err := l.fsys.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("segment log: read %s: %w; let this user read the file", name, err)
	}
	result, err := scanSegment(name, data, number)
	if err != nil {
		return nil, err
	}
	file, err := l.fsys.Open(name)
	if err != nil {
		return nil, fmt.Errorf("segment log: open %s: %w; let this user write the file", name, err)
	}
	l.file, l.segment = file, number
	l.nextSequence, l.snapshotEnd, l.end = result.nextSequence, result.snapshotEnd, result.validEnd
	l.dirty = result.tornBytes > 0
	if err := l.syncRecovered(); err != nil {
		file.Close()
		return nil, err
	}
	return result.records, nil
}

// syncRecovered makes file and folder durable as they are read.
func (l *Log) syncRecovered() error {
	if err := l.repair(); err != nil {
		return err
	}
	if err := l.file.Sync(); err != nil {
		return &WriteError{l.path(segmentName(l.segment)), "sync", err}
	}
	if err := l.fsys.SyncDir(l.dir); err != nil {
		return &WriteError{l.dir, "sync the folder", err}
	}
	return nil
}

// Append makes records durable as one unit. After an error none of them counts, and the log stands as before.
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

// appendFrame writes one frame at the end and syncs it.
func (l *Log) appendFrame(records [][]byte) error {
	if err := l.repair(); err != nil {
		return err
	}
	name := l.path(segmentName(l.segment))
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

// writeSyncMarker writes behind the last frame that it is synced, so that rot in it isn't taken for a crash.
// The mark itself is not synced: a crash may lose it, and with it only that knowledge.
func (l *Log) writeSyncMarker() {
	if _, err := l.file.WriteAt(syncMarker(l.segment, l.nextSequence), l.end); err != nil {
		l.dirty = true
	}
}

// repair cuts off what a failed write may have left.
func (l *Log) repair() error {
	if err := l.removeAbandoned(); err != nil {
		return err
	}
	if !l.dirty {
		return nil
	}
	name := l.path(segmentName(l.segment))
	if err := l.file.Truncate(l.end); err != nil {
		return &WriteError{name, "truncate", err}
	}
	if err := l.file.Sync(); err != nil {
		return &WriteError{name, "sync", err}
	}
	l.dirty = false
	return nil
}

// Compact begins a new segment with a snapshot that stands for all records so far, and removes the old one.
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
	old.Close()
	l.removeLeftovers()
	return nil
}

// startSegment writes the next segment under a temporary name and takes it into use once file and name are
// durable.
func (l *Log) startSegment(snapshot [][]byte) error {
	number := l.segment + 1
	name := l.path(segmentName(number))
	data := appendFrame(appendHeader(nil, number), number, 0, snapshot)
	file, err := l.writeTemporary(name+temporarySuffix, data)
	if err != nil {
		l.fsys.Remove(name + temporarySuffix)
		return err
	}
	if err := l.fsys.Rename(name+temporarySuffix, name); err != nil {
		file.Close()
		l.fsys.Remove(name + temporarySuffix)
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
		file.Close()
		return nil, &WriteError{name, "write", err}
	}
	if err := file.Sync(); err != nil {
		file.Close()
		return nil, &WriteError{name, "sync", err}
	}
	return file, nil
}

// abandon gives up a segment whose name may or may not last.
func (l *Log) abandon(name string, file File, cause error) error {
	file.Close()
	l.abandoned = name
	l.removeAbandoned()
	return &WriteError{l.dir, "sync the folder", cause}
}

// removeAbandoned removes a segment that was given up. Its name must be gone for good before the old segment
// takes another record, as Open would prefer it.
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

// removeLeftovers removes what is not the log: older segments and unfinished ones. A name that stays does no
// harm, the next Open removes it.
func (l *Log) removeLeftovers() {
	names, err := l.fsys.List(l.dir)
	if err != nil {
		return
	}
	for _, name := range names {
		number, segment := segmentNumber(name)
		older := segment && number < l.segment
		if older || strings.HasSuffix(name, segmentSuffix+temporarySuffix) {
			l.fsys.Remove(l.path(name))
		}
	}
}

// Size returns how many bytes the log's file has.
func (l *Log) Size() int64 { return l.end }

// Close closes the log; all that was appended is durable already.
func (l *Log) Close() error {
	if l.closed {
		return ErrClosed
	}
	l.closed = true
	return l.file.Close()
}

// path returns the path of a file in the log's folder.
func (l *Log) path(name string) string { return l.dir + "/" + name }
