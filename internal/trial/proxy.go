package trial

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
)

// Proxy is the program itself as a child process, started as an operator would start it.
type Proxy struct {
	Address string
	cmd     *exec.Cmd
	ended   chan struct{}
	err     error

	mu   sync.Mutex
	tail []string // last lines of its log
}

// tailLines is how many lines of the child's log are kept to explain a failure.
const tailLines = 20

// StartProxy starts program with a configuration file and keys set beside it, and waits until it listens.
// Its log also goes to log, if there is one.
func StartProxy(ctx context.Context, program, file string, set []string, log io.Writer) (*Proxy, error) {
	cmd := exec.Command(program, "serve", "--config", file)
	for _, pair := range set {
		cmd.Args = append(cmd.Args, "--set", pair)
	}
	for _, v := range os.Environ() { // what this shell has set must not change what is tried
		if !strings.HasPrefix(v, "EDGE_") && !strings.HasPrefix(v, "CRESSHUB_") {
			cmd.Env = append(cmd.Env, v)
		}
	}
	// A group of its own, so that an interrupt at the terminal reaches it through us alone; and it ends
	// with this process, whatever ends that.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Proxy{cmd: cmd, ended: make(chan struct{})}
	ready := make(chan string, 1)
	go p.follow(out, log, ready)
	select {
	case p.Address = <-ready:
		return p, nil
	case <-p.ended:
		return nil, fmt.Errorf("the proxy ended at its start: %v\n%s", p.err, p.Tail())
	case <-ctx.Done():
		p.Stop(0)
		return nil, ctx.Err()
	}
}

// follow reads the log until the process ends.
func (p *Proxy) follow(out io.Reader, log io.Writer, ready chan<- string) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		line := lines.Text()
		if log != nil {
			fmt.Fprintln(log, line)
		}
		p.mu.Lock()
		p.tail = append(p.tail, line)
		p.tail = p.tail[max(0, len(p.tail)-tailLines):]
		p.mu.Unlock()
		if _, address, ok := strings.Cut(line, "msg=ready"); ok {
			_, address, _ = strings.Cut(address, "listen=")
			address, _, _ = strings.Cut(address, " ")
			select {
			case ready <- address:
			default:
			}
		}
	}
	io.Copy(io.Discard, out)
	p.err = p.cmd.Wait()
	close(p.ended)
}

// Tail is the end of its log.
func (p *Proxy) Tail() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.tail, "\n")
}

// Signal sends it a signal.
func (p *Proxy) Signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// Stop asks it to end, waits, and kills it where that takes too long. An end other than by itself and with
// status 0 is an error.
func (p *Proxy) Stop(wait time.Duration) error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		if p.err != nil {
			return fmt.Errorf("the proxy ended badly: %w\n%s", p.err, p.Tail())
		}
		return nil
	case <-time.After(wait):
		p.cmd.Process.Kill()
		<-p.ended
		return errors.New("the proxy did not end when asked to and was killed")
	}
}
