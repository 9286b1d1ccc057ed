package fleetconfig

import (
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"cresshub/internal/jsondoc"
)

// routeIndex finds the route of a host and path. It is immutable: a patch makes another one that shares all
// that it doesn't change, so that its cost doesn't grow with the configuration.
type routeIndex struct{ tree *iradix.Tree[*Route] }

// routeKey is the key of a route's host and prefix. No host holds the separator, so that a key is the
// beginning of another one only within a host.
func routeKey(host, prefix string) []byte {
	key := make([]byte, 0, len(host)+1+len(prefix))
	key = append(key, host...)
	key = append(key, 0)
	return append(key, prefix...)
}

// newRouteIndex puts routes into an index and rejects, at its node, a route at the place of another one.
func newRouteIndex(routes []*Route, nodes []jsondoc.Node) routeIndex {
	txn := routeIndex{iradix.New[*Route]()}.tree.Txn()
	for i, route := range routes {
		insertRoute(txn, route, nodes[i])
	}
	return routeIndex{txn.Commit()}
}

// insertRoute adds a route, unless another one stands at its place.
func insertRoute(txn *iradix.Txn[*Route], route *Route, node jsondoc.Node) {
	key := routeKey(route.Host, route.Prefix)
	if other, exists := txn.Get(key); exists {
		node.Reject("has the host and prefix of route "+other.Name, "give each route a place of its own")
		return
	}
	txn.Insert(key, route)
}

// match returns the route with the longest prefix of a path, nil where there is none.
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

func (x routeIndex) longestPrefix(host, path string) *Route {
	_, route, _ := x.tree.Root().LongestPrefix(routeKey(host, path))
	return route
}

// normalizeHost returns a host without its port, in small letters.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
