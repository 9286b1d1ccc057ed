package transport

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is how long transmitted data may stay unacknowledged by the peer's machine before the kernel
// closes the connection.
const userTimeout = 2 * time.Second

// setUserTimeout sets TCP_USER_TIMEOUT (RFC 5482) if the connection has a socket. Without it, such a
// connection would end later, through the timeouts of its callers.
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
	_ = raw.Control(func(fd uintptr) { // fails only if the connection has ended
		_ = unix.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	})
}
