package transport

import (
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/peerproto"
)

var errSilence = errors.New("nothing answers")

// silentNetwork is one in which nothing answers; it notes how long each try waits.
type silentNetwork struct{ waits chan time.Duration }

func (n silentNetwork) Dial(_ string, timeout time.Duration) (net.Conn, error) {
	time.Sleep(timeout)
	n.waits <- timeout
	return nil, errSilence
}

func (silentNetwork) Listen(string) (net.Listener, error) { return nil, errSilence }

// TestFirstTriesToConnectAreShort: a machine that had no power when the first packet was sent is reached soon
// after its start, and one that is gone costs few packets.
func TestFirstTriesToConnectAreShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := silentNetwork{make(chan time.Duration, 8)}
		link := NewEndpoint(network).NewLink("10.0.0.1:1", func() []byte { return nil },
			func(peerproto.Frame) {}, func(bool) {})
		for _, wait := range []time.Duration{leastDialTimeout, 2 * leastDialTimeout, mostDialTimeout,
			mostDialTimeout} {
			qt.Check(t, <-network.waits, qt.Equals, wait)
		}
		link.Stop()
	})
}
