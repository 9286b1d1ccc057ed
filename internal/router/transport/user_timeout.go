package transport

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout ends a connection when the other machine has acknowledged nothing that was sent for that long.
const userTimeout = 2 * time.Second

// setUserTimeout sets TCP_USER_TIMEOUT (RFC 5482) where the connection is one of the system. Without it such
// a connection ends later, by its callers' timeouts.
func setUserTimeout(c net.Conn) {
	tcp, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	milliseconds := int(userTimeout / time.Millisecond)
	_ = raw.Control(func(fd uintptr) { // fails only where the connection has ended
		_ = unix.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	})
}
