package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"cresshub/internal/router/latereport"
)

// lateCommand explains from logs why responses of model services were late.
type lateCommand struct {
	Files []string `arg:"" help:"Logs of processes that ran with --log-level debug." type:"existingfile"`
	JSON  bool     `help:"Print the summary as JSON."`
}

// Run prints the late responses of each route by cause.
func (c *lateCommand) Run(out *output) error {
	var calls []latereport.Call
	for _, path := range c.Files {
		fileCalls, err := parseLogFile(path)
		if err != nil {
			return err
		}
		calls = append(calls, fileCalls...)
	}
	summary := latereport.Summarize(calls)
	if c.JSON {
		return json.NewEncoder(out.stdout).Encode(summary)
	}
	title := fmt.Sprintf("%d calls; the fastest prefills take %.4f ms a token", len(calls),
		summary.PrefillMsPerToken)
	return lateTable(summary).printUnder(out.stdout, title)
}

func parseLogFile(path string) ([]latereport.Call, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return latereport.ParseLog(file)
}

// lateTable has a row for each route, and a column for each cause.
func lateTable(summary *latereport.Summary) *table {
	header := []string{"ROUTE", "TARGET", "ANSWERED", "LATE"}
	for _, cause := range latereport.Causes {
		header = append(header, strings.ToUpper(string(cause)))
	}
	table := newTable(header...)
	for _, route := range summary.Routes {
		row := []any{route.Name, fmt.Sprintf("%.0f ms", route.TargetMs), route.Answered, route.Late}
		for _, cause := range latereport.Causes {
			row = append(row, route.Causes[cause])
		}
		table.add(row...)
	}
	return table
}
