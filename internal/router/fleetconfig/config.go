package fleetconfig

import (
	"fmt"
	"sync"

	"cresshub/internal/jsondoc"
)

// MaxDocumentBytes bounds a configuration document, whether it was sent complete or is the result of a patch.
const MaxDocumentBytes = 8 << 20

// Config is one version of the configuration. It is immutable.
type Config struct {
	// Version ("edition") rises with each change.
	Version int64
	// Services by their names.
	Services map[string]*Service
	// Limits on what clients may send.
	Limits Limits

	routeIndex routeIndex
	// parsedRoutes are the routes of a complete document in its order; a patched configuration has them in its
	// layout.
	parsedRoutes []*Route
	// valueCount is how many JSON values the document holds.
	valueCount int
	// patch is what made this version from the one before, nil for a complete document.
	patch *Patch

	rawOnce sync.Once
	raw     []byte // the document; of a patched configuration nil until it is first asked for

	layoutOnce sync.Once
	layout     *layout // the document split into items; nil until the first patch needs it
}

// emptyDocument is what a first patch builds on.
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

// Parse reads and validates a complete document. Its error is a *jsondoc.ValidationError that lists every
// fault.
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

// Match returns the route of a request, nil if none matches. The host may carry a port.
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

// Raw returns the document: as the operator sent it, or rendered with the patches applied since.
func (c *Config) Raw() []byte {
	c.rawOnce.Do(func() {
		if c.raw == nil {
			c.raw = c.layout.render(c.Version)
		}
	})
	return c.raw
}

// Patch returns the patch that made this version from the one before, nil if a complete document was sent.
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
		Remedy: fmt.Sprintf("withdraw items that are not needed; %d bytes are taken", MaxDocumentBytes),
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
