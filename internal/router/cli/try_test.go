//go:build !router_only

package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/testbed/routerstandin"
	"cresshub/internal/testbed/routertrial"
)

// asProgramVariable is the environment variable that makes the test binary act as the program, so that trials
// can start it.
const asProgramVariable = "FLEETCLI_TEST_AS_PROGRAM"

// testTimeout bounds every wait of a test; no result depends on how much of it is used.
const testTimeout = 60 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(asProgramVariable) != "" {
		os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// trial is a `try` command in a process of its own.
type trial struct {
	*qt.C
	command *exec.Cmd
	tempDir string // directory of all its files
	stdout  bytes.Buffer
	stderr  bytes.Buffer
	exited  chan error
}

func startTrial(c *qt.C, arguments ...string) *trial {
	c.Helper()
	trial := &trial{C: c, tempDir: c.TempDir(), exited: make(chan error, 1)}
	trial.command = exec.Command(os.Args[0], append([]string{"try"}, arguments...)...)
	trial.command.Env = append(os.Environ(), asProgramVariable+"=1", "TMPDIR="+trial.tempDir)
	trial.command.Stdout, trial.command.Stderr = &trial.stdout, &trial.stderr
	c.Assert(trial.command.Start(), qt.IsNil)
	go func() { trial.exited <- trial.command.Wait() }()
	return trial
}

// wait waits until the trial exits and returns its exit code.
func (t *trial) wait() int {
	t.Helper()
	select {
	case err := <-t.exited:
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			return exit.ExitCode()
		}
		t.Assert(err, qt.IsNil)
		return 0
	case <-time.After(testTimeout):
		t.command.Process.Kill()
		t.Fatal("the trial did not exit within the timeout")
		return -1
	}
}

// processes returns the ids of the running processes whose settings are in the trial's directory.
func (t *trial) processes() []string {
	t.Helper()
	var ids []string
	all, err := filepath.Glob("/proc/[0-9]*/environ")
	t.Assert(err, qt.IsNil)
	for _, path := range all {
		environment, err := os.ReadFile(path)
		if err == nil && strings.Contains(string(environment), "CRESSHUB_NODE_FILE="+t.tempDir) {
			ids = append(ids, filepath.Base(filepath.Dir(path)))
		}
	}
	return ids
}

// awaitProcesses waits until exactly count processes run.
func (t *trial) awaitProcesses(count int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); len(t.processes()) != count; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d processes run, not %d\n%s", len(t.processes()), count, t.stderr.String())
		}
	}
}

// checkNoLeftovers checks that the trial left neither processes nor files.
func (t *trial) checkNoLeftovers() {
	t.Helper()
	t.Check(t.processes(), qt.HasLen, 0)
	left, err := filepath.Glob(filepath.Join(t.tempDir, "*"))
	t.Check(err, qt.IsNil)
	t.Check(left, qt.HasLen, 0)
}

func TestTryPrintsItsReport(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a fleet; internal/testbed/routertrial does so with -short")
	}
	c := qt.New(t)
	trial := startTrial(c, "--seconds", "2", "--json")
	c.Assert(trial.wait(), qt.Equals, 0, qt.Commentf("%s", &trial.stderr))
	trial.checkNoLeftovers()
	var report routertrial.Report
	c.Assert(json.Unmarshal(trial.stdout.Bytes(), &report), qt.IsNil)
	c.Assert(report.Rules, qt.HasLen, len(routerstandin.Rules))
	c.Assert(report.Violations(), qt.Equals, 0)
	for _, kind := range report.Kinds {
		c.Check(kind.Asked > 0, qt.IsTrue)
		c.Check(kind.Served(), qt.Equals, kind.Asked, qt.Commentf("%+v", kind))
	}
	c.Assert(trial.stderr.String(), qt.Equals, "") // no progress line where no terminal shows it
}

