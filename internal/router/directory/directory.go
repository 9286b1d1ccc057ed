package directory

import (
	"time"

	"cresshub/internal/invariant"
	"cresshub/internal/router/catalog"
)

// entry is a record and its last change in this replica.
type entry struct {
	record     *Record
	offset     uint64        // of the record's last change in this replica's feed
	modifiedAt time.Duration // when that change was merged
}

// Directory is one replica. Its offsets, and the times at which records expire, are its own; only the records
// and the digest are alike in all replicas.
type Directory struct {
	entries    map[string]*entry        // by id
	tombstones map[string]time.Duration // by id, when the record expired
	offset     uint64                   // of the last change
	digest     Digest
	servers    *catalog.Table // the cached result of Servers, nil after a change of a server or an order
}

// New returns an empty replica.
func New() *Directory {
	return &Directory{entries: map[string]*entry{}, tombstones: map[string]time.Duration{}}
}

// Offset returns the offset of the last change in this replica's feed, 0 if there was none.
func (d *Directory) Offset() uint64 { return d.offset }

// Merge merges a record and reports whether it changed this replica. A record that is no newer than the one
// that is there changes nothing.
func (d *Directory) Merge(now time.Duration, record Record) bool {
	if !d.accepts(&record) {
		return false
	}
	delete(d.tombstones, record.ID)
	if existing := d.Get(record.ID); existing != nil {
		invariant.Assert(existing.State != Ended, invariant.EndedStaysEnded,
			"%s has ended and comes back as %d", record.ID, record.State)
		d.digest.toggle(existing)
	}
	d.digest.toggle(&record)
	d.offset++
	d.entries[record.ID] = &entry{record: &record, offset: d.offset, modifiedAt: now}
	if record.Kind != KindProxy {
		d.servers = nil
	}
	return true
}

// accepts reports whether a record is news to this replica: it supersedes the one that is there, or there is
// none. Where one of its id has expired, only a live record is news.
func (d *Directory) accepts(record *Record) bool {
	if existing := d.Get(record.ID); existing != nil {
		return record.supersedes(existing)
	}
	_, buried := d.tombstones[record.ID]
	return !buried || record.Live()
}
