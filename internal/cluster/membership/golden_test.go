package membership

import (
	"testing"

	"cresshub/internal/testbed/goldenfile"
)

// TestGoldenNamesAreReadAndWrittenByteForByte guards the names of phases, which members gossip, and of
// statuses and changes, which operators' pages and logs show as well. Package gossip has the golden files
// of its messages.
func TestGoldenNamesAreReadAndWrittenByteForByte(t *testing.T) {
	var names struct{ Statuses, Phases, Changes []string }
	for s := Alive; s <= Left; s++ {
		names.Statuses = append(names.Statuses, s.String())
	}
	for p := Serving; p <= Leaving; p++ {
		names.Phases = append(names.Phases, p.String())
		got, err := ParsePhase(p.String())
		if err != nil {
			t.Error(err)
		}
		goldenfile.CheckDecoded(t, "names.json", got, p)
	}
	for k := Joined; k <= Rejected; k++ {
		names.Changes = append(names.Changes, k.String())
	}
	goldenfile.CheckJSON(t, "names.json", names)
	goldenfile.CheckDecoded(t, "names.json", []Phase{Serving, Draining, Leaving}, []Phase{0, 1, 2})
}
