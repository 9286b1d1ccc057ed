package ingress

import (
	"io"
	"testing"
	"time"

	"cresshub/balance"
	"cresshub/internal/http1"
	"cresshub/internal/testbed/nettest"
)

// Servers drop duplicates within a window only. A retry that was decided in time but would have its first
// byte later, because its connection was slow to open or its goroutine had to wait, is not written.
func TestRetryStartsWithinDedupWindow(t *testing.T) {
	const window = 300 * time.Millisecond
	for _, late := range []bool{false, true} {
		r := newRig(t, func(s *balance.Settings) {
			c := &s.Classes[1]
			c.Effect, c.DedupWindow, c.DedupScope = balance.Deduplicated, window, balance.DedupFleet
		})
		first := make(chan time.Time, 1) // when the request arrived at its first server, which breaks off
		zone := nettest.Serve(t, func(q *http1.Request) *http1.Response {
			if len(first) == 0 {
				first <- time.Now()
				return nettest.CloseConn
			}
			return nettest.OK("")
		})
		r.list(zone.Address, zone.Address)
		r.mu.Lock()
		r.onLookup = func(n int) {
			if n == 4 && late { // right before the first byte of the retry
				at := <-first
				time.Sleep(time.Until(at.Add(window))) // the window is over for sure
				first <- at
			}
		}
		r.mu.Unlock()
		c := nettest.Dial(t, r.address)
		io.WriteString(c, post("id", 1, "x"))
		got, want := outcome(c), "200 "
		if late {
			want = "503 refused" // allowed: all servers drop duplicates, so a client's retry is harmless
		}
		if got != want {
			t.Errorf("late %v: %s", late, got)
		}
		if n := len(zone.Received("")); n != map[bool]int{false: 2, true: 1}[late] {
			t.Errorf("late %v: %d attempts came", late, n)
		}
	}
}
