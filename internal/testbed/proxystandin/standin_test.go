package proxystandin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

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
	o.Name, o.Listen, o.Speed = "z", "127.0.0.1:0", 1
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

// One is worked on, one waits, the third is turned away unseen; what is turned away never ran.
func TestZoneTurnsAwayWhatFindsItFull(t *testing.T) {
	z := zone(t, ZoneOptions{MaxQueued: 1, Work: map[string]time.Duration{"rider": time.Hour}})
	for i := range 2 {
		c := dial(t, z.Address())
		go io.Copy(io.Discard, c)
		q := http1.Request{Method: "GET", Target: "/", Header: http1.Header{{Name: "Host", Value: "h"},
			{Name: "X-Request-ID", Value: fmt.Sprint(i)}, {Name: "X-Priority-Class", Value: "rider"}}}
		q.Write(c.Out)
		c.Flush()
		until(t, "it is in", func() bool { return z.Counts().Requests == i+1 })
	}
	a := ask(t, dial(t, z.Address()), "/", "third", "rider")
	report := string(ask(t, dial(t, z.Address()), "/stats", "", "").Body)
	if a.Status != 503 || a.Header.Get("X-Not-Processed") != "1" || report != "inflight=2,queue=1,util=1.00" {
		t.Errorf("%d, %s", a.Status, report)
	}
	if ran := z.Runs(); len(ran) > 1 || ran["third"] != 0 {
		t.Errorf("ran: %v", ran)
	}
}

// A breach of each rule that the stand-ins are there to count is counted.
func TestBreachesAreCounted(t *testing.T) {
	z := zone(t, ZoneOptions{Work: map[string]time.Duration{"rider": time.Millisecond}})
	c := dial(t, z.Address())
	for range 2 {
		ask(t, c, "/", "same", "rider")
	}
	z.RecordDrainNotified(time.Now().Add(-DrainGrace - time.Second))
	ask(t, c, "/", "late", "rider")
	f := &Fleet{started: []*Zone{z, z}} // an id that ran on two servers ran twice
	if n := z.Counts(); n.RanTwice != 1 || n.AfterDrain != 1 || f.RanTwice() != 2 {
		t.Errorf("%+v, over the fleet %d", n, f.RanTwice())
	}
	cold := zone(t, ZoneOptions{Cores: 1, Work: map[string]time.Duration{"a": 50 * time.Millisecond},
		WarmUp: WarmUp{StartFraction: 0.1, Duration: time.Hour, OverloadMultiple: 1, OverloadAfter: time.Hour}})
	cold.started = time.Now()
	now := time.Now()
	cold.overloadWindowStart = now
	for range 3 { // of an hour's capacity a quarter, a half, and more than all with one request in hand
		cold.recordArrival(time.Hour, now)
	}
	if n := cold.Counts(); n.Overloaded != 1 {
		t.Errorf("%+v", n)
	}
	if a := ask(t, dial(t, cold.Address()), "/", "x", "a"); a.Status != 503 {
		t.Errorf("one that fell over answers %d", a.Status)
	}
}

func TestDiscoveryTellsChanges(t *testing.T) {
	d, err := StartDiscovery("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	d.Set(Endpoint{Name: "a", Status: "in_service"}, Endpoint{Name: "b", Status: "in_service"})
	var doc document
	body := ask(t, dial(t, d.Address()), "/registry/instances", "", "").Body
	err = json.Unmarshal(body, &doc)
	if err != nil || !doc.Snapshot || doc.Index != 2 || len(doc.Endpoints) != 2 {
		t.Fatalf("%s, %v", body, err)
	}
	c := dial(t, d.Address())
	io.WriteString(c, "GET /registry/instances?watch=1&from=2 HTTP/1.1\r\nHost: h\r\n\r\n")
	_, stream, err := http1.ReadStream(c.In)
	if err != nil {
		t.Fatal(err)
	}
	lines := json.NewDecoder(stream)
	next := func() (doc document) {
		if err := lines.Decode(&doc); err != nil {
			t.Fatal(err)
		}
		return doc
	}
	first := next()
	d.Set(Endpoint{Name: "a", Status: "terminated"})
	if second := next(); first.Snapshot || len(first.Endpoints) != 0 || len(second.Endpoints) != 1 ||
		second.Endpoints[0].Status != "terminated" || second.Index != 3 {
		t.Errorf("%+v, %+v", first, second)
	}
	for i := range maxChanges + 1 { // who asks from before what is remembered gets all
		d.Set(Endpoint{Name: "b", Group: i, Status: "in_service"})
	}
	if doc, _, _ := d.since(2, false); !doc.Snapshot || len(doc.Endpoints) != 1 {
		t.Errorf("%+v", doc)
	}
	d.Fail(true)
	if a := ask(t, dial(t, d.Address()), "/registry/instances", "", ""); a.Status != 503 {
		t.Errorf("%d while failing", a.Status)
	}
}

// The load counts each request once, whatever the other side does with it.
func TestLoadCountsEachOnce(t *testing.T) {
	answers := map[string]string{
		"a-0": "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\na-0 served by z\n", "a-1": "HTTP/1.1 503 x\r\n" +
			"Content-Length: 0\r\n\r\n", "a-2": "HTTP/1.1 502 x\r\nContent-Length: 0\r\n\r\n", "a-3": "",
		"a-4": "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nother x", // to another request
	}
	l, err := Listen("127.0.0.1:0", 0, func(c *connbuffer.Conn) {
		for {
			q, err := http1.ReadRequest(c.In)
			if err != nil {
				return
			}
			text, ok := answers[q.Header.Get("X-Request-ID")]
			if !ok {
				text = answers["a-1"]
			}
			io.WriteString(c.Out, text)
			if c.Flush() != nil || text == "" {
				return
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close(false)
	load := NewLoad(LoadOptions{Address: l.Address(), Rate: 500, IDPrefix: "a", MaxConnections: 50,
		Classes: []LoadClass{
			{Name: "x", Fraction: 1, LatencyTarget: time.Hour, Deadline: patience, Value: 2}}})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for load.Tally().Totals().Offered < 20 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	load.Run(ctx)
	got := load.Tally().Totals()
	sum := 0
	for _, n := range got.ByKind {
		sum += n
	}
	if got.ByKind[Served] != 2 || got.ByKind[Failed] != 1 || got.ByKind[NoAnswer] != 1 || got.Mismatched != 1 ||
		got.ByKind[Refused] != got.Offered-4 || sum != got.Offered || got.Servers["z"] != 1 || got.InTime != 2 {
		t.Errorf("%+v", got)
	}
	if !strings.HasPrefix(fmt.Sprint(load.idle), "[]") || load.open != 0 {
		t.Errorf("%d connections left", load.open)
	}
}

// A drain binds from when a caller was told of it, and not while discovery is away; later news of the same
// server does not put it off.
func TestDrainBindsOnceItWasTold(t *testing.T) {
	f, err := StartFleet(FleetOptions{Servers: 1, Halls: []string{"a"}, Work: map[string]time.Duration{}})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	zone := f.Zones()[0]
	told := func() time.Time {
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
	if status := list(); status != 503 || !told().IsZero() {
		t.Fatalf("answered %d, told at %v", status, told())
	}
	f.Discovery.Fail(false)
	for told().IsZero() { // it is noted just behind the answer
		list()
	}
	first := told()
	list()
	if !told().Equal(first) {
		t.Errorf("told at %v, and then at %v", first, told())
	}
}
