//go:build !router_only

package cli

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/agentsettings"
)

// TestSIGHUPDuringStartDoesNotEndTheProcess: SIGHUP may arrive while a process is still reading its settings.
// The settings are a pipe here, so that the process waits there until the signal has arrived.
func TestSIGHUPDuringStartDoesNotEndTheProcess(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	c.Assert(syscall.Mkfifo(path, 0o600), qt.IsNil)
	command := exec.Command(os.Args[0], "router")
	command.Env = append(os.Environ(), asProgramVariable+"=1", agentsettings.PathVariable+"="+path)
	var stderr strings.Builder
	command.Stderr = &stderr
	c.Assert(command.Start(), qt.IsNil)
	watchdog := time.AfterFunc(testTimeout, func() { command.Process.Kill() })
	defer watchdog.Stop()
	settings, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the process has opened it
	c.Assert(err, qt.IsNil)
	c.Assert(command.Process.Signal(syscall.SIGHUP), qt.IsNil)
	settings.WriteString("{}") // invalid, so that the process exits with a code of its own
	settings.Close()
	command.Wait()
	c.Assert(command.ProcessState.ExitCode(), qt.Equals, exitSettings, qt.Commentf("%v: %s",
		command.ProcessState, stderr.String()))
}
