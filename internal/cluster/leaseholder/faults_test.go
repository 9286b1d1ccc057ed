package leaseholder

import (
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"
)

// A call is held while the file of the faults is the one that it found, and what is beside it names that one.
func TestFileFaultsBlockCallsUntilTheFileChanges(t *testing.T) {
	faults := FileFaults{filepath.Join(t.TempDir(), "calls")}
	faults.BeforeCall() // no file holds nothing
	for _, fault := range []string{"first", "second"} {
		if err := os.WriteFile(faults.Path, []byte(fault), 0o600); err != nil {
			t.Fatal(err)
		}
		released := make(chan struct{})
		go func() {
			defer close(released)
			faults.BeforeCall()
		}()
		for end := time.Now().Add(20 * time.Second); ; runtime.Gosched() {
			if blocked, err := os.ReadFile(faults.Path + BlockedSuffix); err == nil && string(blocked) == fault {
				break
			}
			if time.Now().After(end) {
				t.Fatal("no call is held")
			}
		}
		select {
		case <-released:
			t.Errorf("the call goes on while the file says %s", fault)
		default:
		}
		if err := os.Remove(faults.Path); err != nil {
			t.Fatal(err)
		}
		<-released
	}
}
