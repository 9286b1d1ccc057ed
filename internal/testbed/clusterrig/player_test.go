package clusterrig

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"
)

// A scenario is played, recorded, judged, printed and drawn; what does not come in time is a failure.
func TestPlayRecordsAndJudgesScenario(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("starts several processes")
	}
	scenario, err := Load("partition", map[string]string{"members": "3", "lasts": "6s"})
	if err != nil {
		t.Fatal(err)
	}
	scenario.Steps[0].Who = []string{"m-0"}
	scenario.Steps[1].At = 5 * time.Second
	scenario.Steps = append(scenario.Steps, Step{At: 5 * time.Second, Do: "kill", Who: []string{"m-2"},
		Expect: "left",
		Within: 50 * time.Millisecond})
	var rec, table, svg bytes.Buffer
	report, err := Play(testContext(t), scenario, Options{Program: binary, Dir: t.TempDir()}, &rec)
	if err != nil {
		t.Fatal(err)
	}
	if report.Failures != 1 || report.Steps[2].Failed != 1 ||
		report.Steps[0].Failed+report.Steps[1].Failed != 0 {
		t.Errorf("the report counts %+v", report.Steps)
	}
	if report.Steps[0].Median < 100 || report.Views == 0 || report.BytesPerSecond <= 0 ||
		report.MeasuredMembers != 1 {
		t.Errorf("the report measures %+v", report)
	}
	seen := false
	for _, raw := range bytes.Split(bytes.TrimSpace(rec.Bytes()), []byte("\n")) {
		var line event
		must(t, json.Unmarshal(raw, &line))
		seen = seen || line.Observer == "m-1" && line.View["m-0"] == "dead"
	}
	if !seen {
		t.Error("the record never has m-1 see m-0 dead")
	}
	must(t, report.Print(&table))
	must(t, report.Plot(&svg))
	if !strings.Contains(table.String(), "partition [m-0]") || !strings.Contains(svg.String(), "<svg") {
		t.Errorf("printed:\n%s\ndrawn: %d bytes", table.String(), svg.Len())
	}
}
