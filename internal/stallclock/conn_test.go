package stallclock

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// tcpPair returns both ends of a TCP connection; the local end is wrapped.
func tcpPair(t *testing.T, c *Clock) (local *Conn, remote net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if remote, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		conn.Close()
		remote.Close()
	})
	return c.Wrap(conn), remote
}

// stalledClock returns the clock of a process that has just resumed after a stall.
func stalledClock(length time.Duration) *Clock {
	c := New(nil)
	c.lastRan = time.Now().Add(-length - sampleInterval)
	return c
}

// deadlineAgo returns a deadline that began and ended in the past, the given durations ago.
func deadlineAgo(from, at time.Duration) Deadline {
	now := time.Now()
	return Deadline{From: now.Add(-from), At: now.Add(-at)}
}

// awaitInput waits until bytes or the end of the connection have arrived.
func awaitInput(t *testing.T, conn *Conn) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !conn.hasPendingInput(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no input has arrived")
		}
	}
}

func readString(conn net.Conn) (string, error) {
	var buffer [16]byte
	n, err := conn.Read(buffer[:])
	return string(buffer[:n]), err
}

// TestReadReturnsInputThatArrivedDuringStall: input that arrived while the process did not run is read even
// if the limit has passed.
func TestReadReturnsInputThatArrivedDuringStall(t *testing.T) {
	local, remote := tcpPair(t, stalledClock(2*time.Second))
	if _, err := remote.Write([]byte("response")); err != nil {
		t.Fatal(err)
	}
	awaitInput(t, local)
	d := deadlineAgo(1900*time.Millisecond, time.Second)
	d.Limit = time.Now().Add(-500 * time.Millisecond)
	local.SetRead(d)
	if got, err := readString(local); got != "response" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	if got, err := readString(local); !errors.Is(err, os.ErrDeadlineExceeded) || local.TimedOut() {
		t.Errorf("%q, %v; timed out: %v", got, err, local.TimedOut())
	}
	remote.Close()
	awaitInput(t, local)
	if _, err := readString(local); !errors.Is(err, io.EOF) {
		t.Errorf("after the end: %v", err)
	}
}

// TestReadDeadlineIsExtendedByStall: after a stall, a read waits for input for as long as the process did not
// run, although its deadline has passed.
func TestReadDeadlineIsExtendedByStall(t *testing.T) {
	local, remote := tcpPair(t, stalledClock(time.Minute))
	local.SetRead(deadlineAgo(50*time.Second, 40*time.Second))
	go remote.Write([]byte("late"))
	if got, err := readString(local); got != "late" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
}

// TestReadEndsAtItsDeadline: without a stall, a deadline is not extended, and pending input is not returned
// long after it. Otherwise a sender that is slow on purpose could keep a read going forever.
func TestReadEndsAtItsDeadline(t *testing.T) {
	local, remote := tcpPair(t, New(nil))
	if _, err := remote.Write([]byte("too late")); err != nil {
		t.Fatal(err)
	}
	awaitInput(t, local)
	local.SetRead(deadlineAgo(2*time.Second, time.Second))
	if got, err := readString(local); !errors.Is(err, os.ErrDeadlineExceeded) || !local.TimedOut() {
		t.Errorf("%q, %v; timed out: %v", got, err, local.TimedOut())
	}
	local.SetReadDeadline(time.Now())
	if got, err := readString(local); got != "too late" || err != nil {
		t.Errorf("input that arrived just before the deadline: %q, %v", got, err)
	}
}

// TestInterruptReadEndsReads: InterruptRead ends a read even if input has arrived, and however long the
// process did not run.
func TestInterruptReadEndsReads(t *testing.T) {
	local, remote := tcpPair(t, stalledClock(time.Minute))
	if _, err := remote.Write([]byte("response")); err != nil {
		t.Fatal(err)
	}
	awaitInput(t, local)
	local.SetRead(deadlineAgo(time.Second, 0))
	local.InterruptRead()
	if got, err := readString(local); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%q, %v", got, err)
	}
	if local.TimedOut() {
		t.Error("the other side counts as timed out")
	}
	local.SetReadDeadline(time.Unix(1, 0)) // has the same effect, for callers that only have a net.Conn
	local.clock.InjectStall(time.Now().Add(time.Minute), time.Minute)
	if got, err := readString(local); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%q, %v", got, err)
	}
	local.SetReadDeadline(time.Time{})
	if got, err := readString(local); got != "response" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
}

// TestWriteDeadlineIsExtendedByStall: a write whose deadline passed during a stall is still carried out, and
// one whose deadline passed without a stall is not.
func TestWriteDeadlineIsExtendedByStall(t *testing.T) {
	local, remote := tcpPair(t, stalledClock(time.Minute))
	local.SetWrite(deadlineAgo(50*time.Second, 49*time.Second))
	if n, err := local.Write([]byte("response")); n != 8 || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
	if got, err := readString(remote); got != "response" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	local, _ = tcpPair(t, New(nil))
	local.SetWrite(deadlineAgo(50*time.Second, 49*time.Second))
	if n, err := local.Write([]byte("response")); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%d bytes, %v", n, err)
	}
}
