package catalog

import (
	"iter"
	"maps"
)

// Table is an immutable list of the servers that may get new requests, in the indexes that the choice of a
// server needs. It may be read by any goroutine.
type Table struct {
	Version   uint64 // rises with every change of the directory that the table was made from
	byService map[string][]*Server
	byID      map[string]*Server
}

// NewTable returns a table of servers, which must be sorted by id.
func NewTable(version uint64, servers []*Server) *Table {
	t := &Table{
		Version:   version,
		byService: map[string][]*Server{},
		byID:      make(map[string]*Server, len(servers)),
	}
	for _, s := range servers {
		t.byService[s.Service] = append(t.byService[s.Service], s)
		t.byID[s.ID] = s
	}
	return t
}

// Service returns the servers of a service, sorted by id. The caller must not change the slice.
func (t *Table) Service(name string) []*Server { return t.byService[name] }

// ByID returns the server of an id, nil if the table has none.
func (t *Table) ByID(id string) *Server { return t.byID[id] }

// All returns the servers, in no order.
func (t *Table) All() iter.Seq[*Server] { return maps.Values(t.byID) }
