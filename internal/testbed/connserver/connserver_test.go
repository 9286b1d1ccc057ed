package connserver

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/connbuffer"
)

// readAll serves a connection until its other side, or the listener, closes it.
func readAll(conn *connbuffer.Conn) { _, _ = io.Copy(io.Discard, conn.In) }

// TestCloseWhileConnectionsArrive: a connection that is accepted at the moment of Close is closed with the
// others, and Close waits for its goroutine. A WaitGroup that counted only the connections would be reused
// here while Close waits.
func TestCloseWhileConnectionsArrive(t *testing.T) {
	c := qt.New(t)
	const listeners = 500
	for range listeners {
		l, err := Listen("127.0.0.1:0", 0, readAll)
		c.Assert(err, qt.IsNil)
		dialled, err := net.Dial("tcp", l.Address()) // it may still be in the backlog
		c.Assert(err, qt.IsNil)
		l.Close(false)
		l.all.Wait() // does not wait again: no goroutine was started since
		_, err = dialled.Read(make([]byte, 1))
		c.Assert(err, qt.IsNotNil)
		dialled.Close()
	}
}

// TestCloseResetsConnections: with reset the other side's read fails, without it sees the end of the stream.
func TestCloseResetsConnections(t *testing.T) {
	c := qt.New(t)
	for _, reset := range []bool{false, true} {
		served := make(chan struct{})
		l, err := Listen("127.0.0.1:0", 0, func(conn *connbuffer.Conn) {
			close(served)
			readAll(conn)
		})
		c.Assert(err, qt.IsNil)
		dialled, err := net.Dial("tcp", l.Address())
		c.Assert(err, qt.IsNil)
		<-served
		l.Close(reset)
		_, err = dialled.Read(make([]byte, 1))
		c.Assert(err == io.EOF, qt.Equals, !reset, qt.Commentf("%v", err))
		dialled.Close()
	}
}

// TestConnectionsBeyondTheMaximumAreClosed: the ones within it are served on.
func TestConnectionsBeyondTheMaximumAreClosed(t *testing.T) {
	c := qt.New(t)
	l, err := Listen("127.0.0.1:0", 1, func(conn *connbuffer.Conn) {
		_, _ = conn.Conn.Write([]byte("x"))
		readAll(conn)
	})
	c.Assert(err, qt.IsNil)
	defer l.Close(false)
	first, err := net.Dial("tcp", l.Address())
	c.Assert(err, qt.IsNil)
	defer first.Close()
	_, err = io.ReadFull(first, make([]byte, 1))
	c.Assert(err, qt.IsNil)
	second, err := net.Dial("tcp", l.Address())
	c.Assert(err, qt.IsNil)
	defer second.Close()
	_, err = second.Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
	c.Assert(first.SetReadDeadline(time.Unix(1, 0)), qt.IsNil)
	_, err = first.Read(make([]byte, 1))
	c.Assert(err, qt.ErrorMatches, ".*i/o timeout")
}
