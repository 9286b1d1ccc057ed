// Package faultinject puts faults into one running process: partitions between it and other machines, a disk
// that is full or hangs, connections that can't be accepted, and an end at a numbered point. Commands change
// them while the process runs. It is for soaks; a process in service does not use it.
package faultinject

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The commands, one a line, with their arguments.
const (
	// CommandDeaf IP...: nothing that these machines send is heard any more.
	CommandDeaf = "deaf"
	// CommandMute IP...: no connection to these machines comes about any more.
	CommandMute = "mute"
	// CommandHeal heals all partitions; connections that were cut for long end with a reset, others go on.
	CommandHeal = "hear"
	// CommandDisk MODE: the disk is ok, full, hangs or is slow.
	CommandDisk = "disk"
	// CommandRefuse N: the next N attempts to accept a connection fail for want of descriptors.
	CommandRefuse = "refuse"
	// CommandEnd N: the process kills itself at the Nth numbered point from now on.
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

const (
	// pollInterval is how often what is held up looks whether it may go on.
	pollInterval = 5 * time.Millisecond
	// slowDiskDelay is what each operation of a slow disk takes besides.
	slowDiskDelay = 60 * time.Millisecond
	// userTimeout is how long a partition may last until connections through it end with a reset.
	userTimeout = 2 * time.Second
)

// Faults are those of one process. Its methods are safe for concurrent use.
type Faults struct {
	exit func() // ends the process on the spot

	mu       sync.Mutex
	deaf     map[string]time.Time // since when, by IP
	mute     map[string]bool
	disk     DiskMode
	refusals int // tries to accept that are still to fail
	exitIn   int // numbered points until the end, 0 for no end
	conns    map[*conn]struct{}
}

// New returns a process's faults: none.
func New() *Faults {
	kill := func() { _ = syscall.Kill(syscall.Getpid(), syscall.SIGKILL) }
	return &Faults{exit: kill, deaf: map[string]time.Time{}, mute: map[string]bool{}, disk: DiskOK,
		conns: map[*conn]struct{}{}}
}

// UnknownCommandError says that a line is no command.
type UnknownCommandError struct{ Line string }

func (e *UnknownCommandError) Error() string {
	return fmt.Sprintf("%q is no command; see the commands of package faultinject", e.Line)
}

// Obey carries commands out, one a line, until the reader ends. It returns the first error.
func (f *Faults) Obey(r io.Reader) error {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if err := f.Do(lines.Text()); err != nil {
			return err
		}
	}
	return lines.Err()
}

// Do carries one command out.
func (f *Faults) Do(line string) error {
	words := strings.Fields(line)
	if len(words) == 0 {
		return nil
	}
	number := 0
	if len(words) > 1 {
		number, _ = strconv.Atoi(words[1])
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
		f.disk = DiskMode(strings.Join(words[1:], " "))
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
			go c.Close()
		}
	}
	clear(f.deaf)
	clear(f.mute)
}

// passPoint is one numbered point, at which the process may be told to end.
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

// isPartitioned reports whether no connection to a machine comes about.
func (f *Faults) isPartitioned(ip string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, deaf := f.deaf[ip]
	return deaf || f.mute[ip]
}

// takeRefusal reports whether an attempt to accept is to fail.
func (f *Faults) takeRefusal() bool {
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
