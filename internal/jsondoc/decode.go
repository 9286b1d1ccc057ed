package jsondoc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Bounds of a document. Decoding takes a stack frame for each level of nesting and some hundred bytes for
// each value, so without bounds one small request could exhaust the memory of the process.
const (
	// MaxValues is how many values a document may have, objects and lists included. It admits a configuration
	// with 30,000 routes.
	MaxValues = 400_000
	maxDepth  = 64 // levels of nested objects and lists
)

// decoder decodes one document into map[string]any, []any and the scalar types of encoding/json.
type decoder struct {
	tokens     *json.Decoder
	depth      int
	valueCount int
}

// decode returns the top-level object of a document, and how many values the document has.
func decode(raw []byte) (map[string]any, int, error) {
	d := &decoder{tokens: json.NewDecoder(bytes.NewReader(raw))}
	root, err := d.decodeValue("")
	if err != nil {
		return nil, 0, err
	}
	if _, trailing := d.tokens.Token(); !errors.Is(trailing, io.EOF) {
		return nil, 0, errors.New("text follows the end of the document")
	}
	object, ok := root.(map[string]any)
	if !ok {
		return nil, 0, errors.New("the document is not an object")
	}
	return object, d.valueCount, nil
}

// decodeValue decodes the next value. Errors name its fields by path, which ends with a dot unless it is
// empty.
func (d *decoder) decodeValue(path string) (any, error) {
	token, err := d.tokens.Token()
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	if d.valueCount++; d.valueCount > MaxValues {
		return nil, fmt.Errorf("it holds more than %d values", MaxValues)
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
	return list, unexpectedEOF(err)
}

func (d *decoder) decodeObject(path string) (any, error) {
	object := map[string]any{}
	for d.tokens.More() {
		token, err := d.tokens.Token()
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		name := token.(string)
		if _, duplicate := object[name]; duplicate {
			return nil, fmt.Errorf("the field %q occurs twice in one object", path+name)
		}
		if object[name], err = d.decodeValue(path + name + "."); err != nil {
			return nil, err
		}
	}
	_, err := d.tokens.Token()
	return object, unexpectedEOF(err)
}

// unexpectedEOF replaces io.EOF, which json.Decoder.Token returns also where the input ends inside a value,
// with io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
