package proxystandin

import (
	"io"
	"net"
	"testing"
	"time"

	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
)

// A drain binds from the first delivery to a caller, not while discovery fails; later deliveries of the same
// entry don't postpone it.
func TestDrainBindsFromFirstNotification(t *testing.T) {
	f, err := StartFleet(FleetOptions{Servers: 1, Halls: []string{"a"}, Work: map[string]time.Duration{}})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	zone := f.Zones()[0]
	notifiedAt := func() time.Time {
		zone.mu.Lock()
		defer zone.mu.Unlock()
		return zone.drainNotifiedAt
	}
	list := func() int {
		c, err := net.Dial("tcp", f.Discovery.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conn := connbuffer.NewConn(c)
		q := http1.Request{Method: "GET", Target: "/registry/instances",
			Header: http1.Header{{Name: "Host", Value: "d"}}}
		if q.Write(conn.Out) != nil || conn.Flush() != nil {
			t.Fatal("discovery does not listen")
		}
		head, body, err := http1.ReadResponseHead(conn.In, "GET")
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, body)
		return head.Status
	}
	f.Discovery.Fail(true)
	f.Drain(f.Names()[0])
	if status := list(); status != 503 || !notifiedAt().IsZero() {
		t.Fatalf("answered %d, notified at %v", status, notifiedAt())
	}
	f.Discovery.Fail(false)
	for notifiedAt().IsZero() { // recorded just after the answer
		list()
	}
	first := notifiedAt()
	list()
	if !notifiedAt().Equal(first) {
		t.Errorf("notified at %v, and then at %v", first, notifiedAt())
	}
}
