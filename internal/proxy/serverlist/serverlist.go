// Package serverlist is the JSON form of a list of servers: discovery sends it, the configuration's
// [[server]] tables are turned into it, and a process passes its list to its successor in it.
package serverlist

// Document is one message with servers.
type Document struct {
	// Index counts discovery's changes; a later document has a higher one.
	Index int64 `json:"index"`
	// Snapshot tells that Endpoints are all servers, not only those that changed.
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is one server of a list.
type Endpoint struct {
	Name    string `json:"name"`
	Address string `json:"address"` // host:port
	Zone    string `json:"zone"`    // hall that it stands in
	Type    string `json:"type"`    // kind of machine
	Group   int    `json:"group"`   // cell, whose servers share what keys they have met
	// Status is in_service, terminating (draining) or terminated.
	Status string `json:"status"`
	// Weight is its capacity relative to other servers.
	Weight float64 `json:"weight"`
	// SinceMS is its last start in milliseconds since the Unix epoch, 0 for long ago.
	SinceMS float64 `json:"since_ms"`
}
