// Package fleetconfig reads and checks a configuration that an operator sends, keeps it as an immutable table
// that requests are matched against, and applies patches of named items to it.
package fleetconfig

import (
	"sync"
	"time"

	"cresshub/internal/jsondoc"
)

// Kind tells how often a request of a route may run.
type Kind string

// The kinds of routes.
const (
	Safe   Kind = "safe"   // may run more than once
	Unsafe Kind = "unsafe" // runs at most once for each try
	Stream Kind = "stream" // a series of events; runs at most once unless the route may be resumed
)

// LatencyTarget is a service that takes a part of a route's requests.
type Target struct {
	Service string
	Weight  float64 // relative to the other targets of the route
}

// Route says what is done with the requests of a host whose path begins with a prefix.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Timeout       time.Duration // the longest that a request is held
	LatencyTarget time.Duration // inside which an answer earns its full worth
	Priority      int           // 0 is the highest
	MaxAttempts   int           // the most servers that one try is sent to
	Resumable     bool          // a stream may go on at another server with Last-Event-Id
	Sticky        bool          // requests carry the parts of their prompts
	GapTarget     time.Duration // the longest pause between events that is in time
	Targets       []Target
	TotalWeight   float64
}

// Idempotent tells whether a request of the route may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// hasTarget tells whether a service is one of the route's targets.
func (r *Route) hasTarget(service string) bool {
	for _, target := range r.Targets {
		if target.Service == service {
			return true
		}
	}
	return false
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots             int     // requests that run at once
	KVCacheTokens     int     // memory of a server
	KVBytesPerToken   float64 // memory of a token
	LinkMbps          float64 // a second, of a server's moves
	MaxTokensPerEvent int     // tokens an event holds at most
	HandleTTL         time.Duration
	RoleSwitchTime    time.Duration
	Models            []string
}

// Service is a group of servers that answer the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // of one server, for all callers together
	Engine         *Engine
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the configuration. It is never changed.
type Config struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits

	routeIndex routeIndex
	// parsedRoutes are the routes of a whole document in their order; a patched configuration has them in its
	// layout.
	parsedRoutes []*Route
	// valueCount is how many JSON values the document holds.
	valueCount int
	// patch is what made this version of another one, nil for a whole document.
	patch *Patch

	rawOnce sync.Once
	raw     []byte // of a patched configuration made when it is first asked for

	layoutOnce sync.Once
	layout     *layout // made of the document when the first patch needs it
}

// Raw returns the document: as the operator sent it, or with the patches since then applied to it.
func (c *Config) Raw() []byte {
	c.rawOnce.Do(func() {
		if c.raw == nil {
			c.raw = c.layout.render(c.Version)
		}
	})
	return c.raw
}

// Patch returns the patch that made this version of the one before, nil where a whole document was sent.
func (c *Config) Patch() *Patch { return c.patch }

// Routes returns the routes in the order of the document.
func (c *Config) Routes() []*Route {
	if c.patch == nil {
		return c.parsedRoutes
	}
	return c.layout.routes.routesInOrder()
}

// RouteCount returns how many routes there are.
func (c *Config) RouteCount() int {
	if c.patch == nil {
		return len(c.parsedRoutes)
	}
	return c.layout.routes.byPosition.Len()
}

// Match returns the route of a request, nil where there is none. The host may carry a port.
func (c *Config) Match(host, path string) *Route { return c.routeIndex.match(host, path) }

// emptyConfigDocument is what a first patch builds on.
const emptyConfigDocument = `{"edition":0}`

// Empty returns the version 0, on which a first configuration builds. It is never in force.
func Empty() *Config {
	document, err := jsondoc.Parse([]byte(emptyConfigDocument))
	if err != nil {
		panic("fleetconfig: " + err.Error()) // the document is fixed
	}
	return &Config{Services: map[string]*Service{}, raw: []byte(emptyConfigDocument),
		Limits: parseLimits(document.Root().Get("size_limits")), valueCount: document.ValueCount(),
		routeIndex: newRouteIndex(nil, nil)}
}

// Parse reads and checks a configuration. The error is *pathreader.Invalid and names every mistake.
func Parse(raw []byte) (*Config, error) {
	document, err := jsondoc.Parse(raw)
	if err != nil {
		return nil, err
	}
	root := document.Root()
	config := &Config{
		Version: parseVersion(root.Get("edition")), Services: map[string]*Service{}, raw: raw,
		Limits: parseLimits(root.Get("size_limits")), valueCount: document.ValueCount(),
	}
	for _, node := range root.Get(servicesField).Items() {
		service := parseService(node)
		if config.Services[service.Name] != nil {
			node.Reject("two services have this name", "give each service a name of its own")
		}
		config.Services[service.Name] = service
	}
	nodes := root.Get(routesField).Items()
	for _, node := range nodes {
		config.parsedRoutes = append(config.parsedRoutes, parseRoute(node, config.Services))
	}
	config.routeIndex = newRouteIndex(config.parsedRoutes, nodes)
	return config, document.Err()
}
