package groupstate

import (
	"bytes"
	"encoding/json"
	"testing"
)

// A snapshot that contains only the ledger, from before leases and exports existed, is restored. A truncated
// snapshot and one of a newer format are rejected; the truncated ones change nothing.
func TestOnlyReadableSnapshotsAreRestored(t *testing.T) {
	l := newTestLog(t)
	l.addPeriod(5)
	l.acquire("a")
	old, _ := New(testSettings)
	err := old.Restore(l.machine.Ledger.Snapshot())
	if err != nil || old.Ledger.OpenPeriod() != 2 || old.View().Grant.Token != 0 {
		t.Errorf("%v, %+v", err, old.View())
	}
	full := l.machine.Snapshot()
	before, _ := json.Marshal(old.View())
	for n := range len(full) {
		if old.Restore(full[:n]) == nil {
			t.Fatalf("a snapshot truncated to %d bytes was restored", n)
		}
	}
	if now, _ := json.Marshal(old.View()); !bytes.Equal(now, before) {
		t.Errorf("truncated snapshots changed the view from %s to %s", before, now)
	}
	newer := *l.machine
	if raw := newer.Snapshot(); raw[0] != kindSnapshot || raw[2] != snapshotFormat {
		t.Fatalf("% x", raw[:8])
	} else if raw[2] = snapshotFormat + 1; old.Restore(raw) == nil {
		t.Error("a snapshot of a newer format was restored")
	}
}
