package connbuffer

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Whatever the sizes of reads and writes, a Buffer returns the same bytes in the same order, and never holds
// more than its capacity.
func TestBufferKeepsOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	b := New(7)
	var put, taken []byte
	for range 2000 {
		piece := make([]byte, rng.IntN(10))
		for i := range piece {
			piece[i] = byte(rng.Uint32())
		}
		if rng.IntN(2) == 0 {
			put = append(put, piece[:b.Append(piece)]...)
		} else {
			n, _ := b.Fill(bytes.NewReader(piece))
			put = append(put, piece[:n]...)
		}
		if b.Len()+b.Free() != 7 {
			t.Fatalf("Len %d and Free %d of 7", b.Len(), b.Free())
		}
		out := make([]byte, rng.IntN(5))
		taken = append(taken, out[:b.Consume(out)]...)
	}
	var rest bytes.Buffer
	if err := b.Drain(&rest); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(put, append(taken, rest.Bytes()...)); diff != "" {
		t.Error(diff)
	}
}

func TestDrainKeepsUnwrittenBytes(t *testing.T) {
	b := New(8)
	b.Append([]byte("abc"))
	if err := b.Drain(failingWriter{1}); !errors.Is(err, io.ErrClosedPipe) || b.Len() != 2 {
		t.Errorf("error %v and %d bytes left, want a closed pipe and 2", err, b.Len())
	}
}

// failingWriter reports n bytes written and an error for each Write.
type failingWriter struct{ n int }

func (w failingWriter) Write(p []byte) (int, error) { return w.n, io.ErrClosedPipe }

func TestConnTransfersMoreThanItsBuffers(t *testing.T) {
	x, y := net.Pipe()
	a, b := NewConn(x), NewConn(y)
	want := bytes.Repeat([]byte("0123456789"), Size)
	go func() {
		a.Out.Write(want)
		a.Flush()
		a.Close()
	}()
	got, err := io.ReadAll(iotest.OneByteReader(b.In))
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("%d bytes received, %v; want %d", len(got), err, len(want))
	}
}

// connected returns the two ends of a TCP connection over loopback.
func connected(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if near, err = net.Dial("tcp", l.Addr().String()); err == nil {
		far, err = l.Accept()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

// Quiet checks the socket even after the read deadline has passed.
func TestQuiet(t *testing.T) {
	near, far := connected(t)
	c := NewConn(near)
	c.SetReadDeadline(time.Unix(1, 0))
	if !c.Quiet() {
		t.Error("not quiet, though nothing was sent")
	}
	for event, trigger := range map[string]func(){
		"a byte": func() { far.Write([]byte{1}) }, "an end of file": func() { far.Close() },
	} {
		trigger()
		deadline := time.Now().Add(20 * time.Second)
		for c.Quiet() && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		if c.Quiet() {
			t.Errorf("Quiet does not notice %s", event)
		}
	}
}

// The kernel reports a reset only once and an end of file from then on. Later reads must still return the
// reset, whether a Read or a peek at the socket was the first to get it.
func TestResetIsRetained(t *testing.T) {
	for _, peeksFirst := range []bool{false, true} { // whether PeerClosed gets the reset before Read
		near, far := connected(t)
		far.Write([]byte("ab"))
		far.(*net.TCPConn).SetLinger(0)
		far.Close()
		c := NewConn(near)
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		if peeksFirst {
			for deadline := time.Now().Add(20 * time.Second); !c.PeerClosed() && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
		}
		if b, err := c.In.Peek(2); err != nil || string(b) != "ab" {
			t.Fatalf("%q, %v", b, err)
		}
		c.In.Discard(2)
		if peeksFirst && c.Quiet() {
			t.Error("Quiet does not notice the reset")
		}
		for range 3 {
			if _, err := c.In.Peek(1); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("peeked first: %v; %v", peeksFirst, err)
			}
		}
	}
}
