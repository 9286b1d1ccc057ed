package transport

import (
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

var errUnresponsive = errors.New("no answer")

// unresponsiveNetwork is a network in which every dial times out; it records the timeout of each attempt.
type unresponsiveNetwork struct{ dialTimeouts chan time.Duration }

func (n unresponsiveNetwork) Dial(_ string, timeout time.Duration) (net.Conn, error) {
	time.Sleep(timeout)
	n.dialTimeouts <- timeout
	return nil, errUnresponsive
}

func (unresponsiveNetwork) Listen(string) (net.Listener, error) { return nil, errUnresponsive }

// TestFirstDialTimeoutsAreShort: a machine that was off when the first SYN was sent must be reached soon
// after it starts, while one that stays unavailable must cost few packets.
func TestFirstDialTimeoutsAreShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := unresponsiveNetwork{make(chan time.Duration, 8)}
		link := NewEndpoint(network).NewLink("10.0.0.1:1",
			LinkCallbacks{Hello: func() []byte { return nil }})
		for _, timeout := range []time.Duration{minDialTimeout, 2 * minDialTimeout, maxDialTimeout,
			maxDialTimeout} {
			qt.Check(t, <-network.dialTimeouts, qt.Equals, timeout)
		}
		link.Stop()
	})
}
