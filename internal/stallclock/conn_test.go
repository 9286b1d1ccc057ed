package stallclock

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// tcpPair returns both ends of a TCP connection, the near one wrapped.
func tcpPair(t *testing.T, c *Clock) (near *Conn, far net.Conn) {
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
	if far, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		conn.Close()
		far.Close()
	})
	return c.Wrap(conn), far
}

// stalledClock is that of a process that has just run again after a stall.
func stalledClock(length time.Duration) *Clock {
	c := New(nil)
	c.lastRan = time.Now().Add(-length - interval)
	return c
}

// ago is a deadline that a call had before the stall.
func ago(from, at time.Duration) Deadline {
	now := time.Now()
	return Deadline{From: now.Add(-from), At: now.Add(-at)}
}

// await waits until bytes or an end have arrived.
func await(t *testing.T, conn *Conn) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !conn.hasArrived(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("nothing arrives")
		}
	}
}

func readString(conn net.Conn) (string, error) {
	var buffer [16]byte
	n, err := conn.Read(buffer[:])
	return string(buffer[:n]), err
}

// What has come while the process did not run is read, also where the limit has passed.
func TestReadTakesWhatHasCome(t *testing.T) {
	near, far := tcpPair(t, stalledClock(2*time.Second))
	if _, err := far.Write([]byte("response")); err != nil {
		t.Fatal(err)
	}
	await(t, near)
	d := ago(1900*time.Millisecond, time.Second)
	d.Limit = time.Now().Add(-500 * time.Millisecond)
	near.SetRead(d)
	if got, err := readString(near); got != "response" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	if got, err := readString(near); !errors.Is(err, os.ErrDeadlineExceeded) || near.TimedOut() {
		t.Errorf("%q, %v; timed out: %v", got, err, near.TimedOut())
	}
	far.Close()
	await(t, near)
	if _, err := readString(near); !errors.Is(err, io.EOF) {
		t.Errorf("after the end: %v", err)
	}
}

// What comes after a stall is waited for as long as the process did not run.
func TestReadWaitsForTheTimeOfTheStall(t *testing.T) {
	near, far := tcpPair(t, stalledClock(time.Minute))
	near.SetRead(ago(50*time.Second, 40*time.Second))
	go far.Write([]byte("late"))
	if got, err := readString(near); got != "late" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
}

// A process that ran has no more time, and what came long after the deadline does not count: a sender that is
// slow on purpose could go on for ever.
func TestReadEndsAtItsDeadline(t *testing.T) {
	near, far := tcpPair(t, New(nil))
	if _, err := far.Write([]byte("too late")); err != nil {
		t.Fatal(err)
	}
	await(t, near)
	near.SetRead(ago(2*time.Second, time.Second))
	if got, err := readString(near); !errors.Is(err, os.ErrDeadlineExceeded) || !near.TimedOut() {
		t.Errorf("%q, %v; timed out: %v", got, err, near.TimedOut())
	}
	near.SetReadDeadline(time.Now())
	if got, err := readString(near); got != "too late" || err != nil {
		t.Errorf("just before the deadline: %q, %v", got, err)
	}
}

// Wake ends a read whatever has come, and however long the process did not run.
func TestWakeEndsReads(t *testing.T) {
	near, far := tcpPair(t, stalledClock(time.Minute))
	if _, err := far.Write([]byte("response")); err != nil {
		t.Fatal(err)
	}
	await(t, near)
	near.SetRead(ago(time.Second, 0))
	near.Wake()
	if got, err := readString(near); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%q, %v", got, err)
	}
	if near.TimedOut() {
		t.Error("the other side counts as timed out")
	}
	near.SetReadDeadline(time.Unix(1, 0)) // the same, for those who know the connection as a net.Conn
	near.clock.InjectStall(time.Now().Add(time.Minute), time.Minute)
	if got, err := readString(near); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%q, %v", got, err)
	}
	near.SetReadDeadline(time.Time{})
	if got, err := readString(near); got != "response" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
}

// A write whose deadline has passed during a stall is done.
func TestWriteGoesOnAfterAStall(t *testing.T) {
	near, far := tcpPair(t, stalledClock(time.Minute))
	near.SetWrite(ago(50*time.Second, 49*time.Second))
	if n, err := near.Write([]byte("response")); n != 8 || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
	if got, err := readString(far); got != "response" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	near, _ = tcpPair(t, New(nil))
	near.SetWrite(ago(50*time.Second, 49*time.Second))
	if n, err := near.Write([]byte("response")); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%d bytes, %v", n, err)
	}
}
