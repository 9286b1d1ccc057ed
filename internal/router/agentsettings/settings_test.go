package agentsettings_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/agentsettings"
)

// TestDefaults parses a document that contains only the required keys.
func TestDefaults(t *testing.T) {
	settings, err := agentsettings.Parse([]byte(`{"office":"a","ip":"127.0.0.1","inner_ports":[1,2]}`))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, settings, qt.DeepEquals, &agentsettings.Settings{
		Name: "a", IP: "127.0.0.1", Regions: map[string]string{}, InnerPorts: [2]int{1, 2},
		HeartbeatInterval: time.Second, CPUShare: 1, MemoryBytes: 256 << 20, Descriptors: 1024,
		Bounds: agentsettings.Bounds{
			SeedLag: 3 * time.Second, ReuseAfter: 2 * time.Second, Touch: 3 * time.Second, Ack: 4 * time.Second,
			CatchUp: 4 * time.Second, Drain: 2 * time.Second, Grace: 8 * time.Second,
			Lost: 200 * time.Millisecond, Config: 2 * time.Second, Outer: 5 * time.Second, RetryRatio: 0.2,
			RetryWindow: 10 * time.Second, RetrySlack: 10, Transit: 120 * time.Millisecond,
			Lease: 3 * time.Second, Thaw: 300 * time.Millisecond,
		},
	})
}

func TestEveryProblemIsReported(t *testing.T) {
	for _, test := range []struct{ name, document, problems string }{
		{"required fields are missing", `{}`, "(?s).*office: .*ip: .*inner_ports: .*"},
		{"one port", `{"office":"a","ip":"b","inner_ports":[1]}`, "(?s).*inner_ports: does not hold two ports.*"},
		{"an interval of 0", `{"office":"a","ip":"b","inner_ports":[1,2],"beat_ms":0}`, "(?s).*beat_ms: .*"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := agentsettings.Parse([]byte(test.document))
			qt.Assert(t, err, qt.ErrorMatches, test.problems)
		})
	}
}
