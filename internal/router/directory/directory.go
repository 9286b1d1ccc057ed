package directory

import (
	"time"

	"cresshub/internal/invariant"
	"cresshub/internal/router/catalog"
)

const (
	// EndedTTL is how long the record of an ended process is retained, so that a late update cannot revive it.
	EndedTTL = 2 * time.Minute
	// LostTTL is how long the record of a process that has timed out is retained.
	LostTTL = 10 * time.Minute
	// tombstoneTTL is how long the id of an expired record is retained. It must exceed the time between the
	// expiries of one record at two replicas.
	tombstoneTTL = 2 * time.Minute
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
	existing := d.entries[record.ID]
	if existing != nil && !record.supersedes(existing.record) {
		return false
	}
	if _, buried := d.tombstones[record.ID]; buried {
		if !record.Live() {
			return false
		}
		delete(d.tombstones, record.ID)
	}
	invariant.Assert(existing == nil || existing.record.State != Ended, invariant.EndedStaysEnded,
		"%s has ended and comes back as %d", record.ID, record.State)
	d.offset++
	if existing != nil {
		d.digest.toggle(existing.record)
	}
	d.digest.toggle(&record)
	d.entries[record.ID] = &entry{&record, d.offset, now}
	if record.Kind != KindProxy {
		d.servers = nil
	}
	return true
}

// Expire removes the records of processes that ended or were lost long ago, and old tombstones. It bounds a
// replica by the processes that run and those that went within LostTTL.
func (d *Directory) Expire(now time.Duration) {
	for id, existing := range d.entries {
		if d.expired(now, existing) {
			d.bury(now, id, existing)
		}
	}
	for id, buriedAt := range d.tombstones {
		if now-buriedAt > tombstoneTTL {
			delete(d.tombstones, id)
		}
	}
}

// expired reports whether a record is to be removed. That of an order is retained as long as the server's,
// because the next order to it takes the next sequence number.
func (d *Directory) expired(now time.Duration, existing *entry) bool {
	record, age := existing.record, now-existing.modifiedAt
	switch {
	case record.State == Ended:
		return age > EndedTTL
	case record.State != Lost || age <= LostTTL:
		return false
	case record.Kind == KindOrder:
		return d.entries[orderTarget(record.ID)] == nil
	}
	return true
}

// bury replaces an expired record by a tombstone.
func (d *Directory) bury(now time.Duration, id string, expired *entry) {
	d.digest.toggle(expired.record)
	delete(d.entries, id)
	d.tombstones[id] = now
}

// Get returns the record of an id, nil if there is none.
func (d *Directory) Get(id string) *Record {
	if existing := d.entries[id]; existing != nil {
		return existing.record
	}
	return nil
}

// ModifiedAt returns when the record of an id was last changed in this replica. It panics if there is none.
func (d *Directory) ModifiedAt(id string) time.Duration { return d.entries[id].modifiedAt }
