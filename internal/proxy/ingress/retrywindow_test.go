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
	for _, late := range []bool{false, true} {
		window := nettest.Patience
		if late {
			window = 300 * time.Millisecond
		}
		rig := newRig(t, func(settings *balance.Settings) {
			class := &settings.Classes[1]
			class.Effect, class.DedupWindow, class.DedupScope = balance.Deduplicated, window, balance.DedupFleet
		})
		first := make(chan time.Time, 1) // when the request arrived at its first server, which breaks off
		zone := nettest.Serve(t, func(request *http1.Request) *http1.Response {
			if len(first) == 0 {
				first <- time.Now()
				return nettest.CloseConn
			}
			return nettest.OK("")
		})
		rig.list(zone.Address, zone.Address)
		rig.mu.Lock()
		rig.onLookup = func(n int) {
			if n == 4 && late { // right before the first byte of the retry
				at := <-first
				time.Sleep(time.Until(at.Add(window))) // the window is over for sure
				first <- at
			}
		}
		rig.mu.Unlock()
		conn := nettest.Dial(t, rig.address)
		io.WriteString(conn, postRequest("id", 1, "x"))
		got, want := nextOutcome(conn), "200 "
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
