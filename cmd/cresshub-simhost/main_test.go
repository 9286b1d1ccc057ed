package main

import (
	"bytes"
	"strings"
	"testing"
)

const empty = `{"sim-time-ms":1,"n":1,"happened":[]}` + "\n"

func TestServe(t *testing.T) {
	for name, c := range map[string]struct {
		in, out string
		fails   bool
	}{
		"end between batches": {empty, `{"actions":[],"n":1}` + "\n", false},
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
