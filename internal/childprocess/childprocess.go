// Package childprocess runs this program as a child process, as an operator would start it, and follows its
// log, which it writes to its standard error. The methods of Process may be called from any goroutine.
//
// The log is read line by line. Of a line longer than maxLine the rest is left out, and a mark in its place
// says so.
package childprocess

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Process is the program as a child.
type Process struct {
	cmd    *exec.Cmd
	ended  chan struct{}  // closed once the child has ended and its log has been read
	err    error          // of its end, set before ended is closed
	input  io.WriteCloser // its standard input, nil where it has none
	stderr io.ReadCloser  // where its log is read

	logMu sync.Mutex // held by PauseLog until ResumeLog

	mu     sync.Mutex
	tail   []string          // last lines of its log
	fields map[string]string // of the lines that say where it listens
}

// tailLines is how many lines of the child's log are kept to explain a failure.
const tailLines = 20

// Command is a program to be run as a child process.
type Command struct {
	Path  string
	Args  []string
	Env   []string  // KEY=VALUE beside what is inherited
	Ready string    // text of the log line that says that it is ready
	Log   io.Writer // gets the lines of its log too, if set
	// Input lets lines be sent to its standard input.
	Input bool
	// LogBuffer is how much of its log the system holds while nobody reads it, in bytes; 0 for the usual.
	LogBuffer int
}

// Start runs the client proxy at path with a configuration file and keys that override it (KEY=VALUE), and
// waits until it logs that it is ready. Its log is also copied to log, if that is not nil.
func Start(ctx context.Context, path, file string, set []string, log io.Writer) (*Process, error) {
	args := []string{"serve", "--config", file}
	for _, pair := range set {
		args = append(args, "--set", pair)
	}
	return Run(ctx, Command{Path: path, Args: args, Ready: "msg=ready", Log: log})
}

// Run starts a command and waits until it logs that it is ready; if ctx ends first, the child is killed. The
// child does not inherit the environment variables of the project's programs, EDGE_* and CRESSHUB_*, so that
// the environment of a trial does not change its result.
func Run(ctx context.Context, command Command) (*Process, error) {
	p, err := newProcess(command)
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	ready := make(chan struct{})
	go p.follow(command, ready)
	select {
	case <-ready:
		return p, nil
	case <-p.ended:
		return nil, fmt.Errorf("the proxy ended at its start: %w\n%s", p.err, p.Tail())
	case <-ctx.Done():
		stopErr := p.Stop(0) // first, so that the log has been read to its end
		return nil, errors.Join(fmt.Errorf("the proxy was not ready: %w\n%s", ctx.Err(), p.Tail()), stopErr)
	}
}

