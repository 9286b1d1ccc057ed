package jsondoc

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestDeepNestingIsRejected parses documents whose nesting, if it were not bounded, would exhaust the
// memory of the process, because each level takes a stack frame.
func TestDeepNestingIsRejected(t *testing.T) {
	const size = 8 << 20 // bytes of the largest body that the control API accepts
	for name, level := range map[string]string{"lists": "[", "objects": `{"a":`} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			document := append([]byte(`{"routes":`), bytes.Repeat([]byte(level), size/len(level))...)
			_, err := Parse(document)
			var invalid *ValidationError
			c.Assert(errors.As(err, &invalid), qt.IsTrue)
			c.Assert(invalid.Problems[0].Reason, qt.Matches, ".*nested.*")
		})
	}
}

// TestManyValuesAreRejected parses documents with as many values as fit a request body. Each value takes far
// more memory when decoded than bytes in the document.
func TestManyValuesAreRejected(t *testing.T) {
	for name, value := range map[string]string{"numbers": "1,", "lists": "[],", "objects": "{},"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, err := Parse([]byte(`{"routes":[` + strings.Repeat(value, 2<<20) + `1]}`))
			var invalid *ValidationError
			c.Assert(errors.As(err, &invalid), qt.IsTrue)
			c.Assert(invalid.Problems[0].Reason, qt.Matches, ".*values.*")
		})
	}
}

// FuzzParse checks that Parse accepts any input or rejects it with a Problem, and never crashes.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		`{"a":[1,{"b":null}],"c":"d"}`, `{"a":1,"a":2}`, `[`, `{"a":1e999}`, `{} x`, "\x00",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		document, err := Parse(raw)
		if err != nil {
			qt.Assert(t, err, qt.ErrorMatches, "(?s)document: .+")
			return
		}
		for name := range document.Root().TextFields() {
			document.Root().Get(name).TextOr("")
		}
		qt.Assert(t, document.Err(), qt.IsNil)
	})
}
