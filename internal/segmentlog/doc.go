// Package segmentlog keeps small records durably in a folder.
//
// The log is one segment file. A segment begins with a header and a snapshot, one frame that stands for every
// record before it; each Append adds one frame and syncs it before it returns. When a segment has grown far
// beyond its snapshot, a new one is written under a temporary name, synced, renamed, the folder synced, and
// only then is the old one removed. The segment with the highest number is the log; any other is a leftover.
//
// A frame is the unit that is there or not there: one checksum covers all records of one Append. As each
// frame is synced before the next is written, only the last one can be torn by a crash. Open cuts a torn
// last frame off; any other bad frame is damage, and Open refuses it.
//
// Two things tell a torn last frame from one that has changed since. A crash leaves each sector of a write as
// it was or as it should be, so a torn frame ends early or has a sector that was never written; one of which
// nothing is missing is damaged. And once a frame is synced a mark is written behind it, without a sync of
// its own: what is bad before a mark is damaged. Not told from a crash is a frame with a whole sector of
// zeros in it, or one that is cut off, whose mark was lost by a crash too. A record should not end in zeros,
// which could be taken for a sector that was not written.
package segmentlog