// newProcess returns a process that has not been started, with pipes to its standard error and, if the
// command has Input, its standard input.
func newProcess(command Command) (*Process, error) {
	cmd := exec.Command(command.Path, command.Args...)
	cmd.Env = append(inheritedEnvironment(), command.Env...)
	// A group of its own, so that an interrupt at the terminal reaches it through us alone; and it ends
	// with this process, whatever ends that.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	p := &Process{cmd: cmd, stderr: stderr, ended: make(chan struct{}), fields: map[string]string{}}
	if command.Input {
		if p.input, err = cmd.StdinPipe(); err != nil {
			return nil, err
		}
	}
	if pipe, ok := stderr.(*os.File); ok && command.LogBuffer > 0 {
		if _, err := unix.FcntlInt(pipe.Fd(), unix.F_SETPIPE_SZ, command.LogBuffer); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// inheritedEnvironment returns the environment of this process without the variables of the project's
// programs.
func inheritedEnvironment() []string {
	var inherited []string
	for _, variable := range os.Environ() {
		if !strings.HasPrefix(variable, "EDGE_") && !strings.HasPrefix(variable, "CRESSHUB_") {
			inherited = append(inherited, variable)
		}
	}
	return inherited
}

// follow reads the log to its end, closes ready at the line that says so, and then waits for the process, in
// this order: Wait closes the pipe of the log.
func (p *Process) follow(command Command, ready chan<- struct{}) {
	p.readLog(command, ready)
	p.err = p.cmd.Wait()
	close(p.ended)
}

const (
	// maxLine is how much of a line of the log is kept, in bytes.
	maxLine = 64 << 10
	// truncationMark ends a line that was longer.
	truncationMark = " ... (truncated)"
)

// readLine reads the next line without its end. The error is that of the reader, once nothing is left.
func readLine(lines *bufio.Reader) (string, error) {
	raw, err := lines.ReadSlice('\n')
	line := strings.TrimSuffix(string(raw), "\n")
	if errors.Is(err, bufio.ErrBufferFull) {
		line += truncationMark
		for errors.Is(err, bufio.ErrBufferFull) {
			_, err = lines.ReadSlice('\n')
		}
	}
	if err != nil && line != "" {
		err = nil // the last line has no end; the next call returns the error
	}
	return line, err
}

// readLog reads the log to its end or until CloseLog, line by line.
func (p *Process) readLog(command Command, ready chan<- struct{}) {
	lines := bufio.NewReaderSize(p.stderr, maxLine)
	for {
		line, err := readLine(lines)
		if err != nil {
			return
		}
		p.waitWhilePaused()
		if command.Log != nil {
			_, _ = fmt.Fprintln(command.Log, line) // the copy is a convenience; Tail has the line as well
		}
		isReady := strings.Contains(line, command.Ready)
		p.record(line, isReady)
		if isReady && ready != nil {
			close(ready)
			ready = nil // further lines may have the text as well
		}
	}
}

// record keeps a line for Tail, and the fields of one that says where the process listens.
func (p *Process) record(line string, isReady bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tail = append(p.tail, line)
	p.tail = p.tail[max(0, len(p.tail)-tailLines):]
	if !isReady && !strings.Contains(line, ": listening\"") {
		return
	}
	for _, pair := range strings.Fields(line) {
		if key, value, ok := strings.Cut(pair, "="); ok {
			p.fields[key] = value
		}
	}
}

// Field returns a value that it said when it began to listen: listen, operator, gossip; "" where it did not.
func (p *Process) Field(key string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fields[key]
}

// Tail returns the last lines of its log.
func (p *Process) Tail() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.tail, "\n")
}

// Signal sends it a signal.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Send sends a line to its standard input.
func (p *Process) Send(line string) error {
	_, err := io.WriteString(p.input, line+"\n")
	return err
}

// waitWhilePaused waits while reading the log is paused.
func (p *Process) waitWhilePaused() {
	p.logMu.Lock()
	defer p.logMu.Unlock()
}

// PauseLog stops reading its log until ResumeLog, like a log collector that has stalled.
func (p *Process) PauseLog() { p.logMu.Lock() }

// ResumeLog reads its log again after PauseLog.
func (p *Process) ResumeLog() { p.logMu.Unlock() }

// CloseLog closes the reading end of its log, like a log collector that has died.
func (p *Process) CloseLog() error { return p.stderr.Close() }

// ID returns its process ID.
func (p *Process) ID() int { return p.cmd.Process.Pid }

// Ended returns a channel that is closed once it has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Kill ends it with SIGKILL and waits.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill() // an error means that it has ended already
	<-p.ended
}

// Stop sends SIGTERM, and SIGKILL if the process has not ended within wait. An end by a signal or with a
// status other than 0 is an error.
func (p *Process) Stop(wait time.Duration) error {
	_ = p.Signal(syscall.SIGTERM) // an error means that it has ended already
	select {
	case <-p.ended:
		if p.err != nil {
			return fmt.Errorf("the proxy ended badly: %w\n%s", p.err, p.Tail())
		}
		return nil
	case <-time.After(wait):
		p.Kill()
		return errors.New("the proxy did not end when asked to and was killed")
	}
}
