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
		Service: "s", Address: "10.0.0.1:80", Role: "reading"}}
	qt.Assert(t, saved.writeRecords(serversFile, records), qt.IsNil)
	got, err := saved.readRecords(serversFile)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, records)
}

// TestCorruptSavedFilesAreRejected truncates the file to every length and flips each byte.
func TestCorruptSavedFilesAreRejected(t *testing.T) {
	dir := t.TempDir()
	saved, path := savedFiles{segmentlog.OSFS{}, dir}, filepath.Join(dir, serversFile)
	records := []directory.Record{{Kind: directory.KindServer, ID: "a", Sequence: 3, State: directory.Ready}}
	qt.Assert(t, saved.writeRecords(serversFile, records), qt.IsNil)
	full, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	for i := range full {
		qt.Assert(t, os.WriteFile(path, full[:i], 0o600), qt.IsNil)
		_, err = saved.readRecords(serversFile)
		qt.Assert(t, err, qt.ErrorIs, errSavedFileCorrupt)
		flipped := append([]byte(nil), full...)
		flipped[i] ^= 1
		qt.Assert(t, os.WriteFile(path, flipped, 0o600), qt.IsNil)
		_, err = saved.readRecords(serversFile)
		qt.Assert(t, err, qt.ErrorIs, errSavedFileCorrupt)
	}
}
