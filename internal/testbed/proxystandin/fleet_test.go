package proxystandin

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
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

// Nobody listens at the address of a server that crashed, and no socket that may not share it gets it, until
// the fleet has ended.
func TestAddressOfCrashedServerStaysReserved(t *testing.T) {
	f, err := StartFleet(FleetOptions{Servers: 1, Halls: []string{"a"}, Work: map[string]time.Duration{}})
	if err != nil {
		t.Fatal(err)
	}
	address := f.Zones()[0].Address()
	f.Crash(f.Names()[0])
	if _, err := net.Dial("tcp", address); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dialled it: %v", err)
	}
	unshared := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			if err := syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0); err != nil {
				t.Error(err)
			}
		})
	}}
	if l, err := unshared.Listen(context.Background(), "tcp", address); err == nil {
		l.Close()
		t.Error("another socket got it")
	} else if !errors.Is(err, syscall.EADDRINUSE) {
		t.Error(err)
	}
	f.Close()
	if len(f.ports) > 0 {
		t.Errorf("%d ports stay reserved", len(f.ports))
	}
}

// An unsafe request counts once among those that ran twice, wherever its runs were.
func TestRanTwiceCountsEachRequestOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		runs []map[string]int // by server
		want int
	}{
		{"once each", []map[string]int{{"a": 1}, {"b": 1}}, 0},
		{"twice at one server", []map[string]int{{"a": 2}, {}}, 1},
		{"once at each of three servers", []map[string]int{{"a": 1}, {"a": 1}, {"a": 1}}, 1},
		{"once, and twice at another server", []map[string]int{{"a": 1}, {"a": 2}}, 1},
		{"twice, and once at another server", []map[string]int{{"a": 2}, {"a": 1}}, 1},
		{"two requests", []map[string]int{{"a": 2, "b": 1}, {"b": 3}}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &Fleet{}
			for _, runs := range c.runs {
				f.started = append(f.started, &Zone{zoneState: zoneState{runs: runs}})
			}
			if got := f.RanTwice(); got != c.want {
				t.Errorf("%d ran twice, not %d", got, c.want)
			}
		})
	}
}
