package stats

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

func TestLogGroupsCountersAndNamesResults(t *testing.T) {
	var s Set
	s.Received.Inc()
	s.Received.Inc()
	s.Served.Inc()
	s.Attempts.Add(1)
	s.Probes.Add(0)
	var out bytes.Buffer
	s.Log(slog.New(slog.NewTextHandler(&out, nil)), "asked", []string{"good", "bad"})
	for _, want := range []string{"why=asked", "requests.received=2", "requests.served=1",
		"requests.client_disconnected=0", "sent.bad=1", "probed.good=1"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%s is missing in the record %s", want, out.String())
		}
	}
}
