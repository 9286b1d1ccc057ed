package front

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/nodesettings"
	"cresshub/internal/pairing"
)

// A silent server is given up for another one, and for nothing else: where no repeat is left when its time
// has passed it is waited for to the end of the request.
func TestSilentServerIsWaitedForWhereNoRepeatIsLeft(t *testing.T) {
	for _, test := range []struct {
		name, route string
		slack       float64
		change      func(c *call)
		waits       bool
	}{
		{"a repeat is left", "safe", 100, func(*call) {}, false},
		{"no repeat is left", "safe", 0, func(*call) {}, true},
		{"all servers were tried", "safe", 100, func(c *call) { c.delivery.attempts.arrivals = 2 }, true},
		{"never twice", "unsafe", 100, func(*call) {}, true},
		{"a stream that may go on", "stream", 100, func(c *call) {
			c.delivery.relay.begun, c.delivery.relay.order.any = true, true
		}, false},
		{"a stream that may not go on", "stream", 100, func(c *call) { c.delivery.relay.begun = true }, true},
		{"a reader", "model", 0, func(c *call) { c.role = pairing.Read }, false},
		{"no time is left", "safe", 0, func(c *call) { c.delivery.request.end = time.Now() }, false},
		{"the client has left", "safe", 0, func(c *call) { c.delivery.why = clientLeft }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t, func(settings *nodesettings.Settings, _ *fakeState) {
				settings.Bounds.RetrySlack = test.slack
			})
			near, far := net.Pipe()
			defer near.Close()
			route := r.state.config.Match("h", "/"+test.route+"/")
			q := &request{Request: &http1.Request{}, end: time.Now().Add(patience), route: route,
				service: r.state.config.Services[route.Targets[0].Service]}
			socket := &socket{Conn: near}
			call := &call{delivery: newDelivery(&client{front: r.front, socket: socket}, q),
				conn: &connection{socket: socket}}
			test.change(call)
			near.SetReadDeadline(longAgo)
			socket.waiter = call
			go func() {
				io.WriteString(far, "x")
				far.Close()
			}()
			_, err := socket.Read(make([]byte, 1))
			if test.waits {
				r.Assert(err, qt.IsNil)
			} else {
				r.Assert(err, qt.ErrorIs, os.ErrDeadlineExceeded)
			}
		})
	}
}
