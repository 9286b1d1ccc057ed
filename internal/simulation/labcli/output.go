package labcli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// table writes rows with aligned columns. It retains the first error, which flush returns.
type table struct {
	w   *tabwriter.Writer
	err error
}

// newTable begins a table whose columns are aligned right.
func newTable(w io.Writer) *table {
	return &table{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)}
}

// row adds a row of cells that end with tabs.
func (t *table) row(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.w, format+"\n", args...)
	}
}

// flush writes the table.
func (t *table) flush() error {
	if t.err != nil {
		return t.err
	}
	return t.w.Flush()
}

// printRows prints the results of a command as a JSON array, or as a table with a head and a row for each.
func printRows[T any](c *cobra.Command, asJSON bool, rows []T, head string, row func(*table, T)) error {
	if asJSON {
		return json.NewEncoder(c.OutOrStdout()).Encode(rows)
	}
	t := newTable(c.OutOrStdout())
	t.row("%s", head)
	for _, r := range rows {
		row(t, r)
	}
	return t.flush()
}

// writeFile writes a file, or to w where the path is "-".
func writeFile(w io.Writer, path string, b []byte) error {
	if path == "-" {
		_, err := w.Write(b)
		return err
	}
	return os.WriteFile(path, b, 0o644)
}
