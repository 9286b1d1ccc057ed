package jsondoc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// The bounds of a document. Decoding takes a stack frame for each level and some hundred bytes for each
// value, whatever the sender sends, so that without them one call could end a process.
const (
	maxDepth  = 64
	maxValues = 400_000 // a configuration of 30,000 routes
)

// decoder decodes one document.
type decoder struct {
	tokens     *json.Decoder
	depth      int
	valueCount int
}

// decode returns the top of a document, and how many values it holds.
func decode(raw []byte) (map[string]any, int, error) {
	d := &decoder{tokens: json.NewDecoder(bytes.NewReader(raw))}
	root, err := d.decodeValue("")
	if err != nil {
		return nil, 0, err
	}
	if _, trailing := d.tokens.Token(); trailing != io.EOF {
		return nil, 0, errors.New("text follows the end of the document")
	}
	object, ok := root.(map[string]any)
	if !ok {
		return nil, 0, errors.New("the document is not an object")
	}
	return object, d.valueCount, nil
}

func (d *decoder) decodeValue(path string) (any, error) {
	token, err := d.tokens.Token()
	if err != nil {
		return nil, unexpectedEnd(err)
	}
	if d.valueCount++; d.valueCount > maxValues {
		return nil, fmt.Errorf("it holds more than %d values", maxValues)
	}
	opening, ok := token.(json.Delim)
	if !ok {
		return token, nil
	}
	if d.depth++; d.depth > maxDepth {
		return nil, fmt.Errorf("it is nested more than %d levels deep", maxDepth)
	}
	defer func() { d.depth-- }()
	if opening == '{' {
		return d.decodeObject(path)
	}
	return d.decodeList(path)
}

func (d *decoder) decodeList(path string) (any, error) {
	list := []any{}
	for d.tokens.More() {
		value, err := d.decodeValue(path)
		if err != nil {
			return nil, err
		}
		list = append(list, value)
	}
	_, err := d.tokens.Token()
	return list, unexpectedEnd(err)
}

func (d *decoder) decodeObject(path string) (any, error) {
	object := map[string]any{}
	for d.tokens.More() {
		token, err := d.tokens.Token()
		if err != nil {
			return nil, unexpectedEnd(err)
		}
		name := token.(string)
		if _, duplicate := object[name]; duplicate {
			return nil, fmt.Errorf("the field %q stands twice in one object", path+name)
		}
		if object[name], err = d.decodeValue(path + name + "."); err != nil {
			return nil, err
		}
	}
	_, err := d.tokens.Token()
	return object, unexpectedEnd(err)
}

func unexpectedEnd(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
