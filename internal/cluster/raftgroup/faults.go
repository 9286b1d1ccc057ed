package raftgroup

import (
	"encoding/json"
	"os"
	"syscall"
	"time"
)

// FileFaults has a disk fail as a file says, for tests and the laboratory: JSON with sync_delay_ms, how long
// each sync takes more, and full, whether writes fail with no space. The file is read at each sync; none, or
// one that does not decode, is no fault.
type FileFaults struct{ Path string }

// Sync is one sync.
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
