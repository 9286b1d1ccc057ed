package main

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
)

// emptyBatch is a batch without events.
const emptyBatch = `{"sim-time-ms":1,"n":1,"happened":[]}` + "\n"

func TestServe(t *testing.T) {
	for name, c := range map[string]struct {
		in, out string
		fails   bool
	}{
		"end between batches": {emptyBatch, `{"actions":[],"n":1}` + "\n", false},
		"no input":            {"", "", false},
		"end inside a line":   {`{"sim-time-ms":1,"n":1,"happ`, "", true},
		"bad line":            {"{}\n", "", true},
	} {
		var out bytes.Buffer
		err := serve(strings.NewReader(c.in), &out)
		if (err != nil) != c.fails || out.String() != c.out {
			t.Errorf("%s: error %v, output %q", name, err, out.String())
		}
	}
}

// TestLineReaderReturnsWholeLines checks that lines shorter and longer than the buffer are returned whole and
// in order, and that a last line without a newline is returned together with io.EOF.
func TestLineReaderReturnsWholeLines(t *testing.T) {
	want := []string{"short\n", strings.Repeat("long", 20) + "\n", "\n", strings.Repeat("longer", 40) + "\n",
		"rest"}
	lines := &lineReader{in: bufio.NewReaderSize(strings.NewReader(strings.Join(want, "")), 16)}
	var got []string
	for {
		line, err := lines.next()
		got = append(got, string(line))
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("lines %q, want %q", got, want)
	}
}
