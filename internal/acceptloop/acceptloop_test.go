package acceptloop

import (
	"net"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/acceptloop/faultylistener"
)

// TestRunContinuesAfterFailures accepts what comes after failures, reports each of them, and ends with its
// listener.
func TestRunContinuesAfterFailures(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var failures []error
	accepted, ended := make(chan net.Conn), make(chan error, 1)
	short := faultylistener.New(listener, 2)
	failed := func(err error) { failures = append(failures, err) }
	go func() { ended <- Run(short, failed, func(c net.Conn) { accepted <- c }) }()
	dialled, err := net.Dial("tcp4", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer dialled.Close()
	(<-accepted).Close()
	listener.Close()
	c.Assert(<-ended, qt.Equals, net.ErrClosed)
	c.Assert(failures, qt.HasLen, 2)
	c.Assert(failures[0], qt.ErrorIs, syscall.EMFILE)
}
