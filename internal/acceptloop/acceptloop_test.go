package acceptloop

import (
	"net"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/acceptloop/faultylistener"
)

// TestRunContinuesAfterFailures checks that Run reports each failure to accept, accepts the connection after
// them, and returns when its listener closes.
func TestRunContinuesAfterFailures(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var failures []error
	accepted, returned := make(chan net.Conn), make(chan error, 1)
	faulty := faultylistener.New(listener, 2)
	onError := func(err error) { failures = append(failures, err) }
	go func() { returned <- Run(faulty, onError, func(c net.Conn) { accepted <- c }) }()
	client, err := net.Dial("tcp4", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer client.Close()
	(<-accepted).Close()
	listener.Close()
	c.Assert(<-returned, qt.Equals, net.ErrClosed)
	c.Assert(failures, qt.HasLen, 2)
	c.Assert(failures[0], qt.ErrorIs, syscall.EMFILE)
}
