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

// clientDepartures are the ways in which a client goes away. The end of its sending alone is one of them: a
// close shows no more than that, so such a client counts as gone.
var clientDepartures = map[string]func(*net.TCPConn){
	"closes":         func(c *net.TCPConn) { c.Close() },
	"resets":         func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	"ends sending":   func(c *net.TCPConn) { c.CloseWrite() },
	"sends on first": func(c *net.TCPConn) { io.WriteString(c, "GET /api"); c.Close() },
}

func get(id string) string { return nettest.Request("GET", "lookup", id, 30*time.Second) }

// post is a request that states the length of its body.
func post(id string, length int, body string) string {
	head := nettest.Request("POST", "assign", id, 30*time.Second)
	return strings.Replace(head, "\r\n\r\n", fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n%s", length, body), 1)
}

// A request whose client goes away while it waits is not sent any more, whatever it waits for, and whatever
// else the client had sent.
func TestClientGoneWhileRequestWaits(t *testing.T) {
	for name, text := range map[string]string{
		"alone":           get("id"),
		"pipelined":       get("id") + get("next"),
		"half a request":  get("id") + "GET /a",
		"more than fits":  get("id") + strings.Repeat(get("next"), 200),
		"upload":          post("id", 100_000, strings.Repeat("x", 10_000)),
		"a whole upload":  post("id", 100_000, strings.Repeat("x", 100_000)),
		"upload and more": post("id", 70_000, strings.Repeat("x", 70_000)) + get("next"),
	} {
		for way, leave := range clientDepartures {
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				r := newRig(t, nil)
				zone := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("") })
				c := nettest.Dial(t, r.address)
				go io.WriteString(c, text) // not all of it is read
				nettest.Until(t, "the request is received", func() bool { return r.Stats.Received.Load() == 1 })
				began := time.Now()
				leave(c.Conn.(*net.TCPConn))
				nettest.Until(t, "the client counts as gone", func() bool {
					return r.Stats.ClientGone.Load() == 1 || r.Stats.Refused.Load() > 0
				})
				if r.Stats.ClientGone.Load() != 1 {
					t.Fatalf("it was waited for until its request was refused after %v", time.Since(began))
				}
				r.list(zone.Address)
				if a := nettest.Ask(t, nettest.Dial(t, r.address), get("other")); a.Status != 200 {
					t.Errorf("another client gets %d", a.Status)
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
				r := newRig(t, func(s *balance.Settings) { s.MayCancel = may })
				var first *connbuffer.Conn
				accepted := make(chan *connbuffer.Conn, 2)
				zone := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("") })
				relay := nettest.Listen(t, func(c *connbuffer.Conn) { // answers once, and closes on a signal
					accepted <- c
					q, err := http1.ReadRequest(c.In)
					if err == nil && q.Header.Get(idField) == "before" {
						nettest.OK("").Write(c.Out)
						c.Flush()
						io.Copy(io.Discard, c.In)
						return
					}
					if err == nil {
						t.Errorf("%s was sent", q.Header.Get(idField))
					}
				})
				r.list(relay)
				from := 1 // the first look-up of the request whose client goes away
				if rested {
					nettest.Ask(t, nettest.Dial(t, r.address), get("before"))
					first = <-accepted
					from = 3
				}
				at, on := make(chan bool), make(chan bool)
				r.mu.Lock()
				r.onLookup = func(n int) {
					if n == from && rested { // just as the idle connection is handed over
						first.Close()
					}
					if n == from+1 { // right before the first byte
						at <- true
						<-on
					}
				}
				r.mu.Unlock()
				c := nettest.Dial(t, r.address)
				io.WriteString(c, get("left"))
				<-at
				c.Close()
				nettest.Until(t, "the client counts as gone", func() bool { return r.Stats.ClientGone.Load() == 1 })
				close(on)
				r.list(zone.Address)
				if a := nettest.Ask(t, nettest.Dial(t, r.address), get("after")); a.Status != 200 {
					t.Errorf("another client gets %d", a.Status)
				}
				nettest.Until(t, "the attempt ends", func() bool {
					r.Server.mu.Lock()
					defer r.Server.mu.Unlock()
					return r.openIDs["left"] == 0
				})
				if got := r.Stats.RequestsSent.Load(); got != int64(from/2)+1 { // one for each client that stayed
					t.Errorf("%d attempts were written", got)
				}
			})
		}
	}
}
