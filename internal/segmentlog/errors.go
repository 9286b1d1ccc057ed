package segmentlog

import (
	"errors"
	"fmt"
)

// ErrClosed is the error of calls on a closed log.
var ErrClosed = errors.New("segment log: the log is closed; open it again")

// CorruptionError means that a segment has content that a crash can't have left: the storage medium or
// another program changed it.
type CorruptionError struct {
	File   string
	Offset int64 // of the invalid header or frame, in bytes
	Reason string
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("segment log: %s is corrupt at byte %d (%s); empty the directory, so that this machine "+
		"rejoins and copies the state from the others", e.File, e.Offset, e.Reason)
}

// NewerFormatError means that a later release wrote a segment, in a format that this one can't read.
type NewerFormatError struct {
	File    string
	Version uint32 // of the format
}

// Error implements error.
func (e *NewerFormatError) Error() string {
	return fmt.Sprintf("segment log: %s has format %d and this release reads up to %d; start the newer "+
		"release, or empty the directory to rejoin", e.File, e.Version, formatVersion)
}

// WriteError means that a change of the log failed. Nothing of that change takes effect.
type WriteError struct {
	File string
	Step string // the operation that failed, such as "sync"
	Err  error  // of the file system
}

// Error implements error.
func (e *WriteError) Error() string {
	return fmt.Sprintf("segment log: %s %s: %v; free space on the disk or replace it; the next write tries "+
		"again", e.Step, e.File, e.Err)
}

// Unwrap returns the file system's error.
func (e *WriteError) Unwrap() error { return e.Err }
