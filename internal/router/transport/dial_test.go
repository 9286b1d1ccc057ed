package transport

import (
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

var errUnresponsive = errors.New("nothing answers")

// unresponsiveNetwork is one in which nothing answers; it records the timeout of each attempt.
type unresponsiveNetwork struct{ dialTimeouts chan time.Duration }

func (n unresponsiveNetwork) Dial(_ string, timeout time.Duration) (net.Conn, error) {
	time.Sleep(timeout)
	n.dialTimeouts <- timeout
	return nil, errUnresponsive
}

func (unresponsiveNetwork) Listen(string) (net.Listener, error) { return nil, errUnresponsive }

// TestFirstDialTimeoutsAreShort: a machine that had no power when the first packet was sent is reached soon
// after its start, and one that stays unavailable costs few packets.
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
