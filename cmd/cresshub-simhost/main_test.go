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

// Lines shorter and longer than the buffer come whole and in order, and the rest without an end comes with
// io.EOF.
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
		t.Errorf("%q, not %q", got, want)
	}
}
