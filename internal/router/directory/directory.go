package directory

import (
	"cmp"
	"slices"
	"time"

	"cresshub/internal/invariant"
	"cresshub/internal/router/catalog"
)

const (
	// EndedLife is how long the record of an ended process is kept, so that late news of it cannot revive it.
	EndedLife = 2 * time.Minute
	// LostLife is how long the record of a silent process is kept.
	LostLife = 10 * time.Minute
	// forgottenLife is how long it is kept in mind that a record was forgotten, so that another copy that
	// still has it does not bring it back.
	forgottenLife = 2 * time.Minute
)

// entry is a record with what this copy notes beside it.
type entry struct {
	record  *Record
	number  uint64        // of the last change of the record in this copy's feed
	changed time.Duration // when that change was merged
}

// Directory is one copy.
type Directory struct {
	entries   map[string]*entry
	forgotten map[string]time.Duration // when the record of an id was forgotten
	number    uint64                   // of the last change
	digest    Digest
	table     *catalog.Table // nil after a change of servers, until asked for
}

// New returns an empty copy.
func New() *Directory {
	return &Directory{entries: map[string]*entry{}, forgotten: map[string]time.Duration{}}
}

// Number is the place of the last change in this copy's feed.
func (d *Directory) Number() uint64 { return d.number }

// Merge takes a record in and tells whether it changed this copy.
func (d *Directory) Merge(now time.Duration, record Record) bool {
	known := d.entries[record.ID]
	if known != nil && !record.supersedes(known.record) {
		return false
	}
	if _, forgotten := d.forgotten[record.ID]; forgotten {
		if !record.Live() {
			return false
		}
		delete(d.forgotten, record.ID)
	}
	invariant.Assert(known == nil || known.record.State != Ended, invariant.EndedStaysEnded,
		"%s has ended and comes back as %d", record.ID, record.State)
	d.number++
	if known != nil {
		d.digest.toggle(known.record)
	}
	d.digest.toggle(&record)
	d.entries[record.ID] = &entry{&record, d.number, now}
	if record.Kind != KindProxy {
		d.table = nil
	}
	return true
}

// Expire forgets processes that ended or fell silent long ago, so that a copy is bounded by what runs and
// what went within LostLife.
func (d *Directory) Expire(now time.Duration) {
	for id, e := range d.entries {
		if d.expired(now, e) {
			d.forget(now, id, e)
		}
	}
	for id, at := range d.forgotten {
		if now-at > forgottenLife {
			delete(d.forgotten, id)
		}
	}
}

// expired tells whether a record may be forgotten. That of an order stays as long as its server is known,
// because the next order to it counts on from there.
func (d *Directory) expired(now time.Duration, e *entry) bool {
	age := now - e.changed
	switch {
	case e.record.State == Ended:
		return age > EndedLife
	case e.record.State != Lost || age <= LostLife:
		return false
	case e.record.Kind == KindOrder:
		return d.entries[orderedServer(e.record.ID)] == nil
	}
	return true
}

func (d *Directory) forget(now time.Duration, id string, e *entry) {
	d.digest.toggle(e.record)
	delete(d.entries, id)
	d.forgotten[id] = now
}

// Get returns the record of an id, nil where there is none.
func (d *Directory) Get(id string) *Record {
	if e := d.entries[id]; e != nil {
		return e.record
	}
	return nil
}

// ChangedAt returns when the record of an id was last changed here.
func (d *Directory) ChangedAt(id string) time.Duration { return d.entries[id].changed }

// Since returns the records that changed after a place of this copy's feed, in the order of their changes.
// Since(0) is a snapshot.
func (d *Directory) Since(place uint64) []*Record {
	if place >= d.number {
		return nil
	}
	var changed []*entry
	for _, e := range d.entries {
		if e.number > place {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.number, b.number) })
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
		if e.record.Kind == KindServer && e.record.State == Ready && !d.Changing(e.record) {
			servers = append(servers, e.record.Server())
		}
	}
	slices.SortFunc(servers, func(a, b *catalog.Server) int { return cmp.Compare(a.ID, b.ID) })
	d.table = catalog.NewTable(d.number, servers)
	return d.table
}

// Changing tells whether a server is under an order to take another stage than it has.
func (d *Directory) Changing(server *Record) bool {
	order := d.Get(OrderID(server.ID))
	return order != nil && order.State == Ready && order.Stage != server.Stage
}

// Orders returns the records of the orders that are under way, sorted by id.
func (d *Directory) Orders() []*Record {
	return d.selected(func(r *Record) bool { return r.Kind == KindOrder && r.Live() })
}

// Proxies returns the records of the proxies that are believed to run, sorted by id.
func (d *Directory) Proxies() []*Record {
	return d.selected(func(r *Record) bool { return r.Kind == KindProxy && r.Live() })
}

// WatchedBy returns the records of live processes whose heartbeats a proxy hears, sorted by id.
func (d *Directory) WatchedBy(proxy string) []*Record {
	return d.selected(func(r *Record) bool { return r.Kind != KindOrder && r.Live() && r.Watcher == proxy })
}

// LiveServers returns the records of all servers believed to run, sorted by id.
func (d *Directory) LiveServers() []*Record {
	return d.selected(func(r *Record) bool { return r.Kind == KindServer && r.Live() })
}

func (d *Directory) selected(keep func(*Record) bool) []*Record {
	var records []*Record
	for _, e := range d.entries {
		if keep(e.record) {
			records = append(records, e.record)
		}
	}
	slices.SortFunc(records, func(a, b *Record) int { return cmp.Compare(a.ID, b.ID) })
	return records
}
