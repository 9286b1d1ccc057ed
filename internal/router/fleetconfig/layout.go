package fleetconfig

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"strconv"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// The fields of a document that a patch alters.
const (
	versionField = "edition"
	routesList   = "routes"
	servicesList = "depots_list"
)

// layout is a document cut into the items that patches name. It is immutable; a patched one shares what it
// doesn't change.
type layout struct {
	// fields are the document's fields in their order. Those of version and lists hold no text.
	fields           []field
	routes, services itemList
	// added is how many fields the document lacked.
	added int
}

// field is a field of a document's top as it was sent.
type field struct {
	name string
	text json.RawMessage
}

// itemList is a list of items that may have names.
type itemList struct {
	items *iradix.Tree[item]   // by place: 8 bytes that rise
	names *iradix.Tree[uint64] // place of an item by its name; ambiguous where two have it
	next  uint64               // place of the next item that is appended
}

// item is a route or a service.
type item struct {
	text  json.RawMessage
	name  string // empty where it has none
	route *Route // of a route
}

// ambiguous stands for the place of a name that two items have.
const ambiguous = ^uint64(0)

func placeOfItem(number uint64) []byte { return binary.BigEndian.AppendUint64(nil, number) }

// newItemList makes a list of items in their order.
func newItemList(all []item) itemList {
	items, names := iradix.New[item]().Txn(), iradix.New[uint64]().Txn()
	for i, one := range all {
		items.Insert(placeOfItem(uint64(i)), one)
		if one.name == "" {
			continue
		}
		if _, twice := names.Insert([]byte(one.name), uint64(i)); twice {
			names.Insert([]byte(one.name), ambiguous)
		}
	}
	return itemList{items.Commit(), names.Commit(), uint64(len(all))}
}

// routesInOrder returns the routes of a list.
func (l *itemList) routesInOrder() []*Route {
	routes := make([]*Route, 0, l.items.Len())
	for each := l.items.Root().Iterator(); ; {
		_, one, more := each.Next()
		if !more {
			return routes
		}
		routes = append(routes, one.route)
	}
}

// itemChange is a change of a list that is being made.
type itemChange struct {
	items *iradix.Txn[item]
	names *iradix.Txn[uint64]
	next  uint64
}

func (l *itemList) change() *itemChange { return &itemChange{l.items.Txn(), l.names.Txn(), l.next} }

func (c *itemChange) commit() itemList { return itemList{c.items.Commit(), c.names.Commit(), c.next} }

// find returns the item of a name. Several have it where one is false.
func (c *itemChange) find(name string) (found item, exists, one bool) {
	number, exists := c.names.Get([]byte(name))
	if !exists || number == ambiguous {
		return item{}, exists, number != ambiguous
	}
	found, exists = c.items.Get(placeOfItem(number))
	return found, exists, true
}

// put replaces the item of that name in its place, or appends a new one.
func (c *itemChange) put(one item) {
	number, exists := c.names.Get([]byte(one.name))
	if !exists {
		number = c.next
		c.next++
		c.names.Insert([]byte(one.name), number)
	}
	c.items.Insert(placeOfItem(number), one)
}

// remove takes the item of a name away.
func (c *itemChange) remove(name string) {
	if number, exists := c.names.Delete([]byte(name)); exists {
		c.items.Delete(placeOfItem(number))
	}
}

// cut returns the layout of the document, made at its first use.
func (c *Config) cut() *layout {
	c.layoutOnce.Do(func() {
		if c.layout == nil {
			c.layout = cutDocument(c.raw, c.parsed)
		}
	})
	return c.layout
}

// cutDocument cuts a document that was read before, with its routes in their order.
func cutDocument(raw []byte, routes []*Route) *layout {
	l := &layout{}
	var routeItems, serviceItems []item
	for _, one := range cutObject(raw) {
		switch one.name {
		case routesList:
			for i, text := range cutList(one.text) {
				routeItems = append(routeItems, item{text, nameOf(text), routes[i]})
			}
			one.text = nil
		case servicesList:
			for _, text := range cutList(one.text) {
				serviceItems = append(serviceItems, item{text: text, name: nameOf(text)})
			}
			one.text = nil
		case versionField:
			one.text = nil
		}
		l.fields = append(l.fields, one)
	}
	l.routes, l.services = newItemList(routeItems), newItemList(serviceItems)
	l.complete()
	return l
}

// complete adds the fields of the lists where the document has none.
func (l *layout) complete() {
	has := map[string]bool{}
	for _, one := range l.fields {
		has[one.name] = true
	}
	for _, name := range []string{routesList, servicesList} {
		if !has[name] {
			l.fields = append(l.fields, field{name: name})
			l.added++
		}
	}
}

// cutObject returns the fields of an object that the path reader has read, and nil for a null.
func cutObject(raw []byte) []field {
	var fields []field
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if opening, err := decoder.Token(); err != nil || opening != json.Delim('{') {
		return nil
	}
	for decoder.More() {
		name, err := decoder.Token()
		one := field{}
		if one.name, _ = name.(string); err != nil || decoder.Decode(&one.text) != nil {
			return fields
		}
		fields = append(fields, one)
	}
	return fields
}

// cutList returns the items of a list that the path reader has read, none for a null.
func cutList(raw []byte) []json.RawMessage {
	var items []json.RawMessage
	_ = json.Unmarshal(raw, &items) // what is no list has no items, as for the path reader
	return items
}

// nameOf returns the name of an item, empty where it has none.
func nameOf(text json.RawMessage) string {
	var name string
	for _, one := range cutObject(text) {
		if one.name == "name" {
			_ = json.Unmarshal(one.text, &name)
		}
	}
	return name
}

// render makes the document of a version. The same layout gives the same bytes everywhere.
func (l *layout) render(version int64) []byte {
	var b bytes.Buffer
	b.WriteByte('{')
	for i, one := range l.fields {
		if i > 0 {
			b.WriteByte(',')
		}
		name, _ := json.Marshal(one.name) // a text can always be encoded
		b.Write(name)
		b.WriteByte(':')
		switch one.name {
		case versionField:
			b.WriteString(strconv.FormatInt(version, 10))
		case routesList:
			l.routes.render(&b)
		case servicesList:
			l.services.render(&b)
		default:
			b.Write(one.text)
		}
	}
	b.WriteByte('}')
	return b.Bytes()
}

// render writes a list's items in their order.
func (l *itemList) render(b *bytes.Buffer) {
	b.WriteByte('[')
	each := l.items.Root().Iterator()
	for i := 0; ; i++ {
		_, one, more := each.Next()
		if !more {
			break
		}
		if i > 0 {
			b.WriteByte(',')
		}
		b.Write(one.text)
	}
	b.WriteByte(']')
}
