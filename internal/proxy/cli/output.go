package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// output writes the results of a command. After the first failed write it writes nothing more, and flush
// returns that error, so that a command checks for errors once, after its last write.
type output struct {
	w     io.Writer
	table *tabwriter.Writer // nil for plain text
	err   error
}

// newOutput returns an output for plain text.
func newOutput(w io.Writer) *output { return &output{w: w} }

// newTable returns an output that aligns cells, separated by tabs, in columns when it is flushed. flags are
// those of package tabwriter.
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

// flush writes the buffered table, if any, and returns the first error of all writes.
func (o *output) flush() error {
	if o.err == nil && o.table != nil {
		o.err = o.table.Flush()
	}
	return o.err
}

// printJSON writes v as JSON on one line.
func printJSON(w io.Writer, v any) error { return json.NewEncoder(w).Encode(v) }
