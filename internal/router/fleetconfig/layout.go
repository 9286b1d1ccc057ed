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
	versionField  = "edition"
	routesField   = "routes"
	servicesField = "depots_list"
)

// layout is a document cut into the items that patches name. It is immutable; a patched one shares what it
// doesn't change.
type layout struct {
	// fields are the document's fields in their order. Those of version and lists hold no text.
	fields           []field
	routes, services itemList
	// addedFields is how many fields the document lacked.
	addedFields int
}

// field is a field of a document's top as it was sent.
type field struct {
	name string
	text json.RawMessage
}

// itemList is a list of items that may have names.
type itemList struct {
	byPosition   *iradix.Tree[item]   // by place: 8 bytes that rise
	positions    *iradix.Tree[uint64] // place of an item by its name; ambiguous where two have it
	nextPosition uint64               // place of the next item that is appended
}

// item is a route or a service.
type item struct {
	text  json.RawMessage
	name  string // empty where it has none
	route *Route // of a route
}

// ambiguousPosition stands for the place of a name that two items have.
const ambiguousPosition = ^uint64(0)

func positionKey(position uint64) []byte { return binary.BigEndian.AppendUint64(nil, position) }

// newItemList makes a list of items in their order.
func newItemList(all []item) itemList {
	byPosition, positions := iradix.New[item]().Txn(), iradix.New[uint64]().Txn()
	for i, entry := range all {
		byPosition.Insert(positionKey(uint64(i)), entry)
		if entry.name == "" {
			continue
		}
		if _, duplicate := positions.Insert([]byte(entry.name), uint64(i)); duplicate {
			positions.Insert([]byte(entry.name), ambiguousPosition)
		}
	}
	return itemList{byPosition.Commit(), positions.Commit(), uint64(len(all))}
}

// routesInOrder returns the routes of a list.
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

// itemListTxn is a change of a list that is being made.
type itemListTxn struct {
	byPosition   *iradix.Txn[item]
	positions    *iradix.Txn[uint64]
	nextPosition uint64
}

func (l *itemList) txn() *itemListTxn {
	return &itemListTxn{l.byPosition.Txn(), l.positions.Txn(), l.nextPosition}
}

func (t *itemListTxn) commit() itemList {
	return itemList{t.byPosition.Commit(), t.positions.Commit(), t.nextPosition}
}

// find returns the item of a name. Several have it where one is false.
func (t *itemListTxn) find(name string) (found item, exists, unique bool) {
	position, exists := t.positions.Get([]byte(name))
	if !exists || position == ambiguousPosition {
		return item{}, exists, position != ambiguousPosition
	}
	found, exists = t.byPosition.Get(positionKey(position))
	return found, exists, true
}

// put replaces the item of that name in its place, or appends a new one.
func (t *itemListTxn) put(entry item) {
	position, exists := t.positions.Get([]byte(entry.name))
	if !exists {
		position = t.nextPosition
		t.nextPosition++
		t.positions.Insert([]byte(entry.name), position)
	}
	t.byPosition.Insert(positionKey(position), entry)
}

// remove takes the item of a name away.
func (t *itemListTxn) remove(name string) {
	if position, exists := t.positions.Delete([]byte(name)); exists {
		t.byPosition.Delete(positionKey(position))
	}
}

// splitLayout returns the layout of the document, made at its first use.
func (c *Config) splitLayout() *layout {
	c.layoutOnce.Do(func() {
		if c.layout == nil {
			c.layout = splitDocument(c.raw, c.parsedRoutes)
		}
	})
	return c.layout
}

// splitDocument cuts a document that was read before, with its routes in their order.
func splitDocument(raw []byte, routes []*Route) *layout {
	l := &layout{}
	var routeItems, serviceItems []item
	for _, entry := range objectFields(raw) {
		switch entry.name {
		case routesField:
			for i, text := range listItems(entry.text) {
				routeItems = append(routeItems, item{text, nameOf(text), routes[i]})
			}
			entry.text = nil
		case servicesField:
			for _, text := range listItems(entry.text) {
				serviceItems = append(serviceItems, item{text: text, name: nameOf(text)})
			}
			entry.text = nil
		case versionField:
			entry.text = nil
		}
		l.fields = append(l.fields, entry)
	}
	l.routes, l.services = newItemList(routeItems), newItemList(serviceItems)
	l.addMissingLists()
	return l
}

// addMissingLists adds the fields of the lists where the document has none.
func (l *layout) addMissingLists() {
	has := map[string]bool{}
	for _, entry := range l.fields {
		has[entry.name] = true
	}
	for _, name := range []string{routesField, servicesField} {
		if !has[name] {
			l.fields = append(l.fields, field{name: name})
			l.addedFields++
		}
	}
}

// objectFields returns the fields of an object that the path reader has read, and nil for a null.
func objectFields(raw []byte) []field {
	var fields []field
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if opening, err := decoder.Token(); err != nil || opening != json.Delim('{') {
		return nil
	}
	for decoder.More() {
		name, err := decoder.Token()
		entry := field{}
		if entry.name, _ = name.(string); err != nil || decoder.Decode(&entry.text) != nil {
			return fields
		}
		fields = append(fields, entry)
	}
	return fields
}

// listItems returns the items of a list that the path reader has read, none for a null.
func listItems(raw []byte) []json.RawMessage {
	var items []json.RawMessage
	_ = json.Unmarshal(raw, &items) // what is no list has no items, as for the path reader
	return items
}

// nameOf returns the name of an item, empty where it has none.
func nameOf(text json.RawMessage) string {
	var name string
	for _, entry := range objectFields(text) {
		if entry.name == "name" {
			_ = json.Unmarshal(entry.text, &name)
		}
	}
	return name
}

// render makes the document of a version. The same layout gives the same bytes everywhere.
func (l *layout) render(version int64) []byte {
	var out bytes.Buffer
	out.WriteByte('{')
	for i, entry := range l.fields {
		if i > 0 {
			out.WriteByte(',')
		}
		name, _ := json.Marshal(entry.name) // a text can always be encoded
		out.Write(name)
		out.WriteByte(':')
		switch entry.name {
		case versionField:
			out.WriteString(strconv.FormatInt(version, 10))
		case routesField:
			l.routes.render(&out)
		case servicesField:
			l.services.render(&out)
		default:
			out.Write(entry.text)
		}
	}
	out.WriteByte('}')
	return out.Bytes()
}

// render writes a list's items in their order.
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
