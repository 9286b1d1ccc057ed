package fleetconfig

import (
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"cresshub/internal/jsondoc"
)

// placeIndex finds the route of a host and path. It is immutable: a patch makes another one that shares all
// that it doesn't change, so that its cost doesn't grow with the configuration.
type placeIndex struct{ tree *iradix.Tree[*Route] }

// placeKey is the key of a route's host and prefix. No host holds the separator, so that a key is the
// beginning of another one only within a host.
func placeKey(host, prefix string) []byte {
	key := make([]byte, 0, len(host)+1+len(prefix))
	key = append(key, host...)
	key = append(key, 0)
	return append(key, prefix...)
}

// indexPlaces puts routes into an index and rejects, at its node, a route at the place of another one.
func indexPlaces(routes []*Route, nodes []jsondoc.Node) placeIndex {
	change := placeIndex{iradix.New[*Route]()}.tree.Txn()
	for i, route := range routes {
		insertPlace(change, route, nodes[i])
	}
	return placeIndex{change.Commit()}
}

// insertPlace adds a route, unless another one stands at its place.
func insertPlace(change *iradix.Txn[*Route], route *Route, node jsondoc.Node) {
	key := placeKey(route.Host, route.Prefix)
	if other, taken := change.Get(key); taken {
		node.Reject("has the host and prefix of route "+other.Name, "give each route a place of its own")
		return
	}
	change.Insert(key, route)
}

// match returns the route with the longest prefix of a path, nil where there is none.
func (p placeIndex) match(host, path string) *Route {
	if p.tree == nil {
		return nil
	}
	if route := p.longest(host, path); route != nil {
		return route
	}
	if normal := normalHost(host); normal != host {
		return p.longest(normal, path)
	}
	return nil
}

func (p placeIndex) longest(host, path string) *Route {
	_, route, _ := p.tree.Root().LongestPrefix(placeKey(host, path))
	return route
}

// normalHost returns a host without its port, in small letters.
func normalHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	return strings.ToLower(host)
}
