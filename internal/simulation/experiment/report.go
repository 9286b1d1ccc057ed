package experiment

import (
	"fmt"
	"html/template"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
)

var page = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body { font: 15px/1.5 system-ui, sans-serif; max-width: 60em; margin: 2em auto; padding: 0 1em; color: #222 }
table { border-collapse: collapse; margin: 1em 0 } td, th { padding: .2em .8em; text-align: right }
th { border-bottom: 1px solid #888 } td:first-child, th:first-child { text-align: left }
.broken { color: #b00 } svg { max-width: 100%; height: auto } pre { background: #f4f4f4; padding: .6em }
</style>
<h1>{{.Title}}</h1>
<p>{{.What}}</p>
<table><tr>{{range .Head}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
{{range .Plots}}<h2>{{.Name}}</h2>{{.SVG}}
{{end}}
<h2>Rules</h2>
{{if .Breaks}}{{range .Breaks}}<p class="broken">{{.Who}}</p><pre>{{.Text}}</pre>{{end}}
{{else}}<p>None was broken.</p>{{end}}
</html>
`))

// drawing is a plot of a report.
type drawing struct {
	Name string
	SVG  template.HTML
}

// violation is a violation of a rule with the day in which it occurred.
type violation struct{ Who, Text string }

// columns are the metrics in the table of a report.
var columns = []string{"service", "service_worst_10s", "mean_ms", "p99_ms", "refused", "failed", "probes"}

// Table returns the estimates of all cells as text: a head, and a row for each cell.
func (s *Store) Table(metrics []string) (head []string, rows [][]string) {
	for _, axis := range s.Header.Over {
		head = append(head, axis.Key)
	}
	head = append(append(head, "policy", "days"), metrics...)
	for _, cell := range s.Cells() {
		var row []string
		for _, axis := range s.Header.Over {
			row = append(row, cell.Set[axis.Key])
		}
		row = append(row, cell.Policy, fmt.Sprint(len(cell.Days)))
		for _, metric := range metrics {
			row = append(row, EstimateOf(cell.Figures(metric)).String())
		}
		rows = append(rows, row)
	}
	return head, rows
}

// String formats an estimate with as many digits as its interval justifies.
func (e Estimate) String() string {
	if math.IsNaN(e.Half) {
		return fmt.Sprintf("%.4g", e.Mean)
	}
	digits := 4
	if e.Half > 0 {
		digits = min(max(int(2-math.Floor(math.Log10(e.Half))-1), 0), 6)
	}
	return fmt.Sprintf("%.*f ±%.*f", digits, e.Mean, digits, e.Half)
}

// Report writes a self-contained HTML page: settings, a table, plots, and violations of rules.
func (s *Store) Report(w io.Writer) error {
	h := &s.Header
	data := struct {
		Title, What string
		Head        []string
		Rows        [][]string
		Plots       []drawing
		Breaks      []violation
	}{Title: "Laboratory: " + h.Scenario}
	var set []string
	for _, key := range slices.Sorted(maps.Keys(h.Set)) {
		set = append(set, key+" = "+h.Set[key])
	}
	data.What = fmt.Sprintf("Seeds %d to %d, the same days for every policy. Intervals are 95%%. %s", h.Seed,
		h.Seed+uint64(h.Repeat)-1, strings.Join(set, ", "))
	data.Head, data.Rows = s.Table(columns)
	plots := []string{"service", "p99_ms", "mean_ms", "refused"}
	if len(h.Over) == 0 {
		plots = plots[:1]
	}
	for _, metric := range plots {
		svg, err := s.Plot(metric, false, false)
		if err != nil {
			return err
		}
		_, inner, _ := strings.Cut(string(svg), "<svg")
		data.Plots = append(data.Plots, drawing{metric, template.HTML("<svg" + inner)})
	}
	for _, day := range s.Days {
		for _, text := range day.Result.Violations {
			data.Breaks = append(data.Breaks, violation{day.id(), text})
		}
	}
	data.Breaks = data.Breaks[:min(len(data.Breaks), 20)]
	return page.Execute(w, data)
}
