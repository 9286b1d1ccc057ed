package ingress

import (
	"io"
	"testing"
	"time"

	"cresshub/balance"
	"cresshub/internal/http1"
	"cresshub/internal/testbed/nettest"
)

// Servers recognize duplicates only within DedupWindow after the first attempt. A retry that was decided
// within the window is not sent if its first byte would be written after it, because its connection was slow
// to open or its goroutine had to wait.
func TestRetryStartsWithinDedupWindow(t *testing.T) {
	for _, late := range []bool{false, true} {
		window := nettest.Patience
		if late {
			window = 300 * time.Millisecond
		}
		rig := newRig(t, func(settings *balance.Settings) {
			class := &settings.Classes[1]
			class.Effect, class.DedupWindow, class.DedupScope = balance.Deduplicated, window, balance.DedupFleet
		})
		first := make(chan time.Time, 1) // when the first server got the request; it then closes
		backend := nettest.Serve(t, func(request *http1.Request) *http1.Response {
			if len(first) == 0 {
				first <- time.Now()
				return nettest.CloseConn
			}
			return nettest.OK("")
		})
		rig.setServers(backend.Address, backend.Address)
		rig.mu.Lock()
		rig.onLookup = func(n int) {
			if n == 4 && late { // just before the first byte of the retry is written
				at := <-first
				time.Sleep(time.Until(at.Add(window))) // until the window, which began earlier, has surely ended
				first <- at
			}
		}
		rig.mu.Unlock()
		conn := nettest.Dial(t, rig.address)
		io.WriteString(conn, postRequest("id", 1, "x"))
		got, want := nextOutcome(conn), "200 "
		if late {
			// May be rejected though it was sent: all servers drop duplicates, so a client's retry is harmless.
			want = "503 refused"
		}
		if got != want {
			t.Errorf("late %v: the client reads %q", late, got)
		}
		if n := len(backend.Received("")); n != map[bool]int{false: 2, true: 1}[late] {
			t.Errorf("late %v: the server received %d attempts", late, n)
		}
	}
}
