// Package segmentlog stores small records durably in a folder, as a write-ahead log with snapshots.
//
// The owner opens the log and builds its state from the records that it gets back. It appends a record before
// it acts on what the record says, and replaces the log by a snapshot when that has grown:
//
//	log, records, err := segmentlog.Open(segmentlog.OSFS{}, dir, segmentlog.Options{})
//	if err != nil {
//		return err
//	}
//	defer log.Close()
//	state.restore(records)
//	...
//	if err := log.Append(record); err != nil {
//		return err // the record doesn't count; the log may be used on
//	}
//	if log.Size() > limit {
//		err = log.Compact(state.snapshot())
//	}
//
// # Layout
//
// The log is one segment file. A segment begins with a header and a snapshot, one frame that stands for every
// record before it; each Append adds one frame and syncs it before it returns. Compact writes a new segment
// under a temporary name, syncs it, renames it, syncs the folder, and only then removes the old one. The
// segment with the highest number is the log; any other is a leftover.
//
// A frame is written completely or not at all: one checksum covers all records of one Append. As each frame
// is synced before the next is written, only the last one can be torn by a crash. Open truncates a torn last
// frame; any other invalid frame is corruption, which Open returns as a *CorruptionError.
//
// # Torn writes and corruption
//
// Two things distinguish a torn last frame from one that has changed since it was written. A crash leaves
// each sector of a write as it was or as it should be, so a torn frame ends early or has a sector that was
// never written; one of which nothing is missing is corrupt. And once a frame is synced, a marker is written
// after it, without a sync of its own: whatever is invalid before a marker is corrupt. Not distinguished is a
// frame with a whole sector of zeros in it, or one that is truncated, whose marker was lost by a crash, too.
// A record should not end in zeros, which could be taken for a sector that was not written.
//
// # Concurrency
//
// A Log has no goroutine and is not safe for concurrent use. Nothing keeps two processes from opening one
// folder; the owner has to.
package segmentlog
