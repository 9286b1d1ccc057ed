package leaseholder

import (
	"bytes"
	"os"
	"time"
)

// Faults injects faults into calls, for tests and the lab.
type Faults interface {
	// BeforeCall runs between the check of the lease and the call, where a stall does the most harm: the lease
	// may expire before the call is sent.
	BeforeCall()
}

// FileFaults blocks calls while the file at Path exists. Once a call is blocked, the file at Path with
// BlockedSuffix appended has the same content, which distinguishes this call from one that was blocked by an
// earlier fault.
type FileFaults struct{ Path string }

// BlockedSuffix is appended to FileFaults.Path for the name of the file that reports a blocked call.
const BlockedSuffix = ".blocked"

const (
	// maxBlockTime bounds how long a call is blocked.
	maxBlockTime = 30 * time.Second
	// blockedCheckInterval is the time between checks whether a blocked call may continue.
	blockedCheckInterval = 5 * time.Millisecond
)

// BeforeCall returns once the file at Path is removed or its content changes, or after maxBlockTime. It
// returns immediately if there is no file or the file is empty.
func (f FileFaults) BeforeCall() {
	fault, err := os.ReadFile(f.Path)
	if err != nil || len(fault) == 0 { // a file that is still being written blocks the next call
		return
	}
	_ = os.WriteFile(f.Path+BlockedSuffix, fault, 0o600) // on failure, a test waiting for it fails
	for began := time.Now(); time.Since(began) < maxBlockTime; time.Sleep(blockedCheckInterval) {
		current, err := os.ReadFile(f.Path)
		if err != nil || !bytes.Equal(current, fault) {
			return
		}
	}
}
