package fleetconfig

import (
	"fmt"
	"strings"
	"time"

	"cresshub/internal/jsondoc"
)

// The top-level fields of a document.
const (
	versionField  = "edition"
	routesField   = "routes"
	servicesField = "depots_list"
	limitsField   = "size_limits"
)

const nameField = "name" // of a route and of a service

// The parsers below record problems at the nodes that they read, and return a value nevertheless. They report
// problems to the operator in the order in which they read the nodes.

// parseVersion parses the version, a whole number of at least 1.
func parseVersion(node jsondoc.Node) int64 {
	version := node.Number(1)
	if version != float64(int64(version)) {
		node.Reject("is not a whole number", "give a whole number above the current version")
	}
	return int64(version)
}

// parseLimits parses the limits and applies the default of each absent one.
func parseLimits(node jsondoc.Node) Limits {
	return Limits{
		MaxHeaderBytes: int(node.Get("envelope_bytes").NumberOr(defaultMaxHeaderBytes, 1)),
		MaxBodyBytes:   int(node.Get("contents_bytes").NumberOr(defaultMaxBodyBytes, 0)),
		HeaderTimeout:  milliseconds(node.Get("envelope_ms").NumberOr(defaultHeaderMs, 1)),
		IdleTimeout:    milliseconds(node.Get("idle_ms").NumberOr(defaultIdleMs, 1)),
	}
}

// milliseconds converts a setting in milliseconds to a duration.
func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// seconds converts a setting in seconds to a duration.
func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// parseServices parses the list of services and returns them by name.
func parseServices(list jsondoc.Node) map[string]*Service {
	services := map[string]*Service{}
	for _, node := range list.Items() {
		service := parseService(node)
		if services[service.Name] != nil {
			node.Reject("two services have this name", "give each service a unique name")
		}
		services[service.Name] = service
	}
	return services
}

// parseService parses a service, including its engine if it has model servers.
func parseService(node jsondoc.Node) *Service {
	service := &Service{
		Name:           node.Get(nameField).Text(),
		HealthPath:     node.Get("health_path").TextOr(""),
		MaxConnections: int(node.Get("line_cap").NumberOr(0, 0)),
	}
	if engine := node.Get("engine"); engine.Present() {
		service.Engine = parseEngine(engine)
	}
	return service
}

// parseEngine parses the description of the model servers of a service.
func parseEngine(node jsondoc.Node) *Engine {
	engine := &Engine{
		Slots:             int(node.Get("bays").NumberOr(1, 1)),
		KVCacheTokens:     int(node.Get("kv_tokens").NumberOr(0, 0)),
		KVBytesPerToken:   node.Get("kv_bytes").NumberOr(0, 0),
		LinkMbps:          node.Get("link_mbps").NumberOr(0, 0),
		MaxTokensPerEvent: int(node.Get("stride").NumberOr(1, 0)),
		HandleTTL:         seconds(node.Get("claim_s").NumberOr(0, 0)),
		RoleSwitchTime:    seconds(node.Get("switch_s").NumberOr(0, 0)),
	}
	for _, model := range node.Get("models").Items() {
		engine.Models = append(engine.Models, model.Get("name").TextOr(""))
	}
	return engine
}

// parseRoute parses a route and rejects targets that are not among the services.
func parseRoute(node jsondoc.Node, services map[string]*Service) *Route {
	route := &Route{
		Name:          node.Get(nameField).TextOr(""),
		Host:          strings.ToLower(node.Get("town").Text()),
		Prefix:        node.Get("street_prefix").Text(),
		Kind:          parseKind(node.Get("mail_class")),
		Timeout:       milliseconds(node.Get("timeout_ms").Number(0)),
		LatencyTarget: milliseconds(node.Get("target_ms").NumberOr(0, 0)),
		Priority:      int(node.Get("priority").NumberOr(0, 0)),
		MaxAttempts:   max(int(node.Get("delivery_tries").NumberOr(1, 0)), 1),
		Resumable:     node.Get("redeliver").Bool(),
		Sticky:        node.Get("same_courier").Bool(),
		GapTarget:     milliseconds(node.Get("gap_aim_ms").NumberOr(0, 0)),
	}
	if route.Name == "" {
		route.Name = route.Host + route.Prefix
	}
	if route.Timeout <= 0 {
		node.Get("timeout_ms").Reject("is 0", "give the longest time in ms that a request may be held")
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		node.Get("street_prefix").Reject("does not begin and end with a slash", "write it like /path/")
	}
	route.parseTargets(node, services)
	return route
}

// parseKind parses the kind of a route.
func parseKind(node jsondoc.Node) Kind {
	kind := Kind(node.TextOr(string(Unsafe)))
	if kind != Safe && kind != Unsafe && kind != Stream {
		node.Reject(fmt.Sprintf("%q is not a known mail_class", kind), "give safe, unsafe or stream")
	}
	return kind
}

// parseTargets parses the targets of a route: a single one, or several with weights.
func (r *Route) parseTargets(node jsondoc.Node, services map[string]*Service) {
	weightedTargets := node.Get("apportion")
	if !weightedTargets.Present() {
		r.addTarget(node.Get("depot"), 1, services)
		return
	}
	for _, target := range weightedTargets.Items() {
		r.addTarget(target.Get("depot"), target.Get("share").Number(0), services)
	}
	if r.TotalWeight <= 0 {
		weightedTargets.Reject("the shares sum to 0", "give at least one share above 0")
	}
}

// addTarget adds a target and its weight; service is the node that holds the service's name.
func (r *Route) addTarget(service jsondoc.Node, weight float64, services map[string]*Service) {
	name := service.Text()
	if services[name] == nil && name != "" {
		service.Reject(fmt.Sprintf("names %q, which is not in depots_list", name), "name a service of the list")
	}
	r.Targets = append(r.Targets, Target{name, weight})
	r.TotalWeight += weight
}
