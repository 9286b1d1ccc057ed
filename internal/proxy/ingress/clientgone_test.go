package ingress

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"cresshub/balance"
	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
	"cresshub/internal/testbed/nettest"
)

// disconnectWays are the ways in which a client goes away. The end of its sending alone is one of them: a
// close shows no more than that, so such a client counts as gone.
var disconnectWays = map[string]func(*net.TCPConn){
	"closes":         func(c *net.TCPConn) { c.Close() },
	"resets":         func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	"ends sending":   func(c *net.TCPConn) { c.CloseWrite() },
	"sends on first": func(c *net.TCPConn) { io.WriteString(c, "GET /api"); c.Close() },
}

// getRequest returns an idempotent request without a body.
func getRequest(id string) string { return nettest.Request("GET", "lookup", id, 30*time.Second) }

// postRequest returns a request that must not run twice and that states the length of its body, of which body
// may be a part.
func postRequest(id string, length int, body string) string {
	head := nettest.Request("POST", "assign", id, 30*time.Second)
	return strings.Replace(head, "\r\n\r\n", fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n%s", length, body), 1)
}

// A request whose client goes away while it waits is not sent any more, whatever it waits for, and whatever
// else the client had sent.
func TestClientGoneWhileRequestWaits(t *testing.T) {
	for name, text := range map[string]string{
		"alone":           getRequest("id"),
		"pipelined":       getRequest("id") + getRequest("next"),
		"half a request":  getRequest("id") + "GET /a",
		"more than fits":  getRequest("id") + strings.Repeat(getRequest("next"), 200),
		"upload":          postRequest("id", 100_000, strings.Repeat("x", 10_000)),
		"a whole upload":  postRequest("id", 100_000, strings.Repeat("x", 100_000)),
		"upload and more": postRequest("id", 70_000, strings.Repeat("x", 70_000)) + getRequest("next"),
	} {
		for way, leave := range disconnectWays {
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				rig := newRig(t, nil)
				zone := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("") })
				conn := nettest.Dial(t, rig.address)
				go io.WriteString(conn, text) // not all of it is read
				nettest.Until(t, "the request is received", func() bool { return rig.Stats.Received.Load() == 1 })
				began := time.Now()
				leave(conn.Conn.(*net.TCPConn))
				nettest.Until(t, "the client counts as gone", func() bool {
					return rig.Stats.ClientDisconnected.Load() == 1 || rig.Stats.Rejected.Load() > 0
				})
				if rig.Stats.ClientDisconnected.Load() != 1 {
					t.Fatalf("it was waited for until its request was refused after %v", time.Since(began))
				}
				rig.list(zone.Address)
				if response := nettest.Ask(t, nettest.Dial(t, rig.address), getRequest("other")); response.Status != 200 {
					t.Errorf("another client gets %d", response.Status)
				}
				if got := zone.Received(""); len(got) != 1 || got[0].Header.Get(idField) != "other" {
					t.Errorf("%d requests were sent", len(got))
				}
			})
		}
	}
}

// The same while a connection is dialled for it, or after an idle one turned out closed, also where a sent
// request must not be cancelled: this one was not sent.
func TestClientGoneDuringDial(t *testing.T) {
	for _, may := range []bool{true, false} {
		for _, rested := range []bool{true, false} {
			t.Run(fmt.Sprintf("cancel %v, rested %v", may, rested), func(t *testing.T) {
				t.Parallel()
				rig := newRig(t, func(settings *balance.Settings) { settings.MayCancel = may })
				var first *connbuffer.Conn
				accepted := make(chan *connbuffer.Conn, 2)
				zone := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("") })
				relay := nettest.Listen(t, func(conn *connbuffer.Conn) { // answers once, and closes on a signal
					accepted <- conn
					request, err := http1.ReadRequest(conn.In)
					if err == nil && request.Header.Get(idField) == "before" {
						nettest.OK("").Write(conn.Out)
						conn.Flush()
						io.Copy(io.Discard, conn.In)
						return
					}
					if err == nil {
						t.Errorf("%s was sent", request.Header.Get(idField))
					}
				})
				rig.list(relay)
				from := 1 // the first look-up of the request whose client goes away
				if rested {
					nettest.Ask(t, nettest.Dial(t, rig.address), getRequest("before"))
					first = <-accepted
					from = 3
				}
				at, on := make(chan bool), make(chan bool)
				rig.mu.Lock()
				rig.onLookup = func(n int) {
					if n == from && rested { // just as the idle connection is handed over
						first.Close()
					}
					if n == from+1 { // right before the first byte
						at <- true
						<-on
					}
				}
				rig.mu.Unlock()
				conn := nettest.Dial(t, rig.address)
				io.WriteString(conn, getRequest("left"))
				<-at
				conn.Close()
				nettest.Until(t, "the client counts as gone", func() bool { return rig.Stats.ClientDisconnected.Load() == 1 })
				close(on)
				rig.list(zone.Address)
				if response := nettest.Ask(t, nettest.Dial(t, rig.address), getRequest("after")); response.Status != 200 {
					t.Errorf("another client gets %d", response.Status)
				}
				nettest.Until(t, "the attempt ends", func() bool {
					rig.Server.mu.Lock()
					defer rig.Server.mu.Unlock()
					return rig.openIDs["left"] == 0
				})
				if got := rig.Stats.RequestsSent.Load(); got != int64(from/2)+1 { // one for each client that stayed
					t.Errorf("%d attempts were written", got)
				}
			})
		}
	}
}
