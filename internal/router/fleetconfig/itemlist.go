package fleetconfig

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// item is a route or a service of a document.
type item struct {
	text  json.RawMessage
	name  string // empty if it has none
	route *Route // of a route
}

// itemList is an immutable list of items in their order, of which those with a name can be found by it.
type itemList struct {
	byPosition   *iradix.Tree[item]   // by positionKey
	positions    *iradix.Tree[uint64] // by name; ambiguousPosition for a name of several items
	nextPosition uint64               // of the next item that is appended
}

// ambiguousPosition marks a name that several items have.
const ambiguousPosition = ^uint64(0)

// positionKey sorts like the positions themselves.
func positionKey(position uint64) []byte { return binary.BigEndian.AppendUint64(nil, position) }

// newItemList returns a list of items in the given order.
func newItemList(items []item) itemList {
	byPosition, positions := iradix.New[item]().Txn(), iradix.New[uint64]().Txn()
	for i, entry := range items {
		byPosition.Insert(positionKey(uint64(i)), entry)
		if entry.name == "" {
			continue
		}
		if _, duplicate := positions.Insert([]byte(entry.name), uint64(i)); duplicate {
			positions.Insert([]byte(entry.name), ambiguousPosition)
		}
	}
	return itemList{byPosition.Commit(), positions.Commit(), uint64(len(items))}
}

// routesInOrder returns the routes of a list of routes.
func (l *itemList) routesInOrder() []*Route {
	routes := make([]*Route, 0, l.byPosition.Len())
	for iterator := l.byPosition.Root().Iterator(); ; {
		_, entry, more := iterator.Next()
		if !more {
			return routes
		}
		routes = append(routes, entry.route)
	}
}

// render writes the list as JSON.
func (l *itemList) render(out *bytes.Buffer) {
	out.WriteByte('[')
	iterator := l.byPosition.Root().Iterator()
	for i := 0; ; i++ {
		_, entry, more := iterator.Next()
		if !more {
			break
		}
		if i > 0 {
			out.WriteByte(',')
		}
		out.Write(entry.text)
	}
	out.WriteByte(']')
}

// itemListTxn collects changes of a list, which stays as it is. It is used by one goroutine.
type itemListTxn struct {
	byPosition   *iradix.Txn[item]
	positions    *iradix.Txn[uint64]
	nextPosition uint64
}

// txn begins a change of the list.
func (l *itemList) txn() *itemListTxn {
	return &itemListTxn{l.byPosition.Txn(), l.positions.Txn(), l.nextPosition}
}

// commit returns the changed list.
func (t *itemListTxn) commit() itemList {
	return itemList{t.byPosition.Commit(), t.positions.Commit(), t.nextPosition}
}

// Why find returns no item.
var (
	errNoItem        = errors.New("no item has this name")
	errAmbiguousName = errors.New("several items have this name")
)

// find returns the item of a name. Its error is errNoItem or errAmbiguousName.
func (t *itemListTxn) find(name string) (item, error) {
	position, exists := t.positions.Get([]byte(name))
	switch {
	case !exists:
		return item{}, errNoItem
	case position == ambiguousPosition:
		return item{}, errAmbiguousName
	}
	entry, exists := t.byPosition.Get(positionKey(position))
	if !exists {
		return item{}, errNoItem
	}
	return entry, nil
}

// put replaces the item of the entry's name at its position, or appends the entry.
func (t *itemListTxn) put(entry item) {
	position, exists := t.positions.Get([]byte(entry.name))
	if !exists {
		position = t.nextPosition
		t.nextPosition++
		t.positions.Insert([]byte(entry.name), position)
	}
	t.byPosition.Insert(positionKey(position), entry)
}

// remove removes the item of a name, if there is one.
func (t *itemListTxn) remove(name string) {
	if position, exists := t.positions.Delete([]byte(name)); exists {
		t.byPosition.Delete(positionKey(position))
	}
}
