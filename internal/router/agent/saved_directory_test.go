package agent

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/directory"
	"cresshub/internal/segmentlog"
)

func TestSavedServersAreReadAsWritten(t *testing.T) {
	saved := savedFiles{segmentlog.OSFS{}, t.TempDir()}
	records := []directory.Record{{Kind: directory.KindServer, ID: "a", Sequence: 3, State: directory.Ready,
		Service: "s", Address: "10.0.0.1:80", Stage: "reading"}}
	qt.Assert(t, saved.writeRecords(savedName, records), qt.IsNil)
	got, err := saved.readRecords(savedName)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, records)
}

// TestDamagedSavedServersAreRefused cuts the file at every length and flips each byte.
func TestDamagedSavedServersAreRefused(t *testing.T) {
	dir := t.TempDir()
	saved, path := savedFiles{segmentlog.OSFS{}, dir}, filepath.Join(dir, savedName)
	records := []directory.Record{{Kind: directory.KindServer, ID: "a", Sequence: 3, State: directory.Ready}}
	qt.Assert(t, saved.writeRecords(savedName, records), qt.IsNil)
	whole, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	for i := range whole {
		qt.Assert(t, os.WriteFile(path, whole[:i], 0o600), qt.IsNil)
		_, err = saved.readRecords(savedName)
		qt.Assert(t, err, qt.ErrorIs, errSavedDamaged)
		flipped := append([]byte(nil), whole...)
		flipped[i] ^= 1
		qt.Assert(t, os.WriteFile(path, flipped, 0o600), qt.IsNil)
		_, err = saved.readRecords(savedName)
		qt.Assert(t, err, qt.ErrorIs, errSavedDamaged)
	}
}
