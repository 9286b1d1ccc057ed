package proxystandin

import (
	"net"
	"testing"
	"time"

	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
	"cresshub/internal/testbed/leaktest"
)

func TestMain(m *testing.M) { leaktest.VerifyTestMain(m) }

const patience = 20 * time.Second

func dial(t *testing.T, address string) *connbuffer.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(patience))
	return connbuffer.NewConn(nc)
}

func ask(t *testing.T, c *connbuffer.Conn, target, id, class string) *http1.Response {
	t.Helper()
	q := &http1.Request{Method: "GET", Target: target, Header: http1.Header{{Name: "Host", Value: "h"},
		{Name: "X-Request-ID", Value: id}, {Name: "X-Priority-Class", Value: class}}}
	if err := q.Write(c.Out); err != nil {
		t.Fatal(err)
	}
	if err := c.Flush(); err != nil {
		t.Fatal(err)
	}
	a, err := http1.ReadResponse(c.In)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func zone(t *testing.T, o ZoneOptions) *Zone {
	t.Helper()
	o.Name, o.Listen, o.Speed, o.IdleTimeout = "z", "127.0.0.1:0", 1, patience
	o.Cores = max(o.Cores, 1)
	z, err := StartZone(o, time.Time{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(z.Close)
	return z
}

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}
