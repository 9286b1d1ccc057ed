package config

import (
	"encoding/json"
	"maps"
	"time"

	"cresshub/internal/proxy/serverlist"
)

const (
	defaultDialLimit = 250 * time.Millisecond // where upstream.dial is 0s
	defaultMaxIdle   = time.Second            // where upstream.idle_close is 0s
)

// The values of Discovery.Mode.
const (
	ModeAsk  = "ask"  // changes come only while a watch is open
	ModeTold = "told" // a change counts as known from the moment discovery has it
)

// Discovery is the service that the list of servers comes from, and how it is watched.
type Discovery struct {
	// address: host and port of the discovery service; empty where [[server]] tables name the servers.
	Address string `key:"address" default:"" form:"address?" reload:"live"`

	// mode: how changes of the list reach the proxy: ask sends them only while a watch is open, told at any
	// time, so that a change counts as known from the moment discovery has it.
	Mode string `key:"mode" default:"ask" enum:"ask|told"`

	// ask_within: longest time that the proxy goes without an open watch or a request to discovery.
	AskWithin time.Duration `key:"ask_within" default:"10s" min:"0s" max:"1h"`

	// silence: a watch on which nothing has come for this long is closed and opened again.
	WatchTimeout time.Duration `key:"silence" default:"2500ms" min:"10ms" max:"10m" reload:"live"`

	// max_list: largest message that discovery may send.
	MaxList Size `key:"max_list" default:"1MiB" min:"1KiB" max:"64MiB" reload:"live"`
}

// Upstream are the connections to servers.
type Upstream struct {
	// dial: a connection that is not established after this long counts as refused; 0s is 250 ms.
	DialTimeout time.Duration `key:"dial" default:"250ms" min:"0s" max:"1m"`

	// idle_close: servers close a connection that has been idle for this long; 0s is not known, and
	// connections are reused for 1 s.
	IdleClose time.Duration `key:"idle_close" default:"5s" min:"0s" max:"1h" reload:"live"`

	// reuse: fraction of idle_close up to which an idle connection is reused.
	ReuseFraction float64 `key:"reuse" default:"0.75" min:"0" max:"0.95" reload:"live"`

	// rest: a connection is not reused for this long after a response, in which a second response to the same
	// request may follow.
	DuplicateGuard time.Duration `key:"rest" default:"20ms" min:"0s" max:"10s" reload:"live"`

	// probe: longest wait for the response to a probe, beyond that for the connection.
	ProbeTimeout time.Duration `key:"probe" default:"50ms" min:"1ms" max:"1m" reload:"live"`

	// hold: a response of unknown length is buffered for this long, and passed on as it comes after it.
	BufferTime time.Duration `key:"hold" default:"100ms" min:"0s" max:"10m" reload:"live"`

	// stall: an attempt whose body makes no progress for this long is given up.
	StallTimeout time.Duration `key:"stall" default:"30s" min:"10ms" max:"1h" reload:"live"`
}

// Server is a server that is named here instead of by discovery.
type Server struct {
	// name: unique name.
	Name string `key:"name" form:"name" reload:"live"`

	// address: host and port.
	Address string `key:"address" form:"address" reload:"live"`

	// hall: hall that it stands in, one of halls.
	Hall string `key:"hall" default:"" reload:"live"`

	// kind: kind of machine, one of kinds.
	Kind string `key:"kind" default:"" reload:"live"`

	// cell: number of its cell; the servers of a cell share what keys they have met.
	Cell int `key:"cell" default:"0" min:"0" max:"1000000" reload:"live"`

	// weight: capacity in relation to other servers.
	Weight float64 `key:"weight" default:"1" min:"0.000001" max:"1000000" reload:"live"`

	// drains: it finishes what it has and gets no new requests.
	Draining bool `key:"drains" default:"false" reload:"live"`
}

// DialLimit is the longest time for a connection to be established.
func (u *Upstream) DialLimit() time.Duration {
	if u.DialTimeout <= 0 {
		return defaultDialLimit
	}
	return u.DialTimeout
}

// MaxIdle is how long a connection may have been idle to be reused: well short of when its server closes it.
func (u *Upstream) MaxIdle() time.Duration {
	if u.IdleClose <= 0 {
		return defaultMaxIdle
	}
	return time.Duration(float64(u.IdleClose) * u.ReuseFraction)
}

// ServerList returns the [[server]] tables as a serverlist.Document; nil where the servers come from
// discovery. since keeps when each server was first named, for the next call. One that was not named before
// counts as started now: nothing tells whether it is warm, and too much load would make a cold one collapse.
func (c *Config) ServerList(now time.Time, since map[string]time.Time) json.RawMessage {
	if len(c.Servers) == 0 {
		return nil
	}
	list := serverlist.Document{Snapshot: true}
	named := map[string]bool{}
	for _, s := range c.Servers {
		key := s.Name + " " + s.Address
		named[key] = true
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
	maps.DeleteFunc(since, func(key string, _ time.Time) bool { return !named[key] })
	raw, err := json.Marshal(list)
	if err != nil {
		return nil // checked values can be marshalled
	}
	return raw
}
