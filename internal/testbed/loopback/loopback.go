// Package loopback gives tests and trials loopback addresses that they have for themselves. A port of
// 127.0.0.1 may be given to any process of the machine as soon as its listener has closed, so that whoever
// still calls a process that has ended can reach a process of another test. Nobody else listens at the
// addresses of this package.
package loopback

import (
	"math/rand/v2"
	"net"
	"os"
)

const (
	loopbackNet = 127
	// firstOwnIP is the second octet of the first IP that OwnIP returns, firstDrawnIP that of DrawIP. Both
	// return IPs of 22 bits, as many as a process id has.
	firstOwnIP   = 128
	firstDrawnIP = 192
	bits         = 22
)

// OwnIP returns the IP that this process has for itself.
func OwnIP() string { return ip(firstOwnIP, uint32(os.Getpid())) }

// DrawIP returns an IP drawn by lot, for one of several trials of a process. It is not 127.255.255.255, which
// is for broadcasts.
func DrawIP() string { return ip(firstDrawnIP, rand.Uint32N(1<<bits-1)) }

// ip returns the IP of a number, of which the lower bits count.
func ip(first byte, number uint32) string {
	number &= 1<<bits - 1
	return net.IPv4(loopbackNet, first+byte(number>>16), byte(number>>8), byte(number)).String()
}
