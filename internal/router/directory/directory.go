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
	modifiedAt time.Duration // time at which that change was merged
}

// Directory is one replica. Only the records and the digest converge with those of other replicas; offsets
// and the times at which records expire are local to each replica.
type Directory struct {
	entries    map[string]*entry        // by id
	tombstones map[string]time.Duration // by id, the time at which the record expired
	offset     uint64                   // of the last change
	digest     Digest
	servers    *catalog.Table // cached result of Servers; nil after a change of a server or an order
}

// New returns an empty replica.
func New() *Directory {
	return &Directory{entries: map[string]*entry{}, tombstones: map[string]time.Duration{}}
}

// Offset returns the offset of the last change in this replica's feed, or 0 if nothing has changed yet.
func (d *Directory) Offset() uint64 { return d.offset }

// Merge merges a record and reports whether it changed this replica. A record that does not supersede the
// existing one of its id changes nothing.
func (d *Directory) Merge(now time.Duration, record Record) bool {
	if !d.accepts(&record) {
		return false
	}
	delete(d.tombstones, record.ID)
	if existing := d.Get(record.ID); existing != nil {
		invariant.Assert(existing.State != Ended, invariant.EndedStaysEnded,
			"ended record %s is replaced by one in state %d", record.ID, record.State)
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

// accepts reports whether a record would change this replica: it supersedes the existing record of its id, or
// there is none. If there is a tombstone for the id, only a live record is accepted.
func (d *Directory) accepts(record *Record) bool {
	if existing := d.Get(record.ID); existing != nil {
		return record.supersedes(existing)
	}
	_, expired := d.tombstones[record.ID]
	return !expired || record.Live()
}
