package fleetconfig

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// layout is a document split into the items that patches name, so that a patched document keeps what the
// operator wrote. It is immutable; the layout of a patched version shares what the patch leaves.
type layout struct {
	// fields are the top-level fields in their order. Those of the version and of the lists have no text.
	fields           []field
	routes, services itemList
	// addedFields is how many list fields the document lacked.
	addedFields int
}

// field is a field of an object as it was sent.
type field struct {
	name string
	text json.RawMessage
}

// splitDocument splits a document that Parse has accepted, given its routes in their order.
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

// addMissingLists adds an empty field for each list that the document lacks.
func (l *layout) addMissingLists() {
	present := map[string]bool{}
	for _, entry := range l.fields {
		present[entry.name] = true
	}
	for _, name := range []string{routesField, servicesField} {
		if !present[name] {
			l.fields = append(l.fields, field{name: name})
			l.addedFields++
		}
	}
}

// render returns the document of a version. Equal layouts render the same bytes in every process.
func (l *layout) render(version int64) []byte {
	var out bytes.Buffer
	out.WriteByte('{')
	for i, entry := range l.fields {
		if i > 0 {
			out.WriteByte(',')
		}
		name, _ := json.Marshal(entry.name) // a string always encodes
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

// objectFields returns the fields of an object that package jsondoc has accepted, nil for a null.
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

// listItems returns the items of a list that package jsondoc has accepted, nil for a null.
func listItems(raw []byte) []json.RawMessage {
	var items []json.RawMessage
	_ = json.Unmarshal(raw, &items) // what is not a list has no items, as for package jsondoc
	return items
}

// nameOf returns the name of an item, empty if it has none.
func nameOf(text json.RawMessage) string {
	var name string
	for _, entry := range objectFields(text) {
		if entry.name == "name" {
			_ = json.Unmarshal(entry.text, &name) // a name that is not a string names nothing
		}
	}
	return name
}
