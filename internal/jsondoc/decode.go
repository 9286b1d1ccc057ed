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
	mostDepth  = 64
	mostValues = 400_000 // a configuration of 30,000 routes
)

// decoder decodes one document.
type decoder struct {
	tokens *json.Decoder
	depth  int
	values int
}

// decode returns the top of a document, and how many values it holds.
func decode(raw []byte) (map[string]any, int, error) {
	d := &decoder{tokens: json.NewDecoder(bytes.NewReader(raw))}
	root, err := d.value("")
	if err != nil {
		return nil, 0, err
	}
	if _, extra := d.tokens.Token(); extra != io.EOF {
		return nil, 0, errors.New("text follows the end of the document")
	}
	object, ok := root.(map[string]any)
	if !ok {
		return nil, 0, errors.New("the document is not an object")
	}
	return object, d.values, nil
}

func (d *decoder) value(path string) (any, error) {
	token, err := d.tokens.Token()
	if err != nil {
		return nil, unexpectedEnd(err)
	}
	if d.values++; d.values > mostValues {
		return nil, fmt.Errorf("it holds more than %d values", mostValues)
	}
	opening, ok := token.(json.Delim)
	if !ok {
		return token, nil
	}
	if d.depth++; d.depth > mostDepth {
		return nil, fmt.Errorf("it is nested more than %d levels deep", mostDepth)
	}
	defer func() { d.depth-- }()
	if opening == '{' {
		return d.object(path)
	}
	return d.list(path)
}

func (d *decoder) list(path string) (any, error) {
	list := []any{}
	for d.tokens.More() {
		value, err := d.value(path)
		if err != nil {
			return nil, err
		}
		list = append(list, value)
	}
	_, err := d.tokens.Token()
	return list, unexpectedEnd(err)
}

func (d *decoder) object(path string) (any, error) {
	object := map[string]any{}
	for d.tokens.More() {
		token, err := d.tokens.Token()
		if err != nil {
			return nil, unexpectedEnd(err)
		}
		name := token.(string)
		if _, twice := object[name]; twice {
			return nil, fmt.Errorf("the field %q stands twice in one object", path+name)
		}
		if object[name], err = d.value(path + name + "."); err != nil {
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
