package nettest

import (
	"fmt"
	"syscall"
	"testing"
)

// RefusingAddress returns an address on loopback that refuses connections until the test ends. Its port is
// bound, so that no other listener is given it; the port of a listener that was closed may be given to any.
func RefusingAddress(tb testing.TB) string {
	tb.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		tb.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		tb.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}
