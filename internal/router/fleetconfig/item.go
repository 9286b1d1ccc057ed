package fleetconfig

import (
	"encoding/json"

	"cresshub/internal/jsondoc"
)

// item is a route or a service as written in a document or a patch.
type item struct {
	text  json.RawMessage
	name  string // empty if the item has none
	route *Route // the parsed route; nil if the item is a service
}

// parseItems returns the items of a list that package jsondoc has accepted; there are none in a null.
func parseItems(list []byte) []item {
	var texts []json.RawMessage
	_ = json.Unmarshal(list, &texts) // a value that is not a list has no items, as in package jsondoc
	items := make([]item, len(texts))
	for i, text := range texts {
		items[i] = item{text: text, name: parseItemName(text)}
	}
	return items
}

// parseItemName returns the name of an item, empty if it has none.
func parseItemName(text json.RawMessage) string {
	var name string
	_ = json.Unmarshal(fieldText(text, nameField), &name) // a name that is not a string counts as none
	return name
}

// valueCount returns the number of JSON values in the item, as package jsondoc counts them.
func (i *item) valueCount() int {
	document, err := jsondoc.Parse(i.text)
	if err != nil {
		return 0
	}
	return document.ValueCount()
}
