// Package jsondoc reads values out of decoded JSON by their path and collects every mistake it meets, so
// that a caller can report all mistakes of a document at once.
package jsondoc

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Problem is one mistake in a document.
type Problem struct {
	Field  string // the path of the value, for example routes[2].timeout_ms
	Reason string // what is wrong with it
	Remedy string // what would be accepted
}

func (p Problem) String() string { return p.Field + ": " + p.Reason + "; " + p.Remedy }

// ValidationError lists all mistakes of a document.
type ValidationError struct{ Problems []Problem }

func (e *ValidationError) Error() string {
	messages := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		messages[i] = p.String()
	}
	return strings.Join(messages, "\n")
}

// Document is a decoded JSON document and the mistakes found in it so far.
type Document struct {
	root       any
	valueCount int
	problems   []Problem
}

// MaxValues is how many values a document holds at most.
const MaxValues = maxValues

// Parse decodes a whole document whose top is an object. It rejects text after the document and objects that
// name a field twice, because two readers could understand such a document differently. It rejects documents
// beyond the bounds of decode.go, because these would take more memory than a process has.
func Parse(raw []byte) (*Document, error) {
	root, valueCount, err := decode(raw)
	if err != nil {
		return nil, &ValidationError{[]Problem{{"document", err.Error(), "send one whole JSON object"}}}
	}
	return &Document{root: root, valueCount: valueCount}, nil
}

// Root returns the top of the document.
func (d *Document) Root() Node { return Node{document: d, value: d.root, present: true} }

// ValueCount returns how many values the document holds, objects and lists included.
func (d *Document) ValueCount() int { return d.valueCount }

// Err returns *Invalid with all mistakes noted so far, or nil.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return &ValidationError{d.problems}
}

// Node is a value of a document, present or not.
type Node struct {
	document *Document
	value    any
	path     string
	present  bool
}

// Path returns where the value stands.
func (n Node) Path() string { return n.path }

// Present tells whether the document holds the value, null aside.
func (n Node) Present() bool { return n.present && n.value != nil }

// Reject notes a mistake at the value.
func (n Node) Reject(reason, remedy string) {
	n.document.problems = append(n.document.problems, Problem{n.path, reason, remedy})
}

// Get returns the value of a field of an object.
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

// FieldNames returns the names of an object's fields in their alphabetical order; an absent object has none.
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

// Items returns the elements of a list; an absent list is empty.
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

// TextFields returns the text values of an object by their names; an absent object is empty.
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

// Text returns a required, non-empty text.
func (n Node) Text() string {
	text := n.TextOr("")
	if text == "" && (!n.Present() || n.value == "") {
		n.Reject("is missing", "give a text")
	}
	return text
}

// TextOr returns a text, or fallback where it is absent.
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

// Number returns a required finite number of at least least.
func (n Node) Number(minimum float64) float64 {
	if !n.Present() {
		n.Reject("is missing", fmt.Sprintf("give a number of %g or more", minimum))
		return 0
	}
	return n.NumberOr(0, minimum)
}

// NumberOr returns a finite number of at least least, or fallback where it is absent.
func (n Node) NumberOr(fallback, minimum float64) float64 {
	if !n.Present() {
		return fallback
	}
	number, ok := n.value.(float64)
	if !ok || math.IsNaN(number) || math.IsInf(number, 0) || number < minimum {
		n.Reject("is not such a number", fmt.Sprintf("give a number of %g or more", minimum))
		return fallback
	}
	return number
}

// Bool returns a truth value, false where it is absent.
func (n Node) Bool() bool {
	if !n.Present() {
		return false
	}
	value, ok := n.value.(bool)
	if !ok {
		n.Reject("is not a truth value", "give true or false")
	}
	return value
}
