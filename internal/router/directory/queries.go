package directory

import (
	"cmp"
	"slices"
	"time"

	"cresshub/internal/router/catalog"
)

// Get returns the record with an id, or nil if there is none.
func (d *Directory) Get(id string) *Record {
	if existing := d.entries[id]; existing != nil {
		return existing.record
	}
	return nil
}

// ModifiedAt returns when the record with an id was last changed in this replica; ok is false if there is
// none.
func (d *Directory) ModifiedAt(id string) (at time.Duration, ok bool) {
	existing := d.entries[id]
	if existing == nil {
		return 0, false
	}
	return existing.modifiedAt, true
}

// Since returns the records that changed after an offset of this replica's feed, ordered by their last
// change. Since(0) returns a snapshot.
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

// Servers returns the servers that may receive new requests: those that are ready and have no pending order
// to change their role. The table is cached until a server or an order changes.
func (d *Directory) Servers() *catalog.Table {
	if d.servers != nil {
		return d.servers
	}
	var servers []*catalog.Server
	for _, e := range d.entries {
		if e.record.Kind == KindServer && e.record.State == Ready && !d.ChangingRole(e.record) {
			servers = append(servers, e.record.Server())
		}
	}
	slices.SortFunc(servers, func(a, b *catalog.Server) int { return cmp.Compare(a.ID, b.ID) })
	d.servers = catalog.NewTable(servers)
	return d.servers
}

// ChangingRole reports whether an order in force gives a server a different role than its current one.
func (d *Directory) ChangingRole(server *Record) bool {
	order := d.Get(OrderID(server.ID))
	return order != nil && order.State == Ready && order.Role != server.Role
}

// Orders returns the records of the orders in force, sorted by id.
func (d *Directory) Orders() []*Record {
	return d.filter(func(r *Record) bool { return r.Kind == KindOrder && r.Live() })
}

// Proxies returns the records of the proxies that are believed to run, sorted by id.
func (d *Directory) Proxies() []*Record {
	return d.filter(func(r *Record) bool { return r.Kind == KindProxy && r.Live() })
}

// WatchedBy returns the records of live processes whose heartbeats a proxy receives, sorted by id.
func (d *Directory) WatchedBy(proxy string) []*Record {
	return d.filter(func(r *Record) bool { return r.Kind != KindOrder && r.Live() && r.Watcher == proxy })
}

// LiveServers returns the records of all servers believed to run, sorted by id.
func (d *Directory) LiveServers() []*Record {
	return d.filter(func(r *Record) bool { return r.Kind == KindServer && r.Live() })
}

// filter returns the records for which keep returns true, sorted by id.
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
