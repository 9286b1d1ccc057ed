package leaseholder

import (
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"
)

// A call is blocked while the fault file keeps the content that the call found, and the file with
// BlockedSuffix has the same content.
func TestFileFaultsBlockCallsUntilTheFileChanges(t *testing.T) {
	faults := FileFaults{filepath.Join(t.TempDir(), "calls")}
	faults.BeforeCall() // does not block without a file
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
				t.Fatal("no call was blocked within 20 s")
			}
		}
		select {
		case <-released:
			t.Errorf("the call continued while the file contained %s", fault)
		default:
		}
		if err := os.Remove(faults.Path); err != nil {
			t.Fatal(err)
		}
		<-released
	}
}
