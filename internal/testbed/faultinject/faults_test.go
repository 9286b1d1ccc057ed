package faultinject

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// patience bounds every wait of a test; no verdict depends on how much of it is used.
const patience = 20 * time.Second

const (
	here  = "127.0.0.1"
	there = "127.0.0.2"
)

// pair returns both ends of a connection between two machines with faults of their own.
func pair(c *qt.C, dialler, listener *Faults) (dialled, accepted net.Conn) {
	l, err := listener.Network(there, "").Listen(there + ":0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	dialled, err = dialler.Network(here, "").Dial(l.Addr().String(), patience)
	c.Assert(err, qt.IsNil)
	accepted, err = l.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { dialled.Close(); accepted.Close() })
	return dialled, accepted
}

// TestPartitionWithholds: what is sent through a partition comes once it has ended, and a read ends at its
// deadline meanwhile.
func TestPartitionWithholds(t *testing.T) {
	c := qt.New(t)
	ours, theirs := New(), New()
	dialled, accepted := pair(c, ours, theirs)
	c.Assert(theirs.Do(CommandDeaf+" "+here), qt.IsNil)
	_, err := dialled.Write([]byte("a"))
	c.Assert(err, qt.IsNil)
	accepted.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	one := make([]byte, 1)
	_, err = accepted.Read(one)
	c.Assert(err, qt.ErrorIs, os.ErrDeadlineExceeded)
	accepted.SetReadDeadline(time.Time{})
	theirs.mu.Lock()
	theirs.deaf[here] = time.Now().Add(patience) // it is short, also where this process is stalled
	theirs.mu.Unlock()
	c.Assert(theirs.Do(CommandHeal), qt.IsNil)
	_, err = io.ReadFull(accepted, one)
	c.Assert(err, qt.IsNil)
	c.Assert(string(one), qt.Equals, "a")
}

// TestLongPartitionResets: a connection that was cut for longer than userTimeout is reset.
func TestLongPartitionResets(t *testing.T) {
	c := qt.New(t)
	ours, theirs := New(), New()
	dialled, accepted := pair(c, ours, theirs)
	theirs.deaf[here] = time.Now().Add(-2 * userTimeout)
	c.Assert(theirs.Do(CommandHeal), qt.IsNil)
	_, err := dialled.Read(make([]byte, 1))
	c.Assert(err, qt.Not(qt.IsNil))
	_, err = accepted.Read(make([]byte, 1))
	c.Assert(err, qt.Not(qt.IsNil))
}

// TestPartitionPreventsNewConnections to a machine, whichever direction is cut.
func TestPartitionPreventsNewConnections(t *testing.T) {
	for _, command := range []string{CommandDeaf, CommandMute} {
		faults := New()
		qt.Assert(t, faults.Do(command+" "+there), qt.IsNil)
		_, err := faults.Network(here, "").Dial(there+":1", time.Millisecond)
		qt.Assert(t, err, qt.ErrorIs, os.ErrDeadlineExceeded)
	}
}

// TestAcceptFailsAsOftenAsRequested: after that, connections are accepted again.
func TestAcceptFailsAsOftenAsRequested(t *testing.T) {
	c := qt.New(t)
	faults := New()
	l, err := faults.Network(here, "").Listen(here + ":0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	c.Assert(faults.Do(CommandRefuse+" 1"), qt.IsNil)
	for range 2 {
		dialled, err := net.Dial("tcp4", l.Addr().String())
		c.Assert(err, qt.IsNil)
		defer dialled.Close()
	}
	_, err = l.Accept()
	c.Assert(err, qt.ErrorIs, syscall.EMFILE)
	accepted, err := l.Accept()
	c.Assert(err, qt.IsNil)
	accepted.Close()
}

// TestDiskModes: a full disk refuses writes and lets reads pass, and one that hung goes on.
func TestDiskModes(t *testing.T) {
	c := qt.New(t)
	faults := New()
	disk, name := faults.Files(), filepath.Join(t.TempDir(), "file")
	file, err := disk.Create(name)
	c.Assert(err, qt.IsNil)
	defer file.Close()
	c.Assert(faults.Do("disk full"), qt.IsNil)
	n, err := file.WriteAt([]byte("abcd"), 0)
	c.Assert(err, qt.ErrorIs, syscall.ENOSPC)
	c.Assert(n, qt.Equals, 2)
	raw, err := disk.ReadFile(name)
	c.Assert(err, qt.IsNil)
	c.Assert(string(raw), qt.Equals, "ab")
	c.Assert(faults.Do("disk hang"), qt.IsNil)
	done := make(chan error)
	go func() { done <- file.Sync() }()
	select {
	case <-done:
		t.Fatal("a hanging disk answered")
	default:
	}
	c.Assert(faults.Do("disk ok"), qt.IsNil)
	c.Assert(<-done, qt.IsNil)
}

// TestProcessEndsAtANumberedPoint tries each point of a write in turn.
func TestProcessEndsAtANumberedPoint(t *testing.T) {
	c := qt.New(t)
	for point := 1; point <= 3; point++ {
		faults, ended := New(), 0
		faults.exit = func() { ended++ }
		file, err := faults.Files().Create(filepath.Join(t.TempDir(), "file"))
		c.Assert(err, qt.IsNil)
		c.Assert(faults.Do("end "+string(rune('0'+point))), qt.IsNil)
		_, err = file.WriteAt([]byte("a"), 0)
		c.Assert(err, qt.IsNil)
		c.Assert(ended == 1, qt.Equals, point <= 2)
		c.Assert(file.Sync(), qt.IsNil)
		c.Assert(ended, qt.Equals, 1)
		file.Close()
	}
	c.Assert(New().Do("nonsense"), qt.ErrorAs, new(*UnknownCommandError))
}

// TestWrongCommandsAreRejected: none is passed over, as a trial would miss its fault.
func TestWrongCommandsAreRejected(t *testing.T) {
	c := qt.New(t)
	for _, line := range []string{"rain", "disk", "disk broken", "refuse", "refuse some", "end 1 2"} {
		var unknown *UnknownCommandError
		c.Check(New().Obey(strings.NewReader("hear\n\n"+line+"\ndeaf 10.0.0.1\n")), qt.ErrorAs, &unknown)
		c.Check(unknown.Line, qt.Equals, line)
	}
	c.Check(New().Obey(strings.NewReader("disk full\nrefuse 3\nend 0\nmute 10.0.0.1 10.0.0.2\nhear")), qt.IsNil)
}
