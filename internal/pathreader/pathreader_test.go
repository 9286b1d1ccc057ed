package pathreader

import (
	"bytes"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestDeepNestingIsRefused sends what would take a process's whole memory if each level took a stack frame.
func TestDeepNestingIsRefused(t *testing.T) {
	const size = 8 << 20 // the largest body of a control call
	for name, level := range map[string]string{"lists": "[", "objects": `{"a":`} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			document := append([]byte(`{"routes":`), bytes.Repeat([]byte(level), size/len(level))...)
			_, err := Parse(document)
			var invalid *Invalid
			c.Assert(errors.As(err, &invalid), qt.IsTrue)
			c.Assert(invalid.Problems[0].Reason, qt.Matches, ".*nested.*")
		})
	}
}
