package proxystandin

import (
	"net"
	"strconv"
	"syscall"
)

// reservedPort is a port of loopback that the system gives to no other socket that asks for any port, also
// while nobody listens there: what is still sent to a server that crashed is refused, and does not reach a
// server of another process.
type reservedPort struct {
	fd      int // of a socket that is bound and does not listen
	address string
}

// reservePort reserves a port that the system chooses. A socket with SO_REUSEADDR, such as package net's, can
// listen at its address.
func reservePort() (*reservedPort, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	port, err := bindAnyPort(fd)
	if err != nil {
		_ = syscall.Close(fd) // the error before says more
		return nil, err
	}
	return &reservedPort{fd: fd, address: net.JoinHostPort("127.0.0.1", strconv.Itoa(port))}, nil
}

// bindAnyPort binds a socket to a port of loopback that the system chooses, and returns it.
func bindAnyPort(fd int) (port int, err error) {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return 0, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return 0, err
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		return 0, err
	}
	return bound.(*syscall.SockaddrInet4).Port, nil
}

// release gives the port back.
func (p *reservedPort) release() { _ = syscall.Close(p.fd) }
