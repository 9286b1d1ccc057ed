package upstream

import (
	"io"
	"testing"
	"time"

	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
	"cresshub/internal/proxy/dispatch"
	"cresshub/internal/stallclock"
	"cresshub/internal/testbed/nettest"
)

// If an attempt times out while this process was stalled for part of the time, the timeout does not count
// against the server. The attempt ends nevertheless, because its client does not wait longer.
func TestTimeoutDuringStallDoesNotCountAgainstServer(t *testing.T) {
	address := nettest.Listen(t, func(conn *connbuffer.Conn) {
		_, _ = http1.ReadRequest(conn.In)
		_, _ = io.Copy(io.Discard, conn)
	})
	for _, stalled := range []bool{false, true} {
		p := newPool(&fakeDirectory{address: address}, time.Hour)
		p.clock = stallclock.New(nil)
		done := make(chan struct{})
		go p.clock.Run(done)
		want := dispatch.TimedOut
		if stalled {
			p.clock.InjectStall(time.Now().Add(time.Hour), time.Hour) // every wait counts as stalled
			want = dispatch.Cancelled
		}
		_, ended := startAttempt(p, time.Now().Add(200*time.Millisecond))
		outcome := <-ended
		if outcome.Result != dispatch.TimedOut || outcome.ProcessStalled != stalled ||
			outcome.ReportedResult() != want {
			t.Errorf("stalled %v: the result is %v, the reported result %v", stalled, outcome.Result,
				outcome.ReportedResult())
		}
		close(done)
	}
}

// The timeout of a probe is extended by the time in which this process was stalled.
func TestStallExtendsProbeTimeout(t *testing.T) {
	address := nettest.Listen(t, func(conn *connbuffer.Conn) {
		for {
			if _, err := http1.ReadRequest(conn.In); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p := newPool(&fakeDirectory{address: address}, time.Hour)
	p.clock = stallclock.New(nil)
	p.clock.InjectStall(time.Now().Add(time.Hour), time.Hour)
	limits := *p.limits.Load()
	limits.ProbeTimeout = time.Millisecond // less than the server needs to respond
	p.SetLimits(limits)
	result := make(chan dispatch.Result)
	p.Probe(1, func(r dispatch.Result, _ time.Duration, _ []float64) { result <- r })
	if got := <-result; got != dispatch.Served {
		t.Errorf("the result of the probe is %v", got)
	}
}
