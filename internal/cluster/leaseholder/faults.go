package leaseholder

import (
	"encoding/json"
	"os"
	"time"
)

// FileFaults reads from a file how calls go wrong, for tests and the laboratory: {"call_delay_ms": 50} has
// the process stand between its look at the lease and each call, where a pause does the most harm; a file
// beside it, with Standing behind its name, says that it does. A file that is not there, or does not decode,
// does nothing.
type FileFaults struct{ Path string }

// StalledSuffix ends the name of the file that says that a call stands still.
const StalledSuffix = ".standing"

// maxCallDelay is the longest that a call stands still.
const maxCallDelay = 10 * time.Second

// BeforeCall stands still as the file says.
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
	os.WriteFile(f.Path+StalledSuffix, nil, 0o600)
	time.Sleep(min(time.Duration(spec.DelayMS)*time.Millisecond, maxCallDelay))
}
