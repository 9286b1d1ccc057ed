package raftgroup

import (
	"encoding/json"
	"os"
	"syscall"
	"time"
)

// DiskFaults injects disk faults, for tests and the lab. A nil DiskFaults injects none.
type DiskFaults interface {
	// Sync is called before a transaction is written and synced. It may sleep, or return an error such as
	// ENOSPC, with which the write then fails.
	Sync() error
}

// FileFaults injects the faults that a JSON file describes: each sync is delayed by sync_delay_ms, at most by
// 10 s, and if full is set, each write fails with ENOSPC. The file is read at each sync; if it is missing or
// does not decode, no fault is injected.
type FileFaults struct{ Path string }

// Sync applies the faults that the file describes now.
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
