// Package serverlist is the JSON format of lists of servers. Discovery sends it, the configuration's
// [[server]] tables are converted to it, and a process passes its list to its successor in it.
package serverlist

// Document is one message: a list of servers, or changes of a list.
type Document struct {
	// Index is the number of changes that discovery has made so far; a later document has a higher one.
	Index int64 `json:"index"`
	// Snapshot says that Endpoints are all servers, not only those that changed.
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is one server of a list.
type Endpoint struct {
	Name    string `json:"name"`
	Address string `json:"address"` // host:port
	Zone    string `json:"zone"`    // hall that it stands in
	Type    string `json:"type"`    // kind of machine
	Group   int    `json:"group"`   // cell, whose servers share what they have cached of keys
	// Status is in_service, terminating (draining) or terminated.
	Status string `json:"status"`
	// Weight is its capacity relative to other servers.
	Weight float64 `json:"weight"`
	// SinceMS is its last start in milliseconds since the Unix epoch, 0 for long ago.
	SinceMS float64 `json:"since_ms"`
}
