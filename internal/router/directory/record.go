package directory

import (
	"slices"
	"strings"
	"time"

	"cresshub/internal/router/catalog"
)

// Kind is what a record describes.
type Kind int

// The kinds of records.
const (
	KindServer Kind = 1 // an incarnation of a server
	KindProxy  Kind = 2 // an incarnation of a proxy
	KindOrder  Kind = 3 // an order to a server to take another role: in force while Ready, over when Lost
)

// State is the state of the process that a record describes. Of two records with one sequence number the one
// with the greater state wins.
type State int

// The states of a record, in the order in which they win.
const (
	Ready    State = 1
	Draining State = 2 // a server that is to get no new requests
	Lost     State = 3 // timed out; a record with a greater sequence number revives it
	Ended    State = 4 // ended by its own account; nothing revives it
)

// Record describes one process, or an order to one. It is a value and is never changed in place. The tags
// hold the field names of the Avro schema Record, in which package peerproto sends and stores it.
type Record struct {
	Kind     Kind   `avro:"Kind"`
	ID       string `avro:"ID"`       // of the incarnation; never used again by another process
	Sequence int64  `avro:"Sequence"` // raised by the process itself with each change
	State    State  `avro:"State"`
	Watcher  string `avro:"Watcher"` // id of the proxy that receives the process's heartbeats

	Service  string `avro:"Service"` // of a server
	Address  string `avro:"Address"` // of a server IP:port, of a proxy its IP
	Zone     string `avro:"Zone"`
	Version  string `avro:"Version"` // of the server's software
	Slots    int    `avro:"Slots"`   // how many calls the server runs at once
	Role     string `avro:"Stage"`   // of a model server, or ordered to it; see catalog.Role
	WarmUpMs int64  `avro:"ColdMs"`  // how much longer the server is warming up, in milliseconds

	Name    string `avro:"Name"`    // of a proxy's machine
	Control string `avro:"Control"` // of a proxy: where servers and operators call it, host:port
	Member  string `avro:"Member"`  // of a proxy with a disk: the identity that its disk holds
}

// supersedes reports whether r is to replace existing, a record of the same id. Of two proxies that received
// the same heartbeat the one that acknowledged it, and so is the watcher, wins, and of two that did the one
// with the greater id. Of two records that differ in nothing else the greater one wins, whatever that means:
// all replicas have to end with the same.
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
	if order := slices.Compare(r.texts(), existing.texts()); order != 0 {
		return order > 0
	}
	return slices.Compare(r.numbers(), existing.numbers()) > 0
}

// texts returns the fields that are texts, numbers the others. Between them they have all fields.
func (r *Record) texts() []string {
	return []string{
		r.ID, r.Watcher, r.Service, r.Address, r.Zone, r.Version, r.Role, r.Name, r.Control, r.Member,
	}
}

func (r *Record) numbers() []int64 {
	return []int64{int64(r.Kind), r.Sequence, int64(r.State), int64(r.Slots), r.WarmUpMs}
}

// orderIDPrefix begins the id of an order's record; the id of its server follows.
const orderIDPrefix = "order/"

// OrderID returns the id of the record of the order to a server.
func OrderID(server string) string { return orderIDPrefix + server }

// OrderTarget returns the id of the server that an order's record is for; it is the inverse of OrderID.
func OrderTarget(order string) string { return strings.TrimPrefix(order, orderIDPrefix) }

// Live reports whether the process is believed to run, or the order is in force.
func (r *Record) Live() bool { return r.State == Ready || r.State == Draining }

// SameForRouting reports whether two records of a server are the same to the choice of a server: a heartbeat that
// brings such a record changes nothing and is not merged.
func (r *Record) SameForRouting(other *Record) bool {
	return r.State == other.State && r.Service == other.Service && r.Address == other.Address &&
		r.Zone == other.Zone && r.Role == other.Role && r.Slots == other.Slots && r.Watcher == other.Watcher
}

// Server returns a server's record in the form that the choice of a server uses.
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
