package childprocess

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// childRole is the environment variable that makes the test binary run as one of the children.
const childRole = "CHILDPROCESS_TEST_ROLE"

// children are the functions that the child runs in each role. Its log is its standard error.
var children = map[string]func(){
	"echo":        echoChild,
	"environment": environmentChild,
	"failing":     failingChild,
	"long line":   longLineChild,
	"never ready": neverReadyChild,
}

const readyLine = "level=INFO msg=ready listen=127.0.0.1:8080"

// waitLimit is the timeout of each wait, so that a test that hangs fails.
const waitLimit = time.Minute

func TestMain(m *testing.M) {
	if child, ok := children[os.Getenv(childRole)]; ok {
		child()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func logLine(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }

// echoChild logs each line of its standard input until SIGTERM.
func echoChild() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	logLine("level=INFO msg=\"gossip: listening\" gossip=127.0.0.1:7946")
	logLine(readyLine)
	go func() {
		for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
			logLine("received %s", lines.Text())
		}
	}()
	<-stop
	logLine("stopping")
}

// awaitInput waits for a line on the standard input. It keeps a child from ending before Run has returned.
func awaitInput() { _, _ = bufio.NewReader(os.Stdin).ReadString('\n') }

// environmentChild logs some variables of its environment.
func environmentChild() {
	for _, name := range []string{"EDGE_NAME", "CRESSHUB_NAME", "INHERITED", "GIVEN"} {
		logLine("%s=%s", name, os.Getenv(name))
	}
	logLine(readyLine)
	awaitInput()
}

// failingChild ends before it is ready.
func failingChild() {
	logLine("the cause")
	os.Exit(3)
}

// longLineChild logs the longest line that is not truncated, two longer ones, more lines than a pipe holds,
// and a line without a newline.
func longLineChild() {
	logLine(readyLine)
	awaitInput()
	logLine("%s", strings.Repeat("a", maxLineBytes-1))
	logLine("%s", strings.Repeat("b", maxLineBytes))
	logLine("%s", strings.Repeat("c", 5*maxLineBytes))
	for range linesAfterLongOnes {
		logLine("something after the long line")
	}
	fmt.Fprint(os.Stderr, "the end")
}

const linesAfterLongOnes = 1 << 16

// neverReadyChild ignores SIGTERM and never logs that it is ready.
func neverReadyChild() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	logLine("started")
	for range stop {
		logLine("going on")
	}
}

// lineLog keeps the lines of a log and calls seen, if set, with each.
type lineLog struct {
	mu    sync.Mutex
	lines []string
	seen  func(line string)
}

func (l *lineLog) Write(text []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := strings.TrimSuffix(string(text), "\n")
	l.lines = append(l.lines, line)
	if l.seen != nil {
		l.seen(line)
	}
	return len(text), nil
}

// childCommand returns the command that runs the test binary as the child of a role.
func childCommand(t *testing.T, role string, log *lineLog) Command {
	t.Helper()
	path, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return Command{
		Path: path, Env: []string{childRole + "=" + role}, Ready: "msg=ready", Log: log, Input: true,
	}
}

// sendLine sends a line to the standard input of a child.
func sendLine(t *testing.T, process *Process, line string) {
	t.Helper()
	if err := process.Send(line); err != nil {
		t.Fatal(err)
	}
}

// limitedContext returns a context that ends with the test, or after waitLimit.
func limitedContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	t.Cleanup(cancel)
	return ctx
}

// await waits until the channel is closed.
func await(t *testing.T, what string, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(waitLimit):
		t.Fatalf("%s did not happen within %v", what, waitLimit)
	}
}

func TestRunReturnsOnceTheChildIsReady(t *testing.T) {
	received := make(chan struct{})
	log := &lineLog{seen: func(line string) {
		if line == "received hello" {
			close(received)
		}
	}}
	command := childCommand(t, "echo", log)
	command.LogBuffer = 4096
	process, err := Run(limitedContext(t), command)
	if err != nil {
		t.Fatal(err)
	}
	if listen, gossip := process.Field("listen"), process.Field("gossip"); listen != "127.0.0.1:8080" ||
		gossip != "127.0.0.1:7946" {
		t.Errorf("it listens at %q, for gossip at %q", listen, gossip)
	}
	sendLine(t, process, "hello")
	await(t, "the log of what was sent", received)
	if err := process.Stop(waitLimit); err != nil {
		t.Error(err)
	}
	await(t, "the end", process.Ended())
	if tail := process.Tail(); !strings.HasSuffix(tail, readyLine+"\nreceived hello\nstopping") {
		t.Errorf("the tail is %q", tail)
	}
	if tail := strings.Join(log.lines, "\n"); tail != process.Tail() {
		t.Errorf("the copy of the log is %q", tail)
	}
}

func TestChildDoesNotInheritVariablesOfThePrograms(t *testing.T) {
	t.Setenv("EDGE_NAME", "a")
	t.Setenv("CRESSHUB_NAME", "b")
	t.Setenv("INHERITED", "c")
	log := &lineLog{}
	command := childCommand(t, "environment", log)
	command.Env = append(command.Env, "GIVEN=d")
	process, err := Run(limitedContext(t), command)
	if err != nil {
		t.Fatal(err)
	}
	sendLine(t, process, "end")
	await(t, "the end", process.Ended())
	want := []string{"EDGE_NAME=", "CRESSHUB_NAME=", "INHERITED=c", "GIVEN=d", readyLine}
	if !slices.Equal(log.lines, want) {
		t.Errorf("the log is %q, not %q", log.lines, want)
	}
}

func TestEndBeforeReadyIsAnErrorWithTheLog(t *testing.T) {
	_, err := Run(limitedContext(t), childCommand(t, "failing", &lineLog{}))
	const want = "the proxy ended at its start: exit status 3\nthe cause"
	if err == nil || err.Error() != want {
		t.Errorf("error %v, not %q", err, want)
	}
}

func TestChildThatIsNotReadyInTimeIsKilled(t *testing.T) {
	ctx, cancel := context.WithCancel(limitedContext(t))
	defer cancel()
	log := &lineLog{seen: func(string) { cancel() }}
	process, err := Run(ctx, childCommand(t, "never ready", log))
	if process != nil || !errors.Is(err, context.Canceled) || !strings.Contains(err.Error(), "was killed") ||
		!strings.Contains(err.Error(), "\nstarted\n") {
		t.Errorf("process %v, error %v", process, err)
	}
}

// Lines that are too long are truncated and the lines after them are still read, because trials search the
// whole log for faults.
func TestLogIsReadOnAfterALineThatIsTooLong(t *testing.T) {
	log := &lineLog{}
	process, err := Run(limitedContext(t), childCommand(t, "long line", log))
	if err != nil {
		t.Fatal(err)
	}
	sendLine(t, process, "go on")
	await(t, "the end", process.Ended())
	if err := process.Stop(waitLimit); err != nil {
		t.Error(err)
	}
	want := []string{readyLine, strings.Repeat("a", maxLineBytes-1),
		strings.Repeat("b", maxLineBytes) + truncationMark, strings.Repeat("c", maxLineBytes) + truncationMark}
	for range linesAfterLongOnes {
		want = append(want, "something after the long line")
	}
	want = append(want, "the end")
	if !slices.Equal(log.lines, want) {
		t.Errorf("%d lines were copied, not %d", len(log.lines), len(want))
	}
	if tail := want[len(want)-tailLines:]; process.Tail() != strings.Join(tail, "\n") {
		t.Errorf("the tail is %q", process.Tail())
	}
}
