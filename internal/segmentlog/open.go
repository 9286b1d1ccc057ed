package segmentlog

import (
	"errors"
	"fmt"
)

// Open opens the log in a directory, or creates one there, and returns its records, all of which are durable.
// The error is a *CorruptionError, a *NewerFormatError, a *WriteError or wraps that of the file system.
func Open(fsys FS, dir string, options Options) (*Log, [][]byte, error) {
	log := &Log{fsys: fsys, dir: dir, options: options.withDefaults()}
	if err := fsys.MakeDir(dir); err != nil {
		return nil, nil, fmt.Errorf("segment log: create %s: %w; create the directory or name another", dir, err)
	}
	numbers, err := segmentNumbers(fsys, dir)
	if err != nil {
		return nil, nil, fmt.Errorf("segment log: list %s: %w; let this user read the directory", dir, err)
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

// OpenOrReset opens the log as Open does. If the log is corrupt, OpenOrReset replaces it by an empty one and
// also returns the corruption. That is safe for an owner that then takes a new identity, so that no other
// process relies on what it acknowledged under the old one.
func OpenOrReset(fsys FS, dir string, options Options) (*Log, [][]byte, *CorruptionError, error) {
	log, records, err := Open(fsys, dir, options)
	var corruption *CorruptionError
	if !errors.As(err, &corruption) {
		return log, records, nil, err
	}
	numbers, err := segmentNumbers(fsys, dir)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("segment log: list %s: %w; let this user read the directory", dir, err)
	}
	// The new segment gets the highest number before the corrupt one is removed, so that a crash between the
	// two can't make an older segment the log again.
	log = &Log{fsys: fsys, dir: dir, options: options.withDefaults(), segment: numbers[len(numbers)-1]}
	if err := log.startSegment(nil); err != nil {
		return nil, nil, nil, err
	}
	log.removeLeftovers()
	return log, nil, corruption, nil
}

// withDefaults returns the options with defaults for those that are not set.
func (o Options) withDefaults() Options {
	if o.MaxGrowth == 0 {
		o.MaxGrowth = DefaultMaxGrowth
	}
	return o
}

// recoverSegment reads a segment, truncates a torn last frame and syncs the rest: records that a killed
// process had written but not synced must be durable before Open returns them.
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
		_ = file.Close() // the other error is returned
		return nil, err
	}
	return result.records, nil
}

// syncRecovered truncates a torn last frame and makes the segment and its name durable.
func (l *Log) syncRecovered() error {
	if err := l.repair(); err != nil {
		return err
	}
	if err := l.file.Sync(); err != nil {
		return &WriteError{l.currentPath(), "sync", err}
	}
	if err := l.fsys.SyncDir(l.dir); err != nil {
		return &WriteError{l.dir, "sync the directory", err}
	}
	return nil
}
