package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// output writes what a command prints. After the first failed write it writes nothing more, and flush returns
// that error, so that a command checks its output once, at its end.
type output struct {
	w     io.Writer
	table *tabwriter.Writer // nil for plain text
	err   error
}

// newOutput returns an output of plain text.
func newOutput(w io.Writer) *output { return &output{w: w} }

// newTable returns an output whose cells, separated by tabs, are aligned in columns when it is flushed.
func newTable(w io.Writer, flags uint) *output {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', flags)
	return &output{w: t, table: t}
}

func (o *output) printf(format string, args ...any) {
	if o.err == nil {
		_, o.err = fmt.Fprintf(o.w, format, args...)
	}
}

func (o *output) println(args ...any) {
	if o.err == nil {
		_, o.err = fmt.Fprintln(o.w, args...)
	}
}

// flush writes a table and returns the first error of all writes.
func (o *output) flush() error {
	if o.err == nil && o.table != nil {
		o.err = o.table.Flush()
	}
	return o.err
}

// printJSON writes one value on one line.
func printJSON(w io.Writer, v any) error { return json.NewEncoder(w).Encode(v) }