// TestInterruptLeavesNoProcessesOrFiles: an interrupted trial exits and leaves nothing behind, whether its
// processes are starting, its clients are sending or a fault is in progress.
func TestInterruptLeavesNoProcessesOrFiles(t *testing.T) {
	if testing.Short() {
		t.Skip("starts several fleets")
	}
	for _, test := range []struct {
		name      string
		processes int
		after     time.Duration
	}{
		{"while the first processes start", 1, 0},
		{"when all run", 6, 0},
		{"while clients send", 6, 4 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			trial := startTrial(c, "--seconds", "60", "--trouble", "roll")
			for end := time.Now().Add(testTimeout); len(trial.processes()) < test.processes; {
				c.Assert(time.Now().Before(end), qt.IsTrue)
			}
			time.Sleep(test.after) // until the moment of the interrupt, for which there is no event
			c.Assert(trial.command.Process.Signal(syscall.SIGINT), qt.IsNil)
			c.Assert(trial.wait(), qt.Equals, 1)
			c.Assert(trial.stderr.String(), qt.Contains, "interrupted")
			trial.checkNoLeftovers()
		})
	}
}

// TestKillLeavesNoProcess: the processes of a trial that is killed end with it.
func TestKillLeavesNoProcess(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a fleet")
	}
	c := qt.New(t)
	trial := startTrial(c, "--seconds", "60")
	trial.awaitProcesses(6)
	c.Assert(trial.command.Process.Kill(), qt.IsNil)
	c.Assert(trial.wait(), qt.Equals, -1)
	trial.awaitProcesses(0)
}

func TestReportIsPrintedAsTables(t *testing.T) {
	c := qt.New(t)
	report := &routertrial.Report{Seconds: 5, Rate: 60, Notes: []string{"a note"},
		Events: []string{"1.00 s  an event"},
		Kinds: []routerstandin.KindTally{{Kind: "safe", Asked: 9, InTime: 5, Late: 1, Rejected: 2, Failed: 1,
			P50: 20.4}},
		Servers: []routerstandin.ServerTally{{ID: "i-1", Service: "lookup", Zone: "north", Arrivals: 8, Runs: 7}},
		Reasons: []routerstandin.Reason{{Count: 2, Text: "safe: 503"}},
		Rules: []routerstandin.Verdict{{Rule: "MIXED"},
			{Rule: "DRAIN", Violations: 2, Details: []string{"one", "two"}}}}
	var out bytes.Buffer
	c.Assert(printReport(&out, report), qt.IsNil)
	c.Assert(lines(out.String()), qt.DeepEquals, []string{
		"a note", "",
		"5.0 s at 60 requests a second", "1.00 s an event", "",
		"KIND ASKED IN TIME LATE REJECTED FAILED P50 P99", "safe 9 5 1 2 1 20 ms 0 ms", "",
		"SERVER SERVICE ZONE ROLE CALLS PREFILLS RUN REJECTED ABORTED", "i-1 lookup north - 8 0 7 0 0",
		"not served: 2 x safe: 503", "",
		"RULE STATE", "MIXED kept", "DRAIN BROKEN 2 times", "- one", "- two",
	})
	c.Assert(trialError(report, nil), qt.ErrorMatches, "rules were broken 2 times; .*")
	c.Assert(trialError(&routertrial.Report{}, nil), qt.IsNil)
	broken := errors.New("no room")
	c.Assert(trialError(report, broken), qt.Equals, broken)
}

func TestTryChecksItsFlags(t *testing.T) {
	c := qt.New(t)
	for flag, want := range map[string]string{
		"--seconds=0":    "(?s).*--seconds 0 is out of range; give 1 to 600.*",
		"--rate=9999":    "(?s).*--rate 9999 is out of range; give 1 to 500.*",
		"--trouble=rain": "(?s).*--trouble must be one of .*",
	} {
		code, _, errorOutput := run("try", flag)
		c.Check(code, qt.Equals, 2, qt.Commentf(flag))
		c.Check(errorOutput, qt.Matches, want)
	}
}
