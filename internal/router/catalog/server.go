// Package catalog holds what is known of the servers: a table that merges what proxies hear, where the record
// with the highest sequence number of an incarnation wins and an ended incarnation stays ended.
package catalog

import (
	"iter"
	"maps"
	"time"
)

// Role is the part a model server plays.
type Role string

// The stages of a model server; other servers have none.
const (
	NoRole  Role = ""
	Prefill Role = "reading" // reads prompts
	Decode  Role = "writing" // makes tokens
)

// State is how far a server is with its life.
type State string

// The states of a server.
const (
	Ready    State = "ready"
	Draining State = "draining"
	Ended    State = "ended" // the incarnation has left for good
)

// Server is one incarnation of a server as it last described itself. It is never changed.
type Server struct {
	ID       string // of the incarnation
	Service  string
	Address  string // IP:port
	Zone     string
	Version  string
	Slots    int
	State    State
	Role     Role
	Sequence int64         // rises with every call of the server
	WarmUp   time.Duration // how much longer it remains slow, at the time of the call
}

// Table is an immutable view of the servers that may be sent to.
type Table struct {
	Version   uint64 // rises with every change
	byService map[string][]*Server
	byID      map[string]*Server
}

// Service returns the servers of a service that may get new requests: ready and believed alive, sorted by id.
func (t *Table) Service(name string) []*Server { return t.byService[name] }

// ByID returns a server that may get new requests, nil where there is none.
func (t *Table) ByID(id string) *Server { return t.byID[id] }

// All returns the servers that may get new requests, in no order.
func (t *Table) All() iter.Seq[*Server] { return maps.Values(t.byID) }

// Len returns how many servers may get new requests.
func (t *Table) Len() int { return len(t.byID) }

// NewTable returns a table of servers; they must be sorted by id.
func NewTable(version uint64, servers []*Server) *Table {
	t := &Table{Version: version, byService: map[string][]*Server{}, byID: make(map[string]*Server,
		len(servers))}
	for _, s := range servers {
		t.byService[s.Service] = append(t.byService[s.Service], s)
		t.byID[s.ID] = s
	}
	return t
}
