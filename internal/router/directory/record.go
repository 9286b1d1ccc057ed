package directory

import (
	"slices"
	"strings"
	"time"

	"cresshub/internal/router/catalog"
)

// Kind is the kind of object that a record describes.
type Kind int

// The kinds of records.
const (
	KindServer Kind = 1 // an incarnation of a server
	KindProxy  Kind = 2 // an incarnation of a proxy
	KindOrder  Kind = 3 // an order to a server to change its role: in force while Ready, over when Lost
)

// State is the state of the process that a record describes. Of two records with the same sequence number,
// the one with the greater state wins.
type State int

// The states of a record, in ascending order of precedence.
const (
	Ready    State = 1
	Draining State = 2 // a server that must not receive new requests
	Lost     State = 3 // timed out; a record with a greater sequence number revives it
	Ended    State = 4 // the process itself reported its end; nothing revives it
)

// Record describes one process, or an order to one. It is a value and is never changed in place. The tags are
// the field names of the Avro schema Record, which package peerproto encodes it with.
type Record struct {
	Kind     Kind   `avro:"Kind"`
	ID       string `avro:"ID"`       // of the incarnation; never reused by another process
	Sequence int64  `avro:"Sequence"` // increased by the process itself with each change
	State    State  `avro:"State"`
	Watcher  string `avro:"Watcher"` // id of the proxy that receives the process's heartbeats

	Service  string `avro:"Service"` // of a server
	Address  string `avro:"Address"` // IP:port of a server, IP of a proxy
	Zone     string `avro:"Zone"`
	Version  string `avro:"Version"` // of the server's software
	Slots    int    `avro:"Slots"`   // number of calls that the server runs concurrently
	Role     string `avro:"Stage"`   // of a model server, or the one that an order gives it; see catalog.Role
	WarmUpMs int64  `avro:"ColdMs"`  // remaining warm-up time of the server, in milliseconds

	Name    string `avro:"Name"`    // of a proxy: the name of its machine
	Control string `avro:"Control"` // of a proxy: the host:port at which servers and operators call it
	Member  string `avro:"Member"`  // of a proxy with a disk: the member id stored on the disk
}

// supersedes reports whether r replaces existing, a record with the same id. If two proxies received the same
// heartbeat, the record of the proxy that acknowledged it, and thus is the watcher, wins; if both
// acknowledged it, the one with the greater watcher id. Records that are equal in all of this are compared by
// their remaining fields. That order has no meaning, but makes all replicas keep the same record.
func (r *Record) supersedes(existing *Record) bool {
	switch {
	case existing.State == Ended:
		return false
	case r.State == Ended:
		return true
	case r.Sequence != existing.Sequence:
		return r.Sequence > existing.Sequence
	case r.State != existing.State:
		return r.State > existing.State
	case r.Watcher != existing.Watcher:
		return r.Watcher > existing.Watcher
	}
	if order := slices.Compare(r.stringFields(), existing.stringFields()); order != 0 {
		return order > 0
	}
	return slices.Compare(r.integerFields(), existing.integerFields()) > 0
}

// stringFields returns the string fields of the record, and integerFields all others.
func (r *Record) stringFields() []string {
	return []string{
		r.ID, r.Watcher, r.Service, r.Address, r.Zone, r.Version, r.Role, r.Name, r.Control, r.Member,
	}
}

func (r *Record) integerFields() []int64 {
	return []int64{int64(r.Kind), r.Sequence, int64(r.State), int64(r.Slots), r.WarmUpMs}
}

// orderIDPrefix precedes the server's id in the id of an order's record.
const orderIDPrefix = "order/"

// OrderID returns the record id of the order to a server.
func OrderID(server string) string { return orderIDPrefix + server }

// OrderTarget returns the id of the server that an order addresses; it is the inverse of OrderID.
func OrderTarget(order string) string { return strings.TrimPrefix(order, orderIDPrefix) }

// Live reports whether the process is believed to be running or the order is in force.
func (r *Record) Live() bool { return r.State == Ready || r.State == Draining }

// SameForRouting reports whether two records of a server agree in every field that is relevant to server
// selection: a heartbeat that brings such a record changes nothing and is not merged.
func (r *Record) SameForRouting(other *Record) bool {
	return r.State == other.State && r.Service == other.Service && r.Address == other.Address &&
		r.Zone == other.Zone && r.Role == other.Role && r.Slots == other.Slots && r.Watcher == other.Watcher
}

// Server converts the record of a server to the form that server selection uses.
func (r *Record) Server() *catalog.Server {
	state := catalog.Ready
	if r.State != Ready {
		state = catalog.Draining
	}
	return &catalog.Server{
		ID: r.ID, Service: r.Service, Address: r.Address, Zone: r.Zone, Version: r.Version, Slots: r.Slots,
		State: state, Role: catalog.Role(r.Role), Sequence: r.Sequence,
		WarmUp: time.Duration(r.WarmUpMs) * time.Millisecond,
	}
}
