package transport

import (
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/acceptloop/faultylistener"
	"cresshub/internal/router/peerproto"
)

// TestServeContinuesAfterFailedAccepts: a temporary lack of file descriptors makes Accept fail. The process
// must accept connections again afterwards, and Serve must return once its listener is closed.
func TestServeContinuesAfterFailedAccepts(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	flaky := faultylistener.New(listener, 3)
	handler := &echo{peerproto.KindPing, make(chan string, 100), make(chan string, 100)}
	endpoint := NewEndpoint(HostNetwork{})
	served := make(chan error, 1)
	go func() { served <- endpoint.Serve(flaky, handler) }()
	states := make(chan bool, 100)
	hello := func() []byte { return peerproto.Encode(&peerproto.Hello{ID: "caller"}) }
	link := endpoint.NewLink(listener.Addr().String(), LinkCallbacks{
		Hello:         hello,
		OnStateChange: func(connected bool) { states <- connected },
	})
	defer link.Stop()
	c.Assert(<-states, qt.IsTrue)
	select {
	case peer := <-peerOfNextCall(link, handler):
		c.Assert(peer, qt.Equals, "caller")
	case err := <-served:
		c.Fatalf("Serve ended after failed accepts: %v", err)
	}
	listener.Close()
	c.Assert(errors.Is(<-served, net.ErrClosed), qt.IsTrue)
}

// peerOfNextCall makes a call and returns the channel on which the handler reports the id of each caller.
func peerOfNextCall(link *Link, handler *echo) <-chan string {
	go link.Call(peerproto.KindUpsert, nil, time.Minute)
	return handler.peers
}
