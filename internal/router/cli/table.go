package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// columnGap is the number of spaces between two columns.
const columnGap = 2

// table is text in columns, which are aligned when the table is printed.
type table struct {
	columns []string
	rows    [][]string
}

func newTable(columns ...string) *table { return &table{columns: columns} }

// add adds a row; an empty cell is printed as a dash.
func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		if row[i] = fmt.Sprint(cell); row[i] == "" {
			row[i] = "-"
		}
	}
	t.rows = append(t.rows, row)
}

// print writes the table to out.
func (t *table) print(out io.Writer) error {
	aligned := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	for _, row := range append([][]string{t.columns}, t.rows...) {
		if _, err := fmt.Fprintln(aligned, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return aligned.Flush()
}

// printUnder writes a title, an empty line and the table.
func (t *table) printUnder(out io.Writer, title string) error {
	if _, err := fmt.Fprintf(out, "%s\n\n", title); err != nil {
		return err
	}
	return t.print(out)
}
