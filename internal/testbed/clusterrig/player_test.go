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
	sc, err := Load("partition", map[string]string{"members": "3", "lasts": "6s"})
	if err != nil {
		t.Fatal(err)
	}
	sc.Steps[0].Who = []string{"m-0"}
	sc.Steps[1].At = 5 * time.Second
	sc.Steps = append(sc.Steps, Step{At: 5 * time.Second, Do: "kill", Who: []string{"m-2"}, Expect: "left",
		Within: 50 * time.Millisecond})
	var rec, table, svg bytes.Buffer
	rep, err := Play(testContext(t), sc, Options{Program: binary, Dir: t.TempDir()}, &rec)
	if err != nil {
		t.Fatal(err)
	}
	if rep.Failures != 1 || rep.Steps[2].Failed != 1 || rep.Steps[0].Failed+rep.Steps[1].Failed != 0 {
		t.Errorf("the report counts %+v", rep.Steps)
	}
	if rep.Steps[0].Median < 100 || rep.Views == 0 || rep.BytesPerSecond <= 0 || rep.MeasuredMembers != 1 {
		t.Errorf("the report measures %+v", rep)
	}
	seen := false
	for _, raw := range bytes.Split(bytes.TrimSpace(rec.Bytes()), []byte("\n")) {
		var l event
		must(t, json.Unmarshal(raw, &l))
		seen = seen || l.Observer == "m-1" && l.View["m-0"] == "dead"
	}
	if !seen {
		t.Error("the record never has m-1 see m-0 dead")
	}
	must(t, rep.Print(&table))
	must(t, rep.Plot(&svg))
	if !strings.Contains(table.String(), "partition [m-0]") || !strings.Contains(svg.String(), "<svg") {
		t.Errorf("printed:\n%s\ndrawn: %d bytes", table.String(), svg.Len())
	}
}
