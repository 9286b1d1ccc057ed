// Package faultinject injects faults into one running process: partitions between it and other machines, a
// disk that is full, hangs or is slow, connections that can't be accepted, and a SIGKILL at a numbered point.
// Commands change the faults while the process runs, one a line on its standard input or as --fault on its
// command line (cresshub-fleet faulty-router). It is for soaks (package routertrial), which judge; a process
// in service does not use it.
//
// Faults has the state, behind one lock. The process works through Faults.Network and Faults.Files, which
// consult it at each operation: what a partition or a hanging disk holds up polls until it may go on. A
// partition withholds what was received instead of losing it, as TCP does, and resets connections that were
// cut for longer than userTimeout when it heals.
//
// The numbered points are the begin and the end of each operation that changes the disk, and each write to a
// connection; the number counts those passed since the command.
package faultinject

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The commands, one a line, with their arguments. The words are those of scripts and logs.
const (
	// CommandDeaf IP...: nothing that these machines send is received any more.
	CommandDeaf = "deaf"
	// CommandMute IP...: no connection to these machines is established any more.
	CommandMute = "mute"
	// CommandHeal heals all partitions; connections that were cut for more than userTimeout are reset.
	CommandHeal = "hear"
	// CommandDisk MODE: the disk is ok, full, hangs or is slow.
	CommandDisk = "disk"
	// CommandRefuse N: the next N attempts to accept a connection fail with EMFILE.
	CommandRefuse = "refuse"
	// CommandEnd N: the process kills itself at the Nth numbered point from now on; 0 cancels that.
	CommandEnd = "end"
)

// DiskMode is how the disk behaves.
type DiskMode string

// The modes of a disk.
const (
	DiskOK   DiskMode = "ok"
	DiskFull DiskMode = "full"
	DiskHang DiskMode = "hang"
	DiskSlow DiskMode = "slow"
)

var diskModes = []DiskMode{DiskOK, DiskFull, DiskHang, DiskSlow}

const (
	// pollInterval is how often an operation that is held up checks whether it may go on.
	pollInterval = 5 * time.Millisecond
	// slowDiskDelay is added to each operation of a slow disk.
	slowDiskDelay = 60 * time.Millisecond
	// userTimeout is how long a partition may last until connections through it are reset when it heals.
	userTimeout = 2 * time.Second
)

// Faults are the faults of one process. Its methods are safe for concurrent use.
type Faults struct {
	exit func() // ends the process on the spot

	mu       sync.Mutex
	deaf     map[string]time.Time // since when, by IP
	mute     map[string]bool
	disk     DiskMode
	refusals int // attempts to accept that are still to fail
	exitIn   int // numbered points until the process kills itself, 0 for never
	conns    map[*conn]struct{}
}

// New returns the faults of this process: none so far.
func New() *Faults {
	kill := func() { _ = syscall.Kill(syscall.Getpid(), syscall.SIGKILL) }
	return &Faults{exit: kill, deaf: map[string]time.Time{}, mute: map[string]bool{}, disk: DiskOK,
		conns: map[*conn]struct{}{}}
}

// UnknownCommandError reports a line that is no command.
type UnknownCommandError struct{ Line string }

func (e *UnknownCommandError) Error() string {
	return fmt.Sprintf("%q is no command; see the commands of package faultinject", e.Line)
}

// Obey executes commands, one a line, until the reader ends. It returns the first error.
func (f *Faults) Obey(r io.Reader) error {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if err := f.Do(lines.Text()); err != nil {
			return err
		}
	}
	return lines.Err()
}

// commandNumber returns the number that a command has, 0 for one that takes none.
func commandNumber(words []string) (int, error) {
	if words[0] != CommandRefuse && words[0] != CommandEnd {
		return 0, nil
	}
	if len(words) != 2 {
		return 0, strconv.ErrSyntax
	}
	return strconv.Atoi(words[1])
}

// Do executes one command; an empty line is none. The error is an *UnknownCommandError.
func (f *Faults) Do(line string) error {
	words := strings.Fields(line)
	if len(words) == 0 {
		return nil
	}
	number, err := commandNumber(words)
	if err != nil {
		return &UnknownCommandError{line}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch words[0] {
	case CommandDeaf:
		for _, ip := range words[1:] {
			f.deaf[ip] = time.Now()
		}
	case CommandMute:
		for _, ip := range words[1:] {
			f.mute[ip] = true
		}
	case CommandHeal:
		f.heal()
	case CommandDisk:
		mode := DiskMode(strings.Join(words[1:], " "))
		if !slices.Contains(diskModes, mode) {
			return &UnknownCommandError{line}
		}
		f.disk = mode
	case CommandRefuse:
		f.refusals = number
	case CommandEnd:
		f.exitIn = number
	default:
		return &UnknownCommandError{line}
	}
	return nil
}

// heal heals all partitions; the lock is held.
func (f *Faults) heal() {
	for c := range f.conns {
		if since, partitioned := f.deaf[c.peer]; partitioned && time.Since(since) > userTimeout {
			_ = c.TCPConn.SetLinger(0)
			go func() { _ = c.Close() }() // it takes the lock; a failed close leaves nothing to be done
		}
	}
	clear(f.deaf)
	clear(f.mute)
}

// passPoint passes a numbered point, at which the process kills itself if that is due.
func (f *Faults) passPoint() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.exitIn == 0 {
		return
	}
	if f.exitIn--; f.exitIn == 0 {
		f.exit()
	}
}

func (f *Faults) isDeaf(ip string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, partitioned := f.deaf[ip]
	return partitioned
}

// isPartitioned reports whether no connection to a machine can be established.
func (f *Faults) isPartitioned(ip string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, deaf := f.deaf[ip]
	return deaf || f.mute[ip]
}

// consumeRefusal reports whether an attempt to accept is to fail.
func (f *Faults) consumeRefusal() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refusals == 0 {
		return false
	}
	f.refusals--
	return true
}

func (f *Faults) diskMode() DiskMode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.disk
}
