package jsondoc

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestDeepNestingIsRejected sends what would exhaust the memory of a process if each level took a stack
// frame.
func TestDeepNestingIsRejected(t *testing.T) {
	const size = 8 << 20 // the largest body of a control call
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

// TestManyValuesAreRejected sends as many values as fit a body, each of which takes far more memory than
// bytes.
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

// FuzzParse expects any bytes to be parsed or to be rejected with a Problem, and never to end the process.
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
