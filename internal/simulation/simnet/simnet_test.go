package simnet

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// pair returns a network, two processes and both ends of a connection between them.
func pair(c *qt.C) (n *Network, a, b *Process, near, far net.Conn) {
	n = New()
	a, b = n.Host("10.0.0.1").NewProcess(), n.Host("10.0.0.2").NewProcess()
	listener, err := b.Listen("10.0.0.2:80")
	c.Assert(err, qt.IsNil)
	near, err = a.Dial("10.0.0.2:80", time.Second)
	c.Assert(err, qt.IsNil)
	far, err = listener.Accept()
	c.Assert(err, qt.IsNil)
	return n, a, b, near, far
}

// inBubble runs a test in a bubble.
func inBubble(t *testing.T, f func(c *qt.C)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { f(qt.New(t)) })
}

func read(c *qt.C, from net.Conn) string {
	buffer := make([]byte, 100)
	count, err := from.Read(buffer)
	c.Assert(err, qt.IsNil)
	return string(buffer[:count])
}

func TestBytesArriveInOrderAndThenTheEnd(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		n, _, _, near, far := pair(c)
		n.SetDelay([]string{"10.0.0.1"}, []string{"10.0.0.2"}, 50*time.Millisecond)
		began := time.Now()
		near.Write([]byte("one"))
		n.SetDelay([]string{"10.0.0.1"}, []string{"10.0.0.2"}, 0)
		near.Write([]byte("two"))
		near.Close()
		c.Assert(read(c, far)+read(c, far), qt.Equals, "onetwo")
		c.Assert(time.Since(began), qt.Equals, 50*time.Millisecond)
		_, err := far.Read(make([]byte, 1))
		c.Assert(err, qt.Equals, io.EOF)
	})
}

func TestDeadlines(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		_, _, _, near, _ := pair(c)
		began := time.Now()
		near.SetDeadline(began.Add(time.Second))
		_, err := near.Read(make([]byte, 1))
		c.Assert(err, qt.Equals, os.ErrDeadlineExceeded)
		c.Assert(time.Since(began), qt.Equals, time.Second)
	})
}

func TestBlackholeDelaysAndThenEnds(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		n, a, _, near, far := pair(c)
		n.SetFault([]string{"10.0.0.1"}, []string{"10.0.0.2"}, Blackhole)
		near.Write([]byte("held"))
		time.Sleep(time.Second)
		n.Heal()
		c.Assert(read(c, far), qt.Equals, "held")
		n.SetFault([]string{"10.0.0.2"}, []string{"10.0.0.1"}, Blackhole)
		near.Write([]byte("unacknowledged"))
		c.Assert(read(c, far), qt.Equals, "unacknowledged")
		_, err := near.Read(make([]byte, 1))
		c.Assert(err, qt.ErrorIs, syscall.ETIMEDOUT)
		began := time.Now()
		_, err = a.Dial("10.0.0.2:80", 700*time.Millisecond)
		c.Assert(err, qt.ErrorIs, os.ErrDeadlineExceeded)
		c.Assert(time.Since(began), qt.Equals, 700*time.Millisecond)
	})
}

func TestRefusedAndReset(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		n, a, _, near, far := pair(c)
		n.SetFault([]string{"10.0.0.1"}, []string{"10.0.0.2"}, Refuse)
		_, err := a.Dial("10.0.0.2:80", time.Second)
		c.Assert(err, qt.ErrorIs, syscall.ECONNREFUSED)
		_, err = near.Write([]byte("x"))
		c.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
		_, err = far.Read(make([]byte, 1))
		c.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
		n.Heal()
		_, err = a.Dial("10.0.0.2:81", time.Second)
		c.Assert(err, qt.ErrorIs, syscall.ECONNREFUSED, qt.Commentf("nobody listens"))
	})
}

func TestDeadProcessResetsAndDeadHostTimesOut(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		n, a, b, near, _ := pair(c)
		b.Kill()
		_, err := near.Read(make([]byte, 1))
		c.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
		_, err = b.Dial("10.0.0.1:80", time.Second)
		c.Assert(err, qt.Equals, net.ErrClosed)
		n.Host("10.0.0.2").SetDown(true)
		_, err = a.Dial("10.0.0.2:80", time.Second)
		c.Assert(err, qt.ErrorIs, os.ErrDeadlineExceeded)
	})
}

// TestLostPowerIsNoticed: a connection whose other host lost power ends once the host is back and answers
// what is sent again with a reset.
func TestLostPowerIsNoticed(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		n, _, b, near, _ := pair(c)
		n.Host("10.0.0.2").SetDown(true)
		b.Kill()
		near.SetReadDeadline(time.Now().Add(time.Second))
		_, err := near.Read(make([]byte, 1))
		c.Assert(err, qt.Equals, os.ErrDeadlineExceeded)
		near.SetReadDeadline(time.Time{})
		near.Write([]byte("x"))
		n.Host("10.0.0.2").SetDown(false)
		_, err = near.Read(make([]byte, 1))
		c.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
	})
}
