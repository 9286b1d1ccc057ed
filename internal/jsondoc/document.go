// Package jsondoc reads values from a JSON document by their path and records each fault that it finds, so
// that all faults of a document can be reported at once.
//
// Parse decodes a document; the methods of Node read its values:
//
//	document, err := jsondoc.Parse(raw)
//	...
//	timeout := document.Root().Get("timeout_ms").Number(1)
//	return document.Err()
//
// A method that finds a value of the wrong type, or none where one is required, records a Problem and returns
// a zero value or a fallback, so that the caller can go on reading. Document.Err then returns a
// *ValidationError.
//
// A Document and its Nodes are not safe for concurrent use.
package jsondoc

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// Document is a decoded JSON document with the faults found in it so far.
type Document struct {
	root       any
	valueCount int
	problems   []Problem
}

// Parse decodes a document that consists of one object. Its error is a *ValidationError. It rejects text
// after the object and objects that name a field twice, because two readers could interpret such a document
// differently, and documents with more than MaxValues values or too many levels of nesting, because decoding
// them could take more memory than the process has.
func Parse(raw []byte) (*Document, error) {
	root, valueCount, err := decode(raw)
	if err != nil {
		return nil, &ValidationError{[]Problem{{"document", err.Error(), "send one whole JSON object"}}}
	}
	return &Document{root: root, valueCount: valueCount}, nil
}

// Root returns the top-level object.
func (d *Document) Root() Node { return Node{document: d, value: d.root, present: true} }

// ValueCount returns how many values the document has, objects and lists included.
func (d *Document) ValueCount() int { return d.valueCount }

// Err returns a *ValidationError with all faults recorded so far, nil if there are none.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return &ValidationError{d.problems}
}

// Node is a value of a document, or a path at which the document has no value. A null counts as absent.
type Node struct {
	document *Document
	value    any
	path     string
	present  bool
}

// Path returns the path of the value, for example routes[2].timeout_ms; empty for the root.
func (n Node) Path() string { return n.path }

// Present reports whether the document has the value.
func (n Node) Present() bool { return n.present && n.value != nil }

// Reject records a fault of the value.
func (n Node) Reject(reason, remedy string) {
	n.document.problems = append(n.document.problems, Problem{n.path, reason, remedy})
}

// Get returns a field of an object. The field is absent if the object is absent or the value is not an
// object.
func (n Node) Get(name string) Node {
	path := name
	if n.path != "" {
		path = n.path + "." + name
	}
	child := Node{document: n.document, path: path}
	if object, ok := n.value.(map[string]any); ok {
		child.value, child.present = object[name]
	}
	return child
}

// FieldNames returns the sorted names of an object's fields, none if the object is absent.
func (n Node) FieldNames() []string {
	if !n.Present() {
		return nil
	}
	object, ok := n.value.(map[string]any)
	if !ok {
		n.Reject("is not an object", "give an object")
		return nil
	}
	return slices.Sorted(maps.Keys(object))
}

// Items returns the elements of a list, none if the list is absent.
func (n Node) Items() []Node {
	if !n.Present() {
		return nil
	}
	list, ok := n.value.([]any)
	if !ok {
		n.Reject("is not a list", "give a list")
		return nil
	}
	items := make([]Node, len(list))
	for i, value := range list {
		path := fmt.Sprintf("%s[%d]", n.path, i)
		items[i] = Node{document: n.document, value: value, path: path, present: true}
	}
	return items
}

// TextFields returns the fields of an object that are strings, by name. It records no faults: it ignores
// fields of other types, and returns no fields if the value is absent or not an object.
func (n Node) TextFields() map[string]string {
	fields := map[string]string{}
	object, _ := n.value.(map[string]any)
	for name, value := range object {
		if text, ok := value.(string); ok {
			fields[name] = text
		}
	}
	return fields
}

// Text returns a required string that is not empty.
func (n Node) Text() string {
	text := n.TextOr("")
	if text == "" && (!n.Present() || n.value == "") {
		n.Reject("is missing", "give a text")
	}
	return text
}

// TextOr returns a string, or the fallback if the value is absent.
func (n Node) TextOr(fallback string) string {
	if !n.Present() {
		return fallback
	}
	text, ok := n.value.(string)
	if !ok {
		n.Reject("is not a text", "give a text in quotes")
	}
	return text
}

// Number returns a required, finite number that is not below the minimum.
func (n Node) Number(minimum float64) float64 {
	if !n.Present() {
		n.Reject("is missing", fmt.Sprintf("give a number of %g or more", minimum))
		return 0
	}
	return n.NumberOr(0, minimum)
}

// NumberOr returns a finite number that is not below the minimum, or the fallback. It records a fault
// if the value is present but not such a number.
func (n Node) NumberOr(fallback, minimum float64) float64 {
	if !n.Present() {
		return fallback
	}
	number, ok := n.value.(float64)
	if !ok || math.IsNaN(number) || math.IsInf(number, 0) || number < minimum {
		n.Reject("is not a valid number", fmt.Sprintf("give a number of %g or more", minimum))
		return fallback
	}
	return number
}

// Bool returns a boolean, or false if the value is absent.
func (n Node) Bool() bool {
	if !n.Present() {
		return false
	}
	value, ok := n.value.(bool)
	if !ok {
		n.Reject("is not a boolean", "give true or false")
	}
	return value
}
