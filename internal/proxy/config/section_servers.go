package config

import (
	"encoding/json"
	"maps"
	"time"

	"cresshub/internal/proxy/serverlist"
)

const (
	defaultDialTimeout = 250 * time.Millisecond // where upstream.dial is 0s
	defaultMaxIdle     = time.Second            // where upstream.idle_close is 0s
)

// The values of Discovery.Mode.
const (
	ModeAsk  = "ask"  // changes are received only while a watch is open
	ModeTold = "told" // a change counts as known from the moment discovery has it
)

// Discovery is the service that provides the list of servers, and how the proxy watches it.
type Discovery struct {
	// address: host and port of the discovery service; empty where [[server]] tables define the servers.
	Address string `key:"address" default:"" form:"address?" reload:"live"`

	// mode: how changes of the list reach the proxy: ask sends them only while a watch is open, told at any
	// time, so that a change counts as known from the moment discovery has it.
	Mode string `key:"mode" default:"ask" enum:"ask|told"`

	// ask_within: longest time that the proxy goes without an open watch or a request to discovery.
	AskWithin time.Duration `key:"ask_within" default:"10s" min:"0s" max:"1h"`

	// silence: a watch on which nothing has been received for this long is closed and opened again.
	WatchTimeout time.Duration `key:"silence" default:"2500ms" min:"10ms" max:"10m" reload:"live"`

	// max_list: largest message that discovery may send.
	MaxList Size `key:"max_list" default:"1MiB" min:"1KiB" max:"64MiB" reload:"live"`
}

// Upstream are the connections to servers.
type Upstream struct {
	// dial: a connection that is not established within this time counts as refused; 0s is 250 ms.
	DialTimeout time.Duration `key:"dial" default:"250ms" min:"0s" max:"1m"`

	// idle_close: time after which servers close an idle connection; 0s means that it is not known, and
	// connections idle for up to 1 s are reused.
	IdleClose time.Duration `key:"idle_close" default:"5s" min:"0s" max:"1h" reload:"live"`

	// reuse: fraction of idle_close up to which an idle connection is reused.
	ReuseFraction float64 `key:"reuse" default:"0.75" min:"0" max:"0.95" reload:"live"`

	// rest: a connection is not reused for this long after a response, because a second response to the same
	// request may follow.
	DuplicateGuard time.Duration `key:"rest" default:"20ms" min:"0s" max:"10s" reload:"live"`

	// probe: longest wait for the response to a probe, in addition to the wait for the connection.
	ProbeTimeout time.Duration `key:"probe" default:"50ms" min:"1ms" max:"1m" reload:"live"`

	// hold: a response of unknown length is buffered for this long; after that it is forwarded as it arrives.
	BufferTime time.Duration `key:"hold" default:"100ms" min:"0s" max:"10m" reload:"live"`

	// stall: an attempt whose body makes no progress for this long is given up.
	StallTimeout time.Duration `key:"stall" default:"30s" min:"10ms" max:"1h" reload:"live"`
}

// Server is a server that the file defines instead of discovery.
type Server struct {
	// name: name of the server, unique among all servers.
	Name string `key:"name" form:"name" reload:"live"`

	// address: host and port of the server, unique among all servers.
	Address string `key:"address" form:"address" reload:"live"`

	// hall: hall that the server runs in, one of halls.
	Hall string `key:"hall" default:"" reload:"live"`

	// kind: kind of machine, one of kinds.
	Kind string `key:"kind" default:"" reload:"live"`

	// cell: number of the server's cell; the servers of a cell share which keys they have had requests of.
	Cell int `key:"cell" default:"0" min:"0" max:"1000000" reload:"live"`

	// weight: capacity relative to other servers.
	Weight float64 `key:"weight" default:"1" min:"0.000001" max:"1000000" reload:"live"`

	// drains: whether the server is draining: it completes its requests and gets no new ones.
	Draining bool `key:"drains" default:"false" reload:"live"`
}

// DialLimit returns the longest wait for a connection to be established.
func (u *Upstream) DialLimit() time.Duration {
	if u.DialTimeout <= 0 {
		return defaultDialTimeout
	}
	return u.DialTimeout
}

// MaxIdle returns how long a connection may have been idle to be reused: well below the time after which its
// server closes it.
func (u *Upstream) MaxIdle() time.Duration {
	if u.IdleClose <= 0 {
		return defaultMaxIdle
	}
	return time.Duration(float64(u.IdleClose) * u.ReuseFraction)
}

// ServerList returns the [[server]] tables as a serverlist.Document; nil where the servers come from
// discovery. since maps each server of the list to the time of the call that first listed it, for the next
// call. A server that was not listed before counts as started at now: nothing shows whether it is warm, and
// too much load would make a cold one collapse.
func (c *Config) ServerList(now time.Time, since map[string]time.Time) json.RawMessage {
	if len(c.Servers) == 0 {
		return nil
	}
	list := serverlist.Document{Snapshot: true}
	listed := map[string]bool{}
	for _, s := range c.Servers {
		key := s.Name + " " + s.Address
		listed[key] = true
		if _, ok := since[key]; !ok {
			since[key] = now
		}
		e := serverlist.Endpoint{Name: s.Name, Address: s.Address, Zone: s.Hall, Type: s.Kind, Group: s.Cell,
			Status: "in_service", Weight: s.Weight}
		if !since[key].IsZero() {
			e.SinceMS = float64(since[key].UnixMilli())
		}
		if s.Draining {
			e.Status = "terminating"
		}
		list.Endpoints = append(list.Endpoints, e)
	}
	maps.DeleteFunc(since, func(key string, _ time.Time) bool { return !listed[key] })
	raw, err := json.Marshal(list)
	if err != nil {
		return nil // does not happen: validated values can be encoded
	}
	return raw
}
