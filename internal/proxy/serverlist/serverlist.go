// Package serverlist is the form in which discovery tells the list of servers, which the configuration's own
// servers and what an old process hands over take too.
package serverlist

// Document is a list, whole or only what changed.
type Document struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is one server of a list.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"` // in_service, terminating or terminated
	Weight  float64 `json:"weight"`
	SinceMS float64 `json:"since_ms"` // its last start as Unix time, 0 for long ago
}
