package daemon

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"cresshub/internal/cluster/ledger"
	"cresshub/internal/cluster/pending"
	"cresshub/internal/cluster/raftgroup"
)

// The parts of /_ledger have golden files in their own packages; these files cover the fields around them.
func TestGoldenLedgerPagesAreReadAndWrittenByteForByte(t *testing.T) {
	for name, want := range map[string]any{
		"ledger-page.json": &LedgerPage{Group: raftgroup.Status{Group: "ledger", Voters: []string{"odori-1"}},
			Here: pending.Stats{Counted: 1}, Ledger: &ledger.View{Index: 2, Periods: []ledger.PeriodView{}},
			Problem: "the group has no leader"},
		"ledger-corrected.json": &CorrectionReply{Result: ledger.Result{Status: ledger.StatusCorrected, Index: 3,
			Period: 4},
			Problem: "none"},
	} {
		golden, err := os.ReadFile(filepath.Join("testdata", "golden", name))
		if err != nil {
			t.Fatal(err)
		}
		decoder := json.NewDecoder(bytes.NewReader(golden))
		decoder.DisallowUnknownFields()
		got := reflect.New(reflect.TypeOf(want).Elem()).Interface()
		if err := decoder.Decode(got); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: decoded as\n%+v, want\n%+v", name, got, want)
		}
		raw, err := json.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(raw, golden) {
			t.Errorf("%s: encoded as\n%s\nand the golden file has\n%s", name, raw, golden)
		}
	}
}
