// Package serverlist defines the JSON format of server lists. Discovery sends it, the configuration's
// [[server]] tables are converted to it, and a process hands its list over to its successor in it.
package serverlist

// Document is one message: a full server list, or the changes of a list.
type Document struct {
	// Index is the number of changes that discovery has made so far; it is higher in a later document.
	Index int64 `json:"index"`
	// Snapshot states that Endpoints has all servers, not only those that changed.
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is one server of a list.
type Endpoint struct {
	Name    string `json:"name"`
	Address string `json:"address"` // host:port
	Zone    string `json:"zone"`    // hall where the server stands
	Type    string `json:"type"`    // kind of machine
	Group   int    `json:"group"`   // cell; the servers of a cell share cached keys
	// Status is in_service, terminating (draining) or terminated.
	Status string `json:"status"`
	// Weight is the capacity relative to other servers.
	Weight float64 `json:"weight"`
	// SinceMS is the time of the last start, in milliseconds since the Unix epoch; 0 means long ago.
	SinceMS float64 `json:"since_ms"`
}
