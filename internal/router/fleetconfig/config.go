package fleetconfig

import (
	"fmt"
	"sync"

	"cresshub/internal/jsondoc"
)

// MaxDocumentBytes bounds a configuration document, whether it was sent as a whole or results from a patch.
const MaxDocumentBytes = 8 << 20

// Config is one version of the configuration. It is immutable.
type Config struct {
	// Version ("edition") increases with each change.
	Version int64
	// Services holds the services by name.
	Services map[string]*Service
	// Limits bounds what clients may send.
	Limits Limits

	routeIndex routeIndex
	// parsedRoutes holds the routes of a complete document in document order; a patched configuration has them
	// in its layout instead.
	parsedRoutes []*Route
	// valueCount is the number of JSON values in the document.
	valueCount int
	// patch is the patch that created this version from the previous one, nil for a complete document.
	patch *Patch

	rawOnce sync.Once
	raw     []byte // the document; in a patched configuration nil until Raw is first called

	layoutOnce sync.Once
	layout     *layout // the document split into items; nil until the first patch needs it
}

// emptyDocument is the document of version 0, on which a first patch builds.
const emptyDocument = `{"edition":0}`

// Empty returns version 0, on which a first patch builds. It is never committed.
func Empty() *Config {
	document, err := jsondoc.Parse([]byte(emptyDocument))
	if err != nil {
		panic("fleetconfig: " + err.Error()) // the document is a constant
	}
	return &Config{
		Services: map[string]*Service{}, raw: []byte(emptyDocument),
		Limits: parseLimits(document.Root().Get(limitsField)), valueCount: document.ValueCount(),
		routeIndex: newRouteIndex(nil, nil),
	}
}

// Parse parses and validates a complete document. Its error is a *jsondoc.ValidationError that lists every
// problem.
func Parse(raw []byte) (*Config, error) {
	document, err := jsondoc.Parse(raw)
	if err != nil {
		return nil, err
	}
	root := document.Root()
	config := &Config{
		Version:  parseVersion(root.Get(versionField)),
		Limits:   parseLimits(root.Get(limitsField)),
		Services: parseServices(root.Get(servicesField)),
		raw:      raw, valueCount: document.ValueCount(),
	}
	routeNodes := root.Get(routesField).Items()
	for _, node := range routeNodes {
		config.parsedRoutes = append(config.parsedRoutes, parseRoute(node, config.Services))
	}
	config.routeIndex = newRouteIndex(config.parsedRoutes, routeNodes)
	if err := document.Err(); err != nil {
		return nil, err
	}
	return config, nil
}

// Match returns the route of a request, or nil if none matches. The host may include a port.
func (c *Config) Match(host, path string) *Route { return c.routeIndex.match(host, path) }

// Routes returns the routes in the order of the document.
func (c *Config) Routes() []*Route {
	if c.patch == nil {
		return c.parsedRoutes
	}
	return c.layout.routes.routesInOrder()
}

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int {
	if c.patch == nil {
		return len(c.parsedRoutes)
	}
	return c.layout.routes.len()
}

// Raw returns the document: the bytes that the operator sent or, for a patched configuration, the rendered
// document with all patches applied.
func (c *Config) Raw() []byte {
	c.rawOnce.Do(func() {
		if c.raw == nil {
			c.raw = c.layout.render(c.Version)
		}
	})
	return c.raw
}

// Patch returns the patch that created this version from the previous one, nil if a complete document was
// sent.
func (c *Config) Patch() *Patch { return c.patch }

// CheckSize returns a *jsondoc.ValidationError if the document is larger than MaxDocumentBytes.
func (c *Config) CheckSize() error {
	size := len(c.Raw())
	if size <= MaxDocumentBytes {
		return nil
	}
	return &jsondoc.ValidationError{Problems: []jsondoc.Problem{{
		Field:  deliverField,
		Reason: fmt.Sprintf("the configuration would have %d bytes", size),
		Remedy: fmt.Sprintf("withdraw items that are not needed; at most %d bytes are accepted", MaxDocumentBytes),
	}}}
}

// splitLayout returns the layout of the document, computed on first use.
func (c *Config) splitLayout() *layout {
	c.layoutOnce.Do(func() {
		if c.layout == nil {
			c.layout = splitDocument(c.raw, c.parsedRoutes)
		}
	})
	return c.layout
}
