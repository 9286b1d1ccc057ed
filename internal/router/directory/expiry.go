package directory

import "time"

const (
	// EndedTTL is how long the record of an ended process is retained, so that a late update cannot revive it.
	EndedTTL = 2 * time.Minute
	// LostTTL is how long the record of a process that has timed out is retained.
	LostTTL = 10 * time.Minute
	// tombstoneTTL is how long the id of an expired record is retained. It must exceed the time between the
	// expiries of one record at two replicas.
	tombstoneTTL = 2 * time.Minute
)

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
		return d.entries[OrderTarget(record.ID)] == nil
	}
	return true
}

// bury replaces an expired record by a tombstone.
func (d *Directory) bury(now time.Duration, id string, expired *entry) {
	d.digest.toggle(expired.record)
	delete(d.entries, id)
	d.tombstones[id] = now
}
