// Package segmentlog stores small records durably in a directory, as a write-ahead log with snapshots.
//
// The owner opens the log and rebuilds its state from the records that Open returns. It appends each record
// before it acts on it, and replaces the log by a snapshot of its state when the log has grown too large:
//
//	log, records, err := segmentlog.Open(segmentlog.OSFS{}, dir, segmentlog.Options{})
//	if err != nil {
//		return err
//	}
//	defer log.Close()
//	state.restore(records)
//	...
//	if err := log.Append(record); err != nil {
//		return err // the record was not appended; the log is still usable
//	}
//	if log.Size() > limit {
//		err = log.Compact(state.snapshot())
//	}
//
// # Layout
//
// The log is one segment file. A segment begins with a header and a snapshot, one frame that replaces every
// record before it; each Append adds one frame and syncs it before it returns. Compact writes a new segment
// under a temporary name, syncs it, renames it, syncs the directory, and only then removes the old one. The
// segment with the highest number is the log; any other is a leftover of an interrupted compaction.
//
// A frame counts completely or not at all: one checksum covers all records of one Append. As each frame
// is synced before the next is written, only the last one can be torn by a crash. Open truncates a torn last
// frame; any other invalid frame is corruption, which Open returns as a *CorruptionError.
//
// # Torn writes and corruption
//
// Two things distinguish a torn last frame from one that has changed since it was written. A crash leaves
// each sector of a write either old or new, so a torn frame ends early or has a sector that was never
// written; an invalid frame with all its sectors is corrupt. And once a frame is synced, a sync marker is
// written after it, without a sync of its own: an invalid frame before a marker is corrupt. Corruption can't
// be distinguished from a torn write if a crash also lost the marker and the corrupt frame is truncated or
// has a full sector of zeros. A record should not end in zeros, which could be taken for a sector that was
// not written.
//
// # Concurrency
//
// A Log has no goroutine and is not safe for concurrent use. The owner has to ensure that no other process
// opens the directory.
package segmentlog
