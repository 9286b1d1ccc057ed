package catalog

import (
	"iter"
	"maps"
)

// Table is an immutable list of the servers that may get new requests, indexed for the choice of a server.
// Any goroutine may read it. A table has no version: a reader that holds a pointer to a table recognizes a
// newer one by its different address.
type Table struct {
	byService map[string][]*Server
	byID      map[string]*Server
}

// NewTable returns a table of the given servers, which must be sorted by id.
func NewTable(servers []*Server) *Table {
	t := &Table{
		byService: map[string][]*Server{},
		byID:      make(map[string]*Server, len(servers)),
	}
	for _, server := range servers {
		t.byService[server.Service] = append(t.byService[server.Service], server)
		t.byID[server.ID] = server
	}
	return t
}

// Service returns the servers of a service, sorted by id. The caller must not change the slice.
func (t *Table) Service(name string) []*Server { return t.byService[name] }

// ByID returns the server with an id, nil if the table has none.
func (t *Table) ByID(id string) *Server { return t.byID[id] }

// All returns the servers in random order.
func (t *Table) All() iter.Seq[*Server] { return maps.Values(t.byID) }
