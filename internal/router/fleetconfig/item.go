package fleetconfig

import (
	"encoding/json"

	"cresshub/internal/jsondoc"
)

// item is a route or a service as it stands in a document or a patch.
type item struct {
	text  json.RawMessage
	name  string // empty if it has none
	route *Route // of a route
}

// parseItems returns the items of a list that package jsondoc has accepted, none for a null.
func parseItems(list []byte) []item {
	var texts []json.RawMessage
	_ = json.Unmarshal(list, &texts) // what is not a list has no items, as for package jsondoc
	items := make([]item, len(texts))
	for i, text := range texts {
		items[i] = item{text: text, name: parseItemName(text)}
	}
	return items
}

// parseItemName returns the name of an item, empty if it has none.
func parseItemName(text json.RawMessage) string {
	var name string
	_ = json.Unmarshal(fieldText(text, nameField), &name) // a name that is not a string names nothing
	return name
}

// valueCount returns how many JSON values the item holds, as package jsondoc counts them.
func (i *item) valueCount() int {
	document, err := jsondoc.Parse(i.text)
	if err != nil {
		return 0
	}
	return document.ValueCount()
}
