package fleetconfig

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
)

// layout is a document split into the items that patches can name, so that a patched document keeps the rest
// as the operator wrote it. It is immutable; the layout of a patched version shares the parts that the patch
// does not change.
type layout struct {
	// fields holds the top-level fields in document order. The fields of the version and of the two lists have
	// no text: render writes the version that it is given, and the lists from routes and services.
	fields           []field
	routes, services itemList
	// addedFields is the number of list fields that were added because the document lacked them.
	addedFields int
}

// splitDocument splits a document that Parse has accepted. routes are its parsed routes in document order.
func splitDocument(raw []byte, routes []*Route) *layout {
	l := &layout{fields: objectFields(raw)}
	var routeItems, serviceItems []item
	for i := range l.fields {
		part := &l.fields[i]
		switch part.name {
		case routesField:
			routeItems = parseItems(part.text)
		case servicesField:
			serviceItems = parseItems(part.text)
		case versionField:
		default:
			continue
		}
		part.text = nil
	}
	for i := range routeItems {
		routeItems[i].route = routes[i]
	}
	l.routes, l.services = newItemList(routeItems), newItemList(serviceItems)
	l.addMissingLists()
	return l
}

// addMissingLists adds an empty field for each list that the document lacks.
func (l *layout) addMissingLists() {
	for _, name := range []string{routesField, servicesField} {
		hasName := func(present field) bool { return present.name == name }
		if !slices.ContainsFunc(l.fields, hasName) {
			l.fields = append(l.fields, field{name: name})
			l.addedFields++
		}
	}
}

// render returns the document with the given version. Equal layouts render the same bytes in every process.
func (l *layout) render(version int64) []byte {
	var out bytes.Buffer
	out.WriteByte('{')
	for i, part := range l.fields {
		if i > 0 {
			out.WriteByte(',')
		}
		name, _ := json.Marshal(part.name) // encoding a string cannot fail
		out.Write(name)
		out.WriteByte(':')
		switch part.name {
		case versionField:
			out.WriteString(strconv.FormatInt(version, 10))
		case routesField:
			l.routes.render(&out)
		case servicesField:
			l.services.render(&out)
		default:
			out.Write(part.text)
		}
	}
	out.WriteByte('}')
	return out.Bytes()
}
