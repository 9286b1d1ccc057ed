package leaseholder

import (
	"bytes"
	"os"
	"time"
)

// Faults injects faults into calls, for tests and the laboratory.
type Faults interface {
	// BeforeCall runs between the check of the lease and the call, where a stall does the most harm.
	BeforeCall()
}

// FileFaults blocks calls while a file exists. Once a call is blocked, a file beside it with BlockedSuffix
// behind its name has the same content, which tells the call from one that was blocked for an earlier fault.
type FileFaults struct{ Path string }

// BlockedSuffix ends the name of the file that says that a call is blocked.
const BlockedSuffix = ".blocked"

const (
	// maxBlockTime bounds how long a call is blocked.
	maxBlockTime = 30 * time.Second
	// blockedCheckInterval is how often a call that is blocked looks whether it may go on.
	blockedCheckInterval = 5 * time.Millisecond
)

// BeforeCall waits until the file that is there now is removed or has another content.
func (f FileFaults) BeforeCall() {
	fault, err := os.ReadFile(f.Path)
	if err != nil || len(fault) == 0 { // a file that is just being written is seen by the next call
		return
	}
	_ = os.WriteFile(f.Path+BlockedSuffix, fault, 0o600) // a test that misses the file fails by itself
	for began := time.Now(); time.Since(began) < maxBlockTime; time.Sleep(blockedCheckInterval) {
		current, err := os.ReadFile(f.Path)
		if err != nil || !bytes.Equal(current, fault) {
			return
		}
	}
}
