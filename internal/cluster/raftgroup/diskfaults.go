package raftgroup

import (
	"encoding/json"
	"os"
	"syscall"
	"time"
)

// DiskFaults injects faults of the disk, for tests and the laboratory. A nil one injects none.
type DiskFaults interface {
	// Sync is called before a transaction is written and synced: it may sleep, or return an error such as
	// ENOSPC, with which the write fails.
	Sync() error
}

// FileFaults injects the faults that a file names, as JSON: sync_delay_ms is added to each sync, and with
// full each write fails with ENOSPC. The file is read at each sync; a missing one, or one that doesn't
// decode, is no fault.
type FileFaults struct{ Path string }

// Sync applies the faults that the file names now.
func (f FileFaults) Sync() error {
	raw, err := os.ReadFile(f.Path)
	if err != nil {
		return nil
	}
	var faults struct {
		Delay int  `json:"sync_delay_ms"`
		Full  bool `json:"full"`
	}
	if json.Unmarshal(raw, &faults) != nil {
		return nil
	}
	time.Sleep(time.Duration(min(max(faults.Delay, 0), 10_000)) * time.Millisecond)
	if faults.Full {
		return syscall.ENOSPC
	}
	return nil
}
