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

// FileFaults holds calls while a file exists. Once a call is held, a file beside it with HeldSuffix behind
// its name has the same content, which tells the call from one that was held for an earlier fault.
type FileFaults struct{ Path string }

// HeldSuffix ends the name of the file that says that a call is held.
const HeldSuffix = ".held"

const (
	// maxHold bounds how long a call is held.
	maxHold = 30 * time.Second
	// holdCheckInterval is how often a call that is held looks whether it may go on.
	holdCheckInterval = 5 * time.Millisecond
)

// BeforeCall waits until the file that is there now is removed or has another content.
func (f FileFaults) BeforeCall() {
	fault, err := os.ReadFile(f.Path)
	if err != nil || len(fault) == 0 { // a file that is just being written is seen by the next call
		return
	}
	_ = os.WriteFile(f.Path+HeldSuffix, fault, 0o600) // a test that misses the file fails by itself
	for began := time.Now(); time.Since(began) < maxHold; time.Sleep(holdCheckInterval) {
		current, err := os.ReadFile(f.Path)
		if err != nil || !bytes.Equal(current, fault) {
			return
		}
	}
}
