package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// columnGap is the number of spaces between two columns.
const columnGap = 2

// table is text in columns, which are aligned when it is printed.
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

func (t *table) print(out io.Writer) error {
	aligned := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(aligned, strings.Join(t.columns, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(aligned, strings.Join(row, "\t"))
	}
	return aligned.Flush()
}
