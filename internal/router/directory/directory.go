package directory

import (
	"cmp"
	"slices"
	"time"

	"cresshub/internal/invariant"
	"cresshub/internal/router/catalog"
)

const (
	// EndedTTL is how long the record of an ended process is kept, so that late news of it cannot revive it.
	EndedTTL = 2 * time.Minute
	// LostTTL is how long the record of a silent process is kept.
	LostTTL = 10 * time.Minute
	// tombstoneTTL is how long it is kept in mind that a record was forgotten, so that another copy that
	// still has it does not bring it back.
	tombstoneTTL = 2 * time.Minute
)

// entry is a record with what this copy notes beside it.
type entry struct {
	record     *Record
	offset     uint64        // of the last change of the record in this copy's feed
	modifiedAt time.Duration // when that change was merged
}

// Directory is one copy.
type Directory struct {
	entries    map[string]*entry
	tombstones map[string]time.Duration // when the record of an id was forgotten
	offset     uint64                   // of the last change
	digest     Digest
	table      *catalog.Table // nil after a change of servers, until asked for
}

// New returns an empty copy.
func New() *Directory {
	return &Directory{entries: map[string]*entry{}, tombstones: map[string]time.Duration{}}
}

// Offset is the place of the last change in this copy's feed.
func (d *Directory) Offset() uint64 { return d.offset }

// Merge takes a record in and tells whether it changed this copy.
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
		d.table = nil
	}
	return true
}

// Expire forgets processes that ended or fell silent long ago, so that a copy is bounded by what runs and
// what went within LostTTL.
func (d *Directory) Expire(now time.Duration) {
	for id, e := range d.entries {
		if d.expired(now, e) {
			d.forget(now, id, e)
		}
	}
	for id, at := range d.tombstones {
		if now-at > tombstoneTTL {
			delete(d.tombstones, id)
		}
	}
}

// expired tells whether a record may be forgotten. That of an order stays as long as its server is known,
// because the next order to it counts on from there.
func (d *Directory) expired(now time.Duration, entry *entry) bool {
	age := now - entry.modifiedAt
	switch {
	case entry.record.State == Ended:
		return age > EndedTTL
	case entry.record.State != Lost || age <= LostTTL:
		return false
	case entry.record.Kind == KindOrder:
		return d.entries[orderTarget(entry.record.ID)] == nil
	}
	return true
}

func (d *Directory) forget(now time.Duration, id string, e *entry) {
	d.digest.toggle(e.record)
	delete(d.entries, id)
	d.tombstones[id] = now
}

// Get returns the record of an id, nil where there is none.
func (d *Directory) Get(id string) *Record {
	if e := d.entries[id]; e != nil {
		return e.record
	}
	return nil
}

// ModifiedAt returns when the record of an id was last changed here.
func (d *Directory) ModifiedAt(id string) time.Duration { return d.entries[id].modifiedAt }

// Since returns the records that changed after a place of this copy's feed, in the order of their changes.
// Since(0) is a snapshot.
func (d *Directory) Since(offset uint64) []*Record {
	if offset >= d.offset {
		return nil
	}
	var changed []*entry
	for _, e := range d.entries {
		if e.offset > offset {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.offset, b.offset) })
	records := make([]*Record, len(changed))
	for i, e := range changed {
		records[i] = e.record
	}
	return records
}

// Servers returns the servers that may get new requests.
func (d *Directory) Servers() *catalog.Table {
	if d.table != nil {
		return d.table
	}
	var servers []*catalog.Server
	for _, e := range d.entries {
		if e.record.Kind == KindServer && e.record.State == Ready && !d.ChangingRole(e.record) {
			servers = append(servers, e.record.Server())
		}
	}
	slices.SortFunc(servers, func(a, b *catalog.Server) int { return cmp.Compare(a.ID, b.ID) })
	d.table = catalog.NewTable(d.offset, servers)
	return d.table
}

// ChangingRole tells whether a server is under an order to take another stage than it has.
func (d *Directory) ChangingRole(server *Record) bool {
	order := d.Get(OrderID(server.ID))
	return order != nil && order.State == Ready && order.Role != server.Role
}

// Orders returns the records of the orders that are under way, sorted by id.
func (d *Directory) Orders() []*Record {
	return d.filter(func(r *Record) bool { return r.Kind == KindOrder && r.Live() })
}

// Proxies returns the records of the proxies that are believed to run, sorted by id.
func (d *Directory) Proxies() []*Record {
	return d.filter(func(r *Record) bool { return r.Kind == KindProxy && r.Live() })
}

// WatchedBy returns the records of live processes whose heartbeats a proxy hears, sorted by id.
func (d *Directory) WatchedBy(proxy string) []*Record {
	return d.filter(func(r *Record) bool { return r.Kind != KindOrder && r.Live() && r.Watcher == proxy })
}

// LiveServers returns the records of all servers believed to run, sorted by id.
func (d *Directory) LiveServers() []*Record {
	return d.filter(func(r *Record) bool { return r.Kind == KindServer && r.Live() })
}

func (d *Directory) filter(keep func(*Record) bool) []*Record {
	var records []*Record
	for _, e := range d.entries {
		if keep(e.record) {
			records = append(records, e.record)
		}
	}
	slices.SortFunc(records, func(a, b *Record) int { return cmp.Compare(a.ID, b.ID) })
	return records
}
