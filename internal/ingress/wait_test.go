package ingress

import (
	"io"
	"net"
	"testing"

	"cresshub/internal/ring"
)

func pair() (*client, net.Conn) {
	near, far := net.Pipe()
	return &client{Conn: ring.NewConn(near), woken: make(chan struct{}, 1)}, far
}

// A wake may come before its wait, during it, or with the next request already there; none is lost.
func TestWakeIsNotLost(t *testing.T) {
	c, far := pair()
	for range 100 {
		go c.Wake()
		if err := c.Wait(); err != nil {
			t.Fatal(err)
		}
	}
	c.Wake()
	if err := c.Wait(); err != nil {
		t.Fatal(err)
	}
	go func() {
		io.WriteString(far, "early")
		c.Wake()
	}()
	if err := c.Wait(); err != nil {
		t.Fatal(err)
	}
	if c.In.Buffered() != len("early") {
		t.Errorf("%d bytes of the next request kept", c.In.Buffered())
	}
}

func TestWaitNoticesThatTheClientLeft(t *testing.T) {
	c, far := pair()
	go far.Close()
	if err := c.Wait(); err == nil {
		t.Error("the client is still there")
	}
}
