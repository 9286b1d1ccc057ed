package fleetconfig

import (
	"bytes"
	"encoding/json"
)

// field is a field of a JSON object with its value as written.
type field struct {
	name string
	text json.RawMessage
}

// objectFields returns the fields, in their order, of an object that package jsondoc has accepted; nil for a
// null.
func objectFields(object []byte) []field {
	var fields []field
	decoder := json.NewDecoder(bytes.NewReader(object))
	if opening, err := decoder.Token(); err != nil || opening != json.Delim('{') {
		return nil
	}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return fields
		}
		name, _ := token.(string) // field names are always strings
		var text json.RawMessage
		if decoder.Decode(&text) != nil {
			return fields
		}
		fields = append(fields, field{name: name, text: text})
	}
	return fields
}

// fieldText returns the value of the field with a name, or nil if the object has no such field.
func fieldText(object []byte, name string) json.RawMessage {
	for _, candidate := range objectFields(object) {
		if candidate.name == name {
			return candidate.text
		}
	}
	return nil
}
