package segmentlog

import (
	"errors"
	"fmt"
)

// ErrClosed is returned by calls on a closed log.
var ErrClosed = errors.New("segment log: the log is closed; open it again")

// CorruptionError tells of content that a crash cannot explain: the medium or another program changed it.
type CorruptionError struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("segment log: %s is damaged at byte %d (%s); empty the folder, so that this machine "+
		"joins anew and copies the state from the others", e.File, e.Offset, e.Reason)
}

// NewerFormatError tells of a segment that a later release wrote.
type NewerFormatError struct {
	File    string
	Version uint32
}

// Error implements error.
func (e *NewerFormatError) Error() string {
	return fmt.Sprintf("segment log: %s has format %d and this release reads up to %d; start the newer "+
		"release, or empty the folder to join anew", e.File, e.Version, formatVersion)
}

// WriteError tells that nothing of an Append counts: the log stays as it was before it.
type WriteError struct {
	File string
	Step string
	Err  error
}

// Error implements error.
func (e *WriteError) Error() string {
	return fmt.Sprintf("segment log: %s %s: %v; free space on the disk or replace it, the next write tries "+
		"again", e.Step, e.File, e.Err)
}

// Unwrap returns the file system's error.
func (e *WriteError) Unwrap() error { return e.Err }
