package leaseholder

import (
	"encoding/json"
	"os"
	"time"
)

// Faults injects faults into calls, for tests and the laboratory.
type Faults interface {
	// BeforeCall runs between the check of the lease and the call, where a stall does the most harm.
	BeforeCall()
}

// FileFaults stalls calls as a file says: {"call_delay_ms": 50}. While a call is stalled, a file beside it
// with StalledSuffix behind its name says so. A file that is missing or doesn't decode stalls nothing.
type FileFaults struct{ Path string }

// StalledSuffix ends the name of the file that says that a call is stalled.
const StalledSuffix = ".standing"

// maxCallDelay bounds how long a call is stalled.
const maxCallDelay = 10 * time.Second

// BeforeCall stalls as the file says.
func (f FileFaults) BeforeCall() {
	raw, err := os.ReadFile(f.Path)
	if err != nil {
		return
	}
	var spec struct {
		DelayMS int64 `json:"call_delay_ms"`
	}
	if json.Unmarshal(raw, &spec) != nil || spec.DelayMS <= 0 {
		return
	}
	_ = os.WriteFile(f.Path+StalledSuffix, nil, 0o600) // a test that misses the file fails by itself
	time.Sleep(min(time.Duration(spec.DelayMS)*time.Millisecond, maxCallDelay))
}
