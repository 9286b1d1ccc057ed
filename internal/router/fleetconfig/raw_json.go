package fleetconfig

import (
	"bytes"
	"encoding/json"
)

// field is a field of an object as it was sent.
type field struct {
	name string
	text json.RawMessage
}

// objectFields returns the fields of an object that package jsondoc has accepted, in their order; nil for a
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
		name, _ := token.(string) // as all names of fields are
		var text json.RawMessage
		if decoder.Decode(&text) != nil {
			return fields
		}
		fields = append(fields, field{name: name, text: text})
	}
	return fields
}

// fieldText returns the value of an object's field, nil if it has none of that name.
func fieldText(object []byte, name string) json.RawMessage {
	for _, candidate := range objectFields(object) {
		if candidate.name == name {
			return candidate.text
		}
	}
	return nil
}
