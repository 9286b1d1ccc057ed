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

// disconnectWays are the ways in which a client disconnects, by name. To close just the sending side is one
// of them, because a full close looks the same to the proxy.
var disconnectWays = map[string]func(*net.TCPConn){
	"closes":                  func(c *net.TCPConn) { c.Close() },
	"resets":                  func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	"ends sending":            func(c *net.TCPConn) { c.CloseWrite() },
	"sends more, then closes": func(c *net.TCPConn) { io.WriteString(c, "GET /api"); c.Close() },
}

// getRequest returns the text of an idempotent request without a body.
func getRequest(id string) string { return nettest.Request("GET", "lookup", id, 30*time.Second) }

// postRequest returns the text of a request that must be executed at most once. length is the Content-Length
// that it states; body may be only the first part of that.
func postRequest(id string, length int, body string) string {
	head := nettest.Request("POST", "assign", id, 30*time.Second)
	return strings.Replace(head, "\r\n\r\n", fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n%s", length, body), 1)
}

// A request whose client disconnects while the request waits for a server is never sent, whether its body has
// arrived or not, and whatever else the client has sent.
func TestClientDisconnectsWhileRequestWaits(t *testing.T) {
	for name, text := range map[string]string{
		"alone":                      getRequest("id"),
		"pipelined":                  getRequest("id") + getRequest("next"),
		"half a request":             getRequest("id") + "GET /a",
		"more than the buffer holds": getRequest("id") + strings.Repeat(getRequest("next"), 200),
		"upload":                     postRequest("id", 100_000, strings.Repeat("x", 10_000)),
		"a whole upload":             postRequest("id", 100_000, strings.Repeat("x", 100_000)),
		"upload and more":            postRequest("id", 70_000, strings.Repeat("x", 70_000)) + getRequest("next"),
	} {
		for way, leave := range disconnectWays {
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				rig := newRig(t, nil)
				backend := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("") })
				conn := nettest.Dial(t, rig.address)
				go io.WriteString(conn, text) // may block: the proxy doesn't read all of it
				nettest.Until(t, "the request is received", func() bool { return rig.Stats.Received.Load() == 1 })
				began := time.Now()
				leave(conn.Conn.(*net.TCPConn))
				nettest.Until(t, "the disconnect is counted", func() bool {
					return rig.Stats.ClientDisconnected.Load() == 1 || rig.Stats.Rejected.Load() > 0
				})
				if rig.Stats.ClientDisconnected.Load() != 1 {
					t.Fatalf("the disconnect was not detected: the request was rejected after %v", time.Since(began))
				}
				rig.setServers(backend.Address)
				if response := nettest.Ask(t, nettest.Dial(t, rig.address), getRequest("other")); response.Status != 200 {
					t.Errorf("another client gets %d", response.Status)
				}
				if got := backend.Received(""); len(got) != 1 || got[0].Header.Get(idField) != "other" {
					t.Errorf("%d requests were sent to the server, want just that of the other client", len(got))
				}
			})
		}
	}
}

// A request is not sent either if its client disconnects while a connection is dialled for it, or after an
// idle connection turned out to be closed. This holds where sent requests must not be cancelled too, as this
// one was not sent yet.
func TestClientDisconnectsDuringDial(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		for _, idleClosed := range []bool{true, false} {
			t.Run(fmt.Sprintf("cancel %v, idle connection closed %v", mayCancel, idleClosed), func(t *testing.T) {
				t.Parallel()
				rig := newRig(t, func(settings *balance.Settings) { settings.MayCancel = mayCancel })
				var first *connbuffer.Conn
				accepted := make(chan *connbuffer.Conn, 2)
				backend := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("") })
				// Responds to the first request, and expects no other. The test closes the connection.
				relay := nettest.Listen(t, func(conn *connbuffer.Conn) {
					accepted <- conn
					request, err := http1.ReadRequest(conn.In)
					if err == nil && request.Header.Get(idField) == "before" {
						nettest.OK("").Write(conn.Out)
						conn.Flush()
						io.Copy(io.Discard, conn.In)
						return
					}
					if err == nil {
						t.Errorf("request %s was sent after its client disconnected", request.Header.Get(idField))
					}
				})
				rig.setServers(relay)
				from := 1 // number of the first look-up for the request whose client disconnects
				if idleClosed {
					nettest.Ask(t, nettest.Dial(t, rig.address), getRequest("before"))
					first = <-accepted
					from = 3
				}
				reached, resume := make(chan bool), make(chan bool)
				rig.mu.Lock()
				rig.onLookup = func(n int) {
					if n == from && idleClosed { // just before the attempt takes the idle connection
						first.Close()
					}
					if n == from+1 { // just before the first byte is written
						reached <- true
						<-resume
					}
				}
				rig.mu.Unlock()
				conn := nettest.Dial(t, rig.address)
				io.WriteString(conn, getRequest("left"))
				<-reached
				conn.Close()
				nettest.Until(t, "the disconnect is counted", func() bool {
					return rig.Stats.ClientDisconnected.Load() == 1
				})
				close(resume)
				rig.setServers(backend.Address)
				if response := nettest.Ask(t, nettest.Dial(t, rig.address), getRequest("after")); response.Status != 200 {
					t.Errorf("another client gets %d", response.Status)
				}
				nettest.Until(t, "the attempt ends", func() bool {
					rig.Server.mu.Lock()
					defer rig.Server.mu.Unlock()
					return rig.openIDs["left"] == 0
				})
				if got := rig.Stats.RequestsSent.Load(); got != int64(from/2)+1 {
					t.Errorf("%d requests were sent, want one for each client that stayed connected", got)
				}
			})
		}
	}
}
