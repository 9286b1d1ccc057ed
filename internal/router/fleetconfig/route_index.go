package fleetconfig

import (
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"cresshub/internal/jsondoc"
)

// routeIndex looks up the route of a host and path. It is immutable; the index of a patched version shares
// the parts that the patch does not change.
type routeIndex struct{ tree *iradix.Tree[*Route] }

// keySeparator separates host and prefix in a key of the index. No host contains it, so that a key can be a
// prefix of another key only if both have the same host.
const keySeparator = 0

// routeKey returns the key of a host and prefix.
func routeKey(host, prefix string) []byte {
	key := make([]byte, 0, len(host)+1+len(prefix))
	key = append(key, host...)
	key = append(key, keySeparator)
	return append(key, prefix...)
}

// newRouteIndex returns an index of routes. A route with the host and prefix of an earlier one is rejected at
// its node.
func newRouteIndex(routes []*Route, nodes []jsondoc.Node) routeIndex {
	txn := iradix.New[*Route]().Txn()
	for i, route := range routes {
		insertRoute(txn, route, nodes[i])
	}
	return routeIndex{txn.Commit()}
}

// insertRoute inserts a route, or rejects it at its node if another route has the same host and prefix.
func insertRoute(txn *iradix.Txn[*Route], route *Route, node jsondoc.Node) {
	key := routeKey(route.Host, route.Prefix)
	if other, exists := txn.Get(key); exists {
		node.Reject("has the host and prefix of route "+other.Name, "give each route its own host and prefix")
		return
	}
	txn.Insert(key, route)
}

// deleteRoute deletes a route from the index; a nil route is ignored.
func deleteRoute(txn *iradix.Txn[*Route], route *Route) {
	if route != nil {
		txn.Delete(routeKey(route.Host, route.Prefix))
	}
}

// match returns the route of a host with the longest matching prefix of a path, or nil if there is none. The
// host is normalized only if it does not match as given, to avoid allocating a second string in the usual
// case.
func (x routeIndex) match(host, path string) *Route {
	if x.tree == nil {
		return nil
	}
	if route := x.longestPrefix(host, path); route != nil {
		return route
	}
	if normalized := normalizeHost(host); normalized != host {
		return x.longestPrefix(normalized, path)
	}
	return nil
}

// longestPrefix returns the route of a normalized host with the longest matching prefix of a path, or nil if
// there is none.
func (x routeIndex) longestPrefix(host, path string) *Route {
	_, route, _ := x.tree.Root().LongestPrefix(routeKey(host, path))
	return route
}

// normalizeHost returns a host without its port, in lower case.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
