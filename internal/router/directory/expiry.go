package directory

import "time"

const (
	// EndedTTL is how long the record of an ended process is retained, so that a late update cannot revive it.
	EndedTTL = 2 * time.Minute
	// LostTTL is how long the record of a process that has timed out is retained.
	LostTTL = 10 * time.Minute
	// tombstoneTTL is how long the tombstone of an expired record is retained. It must exceed the difference
	// between the times at which two replicas expire the same record.
	tombstoneTTL = 2 * time.Minute
)

// Expire removes the records of processes that ended or were lost long ago, and old tombstones. It bounds the
// size of a replica by the number of processes that run or went away within LostTTL.
func (d *Directory) Expire(now time.Duration) {
	for id, existing := range d.entries {
		if d.expired(now, existing) {
			d.replaceWithTombstone(now, id, existing)
		}
	}
	for id, expiredAt := range d.tombstones {
		if now-expiredAt > tombstoneTTL {
			delete(d.tombstones, id)
		}
	}
}

// expired reports whether a record is to be removed. The record of an order is retained as long as that of
// its server, because the next order to the server takes the next sequence number.
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

// replaceWithTombstone replaces an expired record with a tombstone.
func (d *Directory) replaceWithTombstone(now time.Duration, id string, expired *entry) {
	d.digest.toggle(expired.record)
	delete(d.entries, id)
	d.tombstones[id] = now
}
