package fleetconfig

import (
	"bytes"
	"encoding/binary"
	"iter"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// itemList is an immutable, ordered list of items. Items that have a name can be looked up by it.
type itemList struct {
	byPosition   *iradix.Tree[item]   // by positionKey
	positions    *iradix.Tree[uint64] // by name; ambiguousPosition for a name of several items
	nextPosition uint64               // position of the next item to be appended
}

// ambiguousPosition is the position of a name that several items have.
const ambiguousPosition = ^uint64(0)

// positionKey returns the radix tree key of a position. Keys sort in the order of their positions.
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
	return itemList{
		byPosition: byPosition.Commit(), positions: positions.Commit(), nextPosition: uint64(len(items)),
	}
}

// len returns the number of items.
func (l *itemList) len() int { return l.byPosition.Len() }

// all yields the items in their order.
func (l *itemList) all() iter.Seq[item] {
	return func(yield func(item) bool) {
		iterator := l.byPosition.Root().Iterator()
		for _, entry, more := iterator.Next(); more; _, entry, more = iterator.Next() {
			if !yield(entry) {
				return
			}
		}
	}
}

// routesInOrder returns the routes of a list of routes.
func (l *itemList) routesInOrder() []*Route {
	routes := make([]*Route, 0, l.len())
	for entry := range l.all() {
		routes = append(routes, entry.route)
	}
	return routes
}

// render writes the list as a JSON array.
func (l *itemList) render(out *bytes.Buffer) {
	out.WriteByte('[')
	separator := ""
	for entry := range l.all() {
		out.WriteString(separator)
		out.Write(entry.text)
		separator = ","
	}
	out.WriteByte(']')
}

// itemListTxn collects changes of a list, which itself stays unchanged. It must be used by one goroutine
// only.
type itemListTxn struct {
	byPosition   *iradix.Txn[item]
	positions    *iradix.Txn[uint64]
	nextPosition uint64
	addedValues  int // JSON values in the items that were put, minus those in replaced and removed items
}

// txn starts a transaction on the list.
func (l *itemList) txn() *itemListTxn {
	return &itemListTxn{
		byPosition: l.byPosition.Txn(), positions: l.positions.Txn(), nextPosition: l.nextPosition,
	}
}

// commit returns the changed list.
func (t *itemListTxn) commit() itemList {
	return itemList{
		byPosition: t.byPosition.Commit(), positions: t.positions.Commit(), nextPosition: t.nextPosition,
	}
}

// isAmbiguous reports whether several items have a name.
func (t *itemListTxn) isAmbiguous(name string) bool {
	position, exists := t.positions.Get([]byte(name))
	return exists && position == ambiguousPosition
}

// find returns the item with a name, or the zero item if none or several have it.
func (t *itemListTxn) find(name string) item {
	position, exists := t.positions.Get([]byte(name))
	if !exists {
		return item{}
	}
	entry, _ := t.byPosition.Get(positionKey(position)) // no item is at ambiguousPosition
	return entry
}

// put replaces the item that has the entry's name, keeping its position, or appends the entry if there is
// none.
func (t *itemListTxn) put(entry item) {
	position, exists := t.positions.Get([]byte(entry.name))
	if !exists {
		position = t.nextPosition
		t.nextPosition++
		t.positions.Insert([]byte(entry.name), position)
	}
	replaced, _ := t.byPosition.Insert(positionKey(position), entry)
	t.addedValues += entry.valueCount() - replaced.valueCount()
}

// remove removes the item with a name, if there is one.
func (t *itemListTxn) remove(name string) {
	if position, exists := t.positions.Delete([]byte(name)); exists {
		removed, _ := t.byPosition.Delete(positionKey(position))
		t.addedValues -= removed.valueCount()
	}
}
