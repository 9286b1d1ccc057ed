// Package childprocess runs a program of this project as a child process, as an operator would start it, and
// reads the log that the child writes to its standard error. The methods of Process may be called from any
// goroutine.
//
// The log is read line by line. A line longer than maxLineBytes is truncated, and truncationMark is appended.
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

// Process is a running or ended child process.
type Process struct {
	cmd    *exec.Cmd
	ended  chan struct{}  // closed once the child has ended and its log has been read
	err    error          // from waiting for the child, set before ended is closed
	input  io.WriteCloser // the child's standard input, nil without Command.Input
	stderr io.ReadCloser  // reading end of the pipe with the child's log

	logMu sync.Mutex // locked from PauseLog to ResumeLog, to stop reading the log

	mu     sync.Mutex
	tail   []string          // last lines of the log, at most tailLines
	fields map[string]string // fields of the log lines that report addresses or readiness, by key
}

// tailLines is the number of last lines of the child's log that are kept for error messages.
const tailLines = 20

// Command is a program to be run as a child process.
type Command struct {
	Path  string
	Args  []string
	Env   []string  // KEY=VALUE, in addition to the inherited variables
	Ready string    // text in the log line that reports that the child is ready
	Log   io.Writer // gets a copy of each line of the log, if not nil
	// Input makes the child's standard input a pipe, so that Process.Send can write lines to it.
	Input bool
	// LogBuffer is the capacity of the pipe that carries the log, in bytes; 0 for the system's default.
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

// newProcess returns a process that is not yet started, with pipes to its standard error and, if the
// command has Input, its standard input.
func newProcess(command Command) (*Process, error) {
	cmd := exec.Command(command.Path, command.Args...)
	cmd.Env = append(inheritedEnvironment(), command.Env...)
	// The child gets its own process group, so that the terminal does not send it an interrupt directly and
	// only this process signals it. Pdeathsig kills it when this process ends for whatever reason.
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

// follow reads the log to its end, closes ready at the line that reports readiness, and then waits for the
// process. It waits only after reading, because Wait closes the pipe of the log.
func (p *Process) follow(command Command, ready chan<- struct{}) {
	p.readLog(command, ready)
	p.err = p.cmd.Wait()
	close(p.ended)
}

const (
	// maxLineBytes is the number of bytes of a log line that are kept.
	maxLineBytes = 64 << 10
	// truncationMark is appended to a truncated line.
	truncationMark = " ... (truncated)"
)

// readLine reads the next line without its newline. It returns the reader's error once no line is left.
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
		err = nil // the last line has no newline; the next call returns the error
	}
	return line, err
}

// readLog reads the log to its end or until CloseLog, line by line.
func (p *Process) readLog(command Command, ready chan<- struct{}) {
	lines := bufio.NewReaderSize(p.stderr, maxLineBytes)
	for {
		line, err := readLine(lines)
		if err != nil {
			return
		}
		p.waitWhilePaused()
		if command.Log != nil {
			_, _ = fmt.Fprintln(command.Log, line) // a failed copy is ignored; Tail has the line as well
		}
		isReady := strings.Contains(line, command.Ready)
		p.record(line, isReady)
		if isReady && ready != nil {
			close(ready)
			ready = nil // later lines may contain the text as well
		}
	}
}

// record keeps a line for Tail, and for Field the fields of a line that reports readiness or an address that
// the process listens on.
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

// Field returns a field of the log lines that reported the child's readiness and addresses, such as listen,
// operator or gossip; "" if it was not logged.
func (p *Process) Field(key string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fields[key]
}

// Tail returns the last lines of the child's log.
func (p *Process) Tail() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.tail, "\n")
}

// Signal sends the child a signal.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Send writes a line to the child's standard input. It needs Command.Input.
func (p *Process) Send(line string) error {
	_, err := io.WriteString(p.input, line+"\n")
	return err
}

// waitWhilePaused blocks while reading of the log is paused.
func (p *Process) waitWhilePaused() {
	p.logMu.Lock()
	defer p.logMu.Unlock()
}

// PauseLog stops reading the child's log until ResumeLog, to simulate a stalled log collector.
func (p *Process) PauseLog() { p.logMu.Lock() }

// ResumeLog resumes reading the child's log after PauseLog.
func (p *Process) ResumeLog() { p.logMu.Unlock() }

// CloseLog closes the reading end of the child's log, to simulate a log collector that has crashed.
func (p *Process) CloseLog() error { return p.stderr.Close() }

// ID returns the child's process ID.
func (p *Process) ID() int { return p.cmd.Process.Pid }

// Ended returns a channel that is closed once the child has ended and its log has been read.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Kill sends SIGKILL and waits until the child has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill() // an error means that it has ended already
	<-p.ended
}

// Stop sends SIGTERM, and SIGKILL if the child has not ended within timeout. It returns an error if the child
// was ended by a signal or with a status other than 0.
func (p *Process) Stop(timeout time.Duration) error {
	_ = p.Signal(syscall.SIGTERM) // an error means that it has ended already
	select {
	case <-p.ended:
		if p.err != nil {
			return fmt.Errorf("the proxy exited with an error: %w\n%s", p.err, p.Tail())
		}
		return nil
	case <-time.After(timeout):
		p.Kill()
		return errors.New("the proxy did not end after SIGTERM and was killed")
	}
}
