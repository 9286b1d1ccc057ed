package discovery

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cresshub/balance"
	"cresshub/internal/connbuffer"
	"cresshub/internal/proxy/descriptors"
	"cresshub/internal/proxy/dispatch"
	"cresshub/internal/proxy/stats"
	"cresshub/internal/testbed/nettest"
)

func newClient(address string) *Client {
	return New(address, nettest.Patience, Limits{WatchTimeout: nettest.Patience, MaxListBytes: 1 << 20},
		Names{Zones: []string{"kita", "chuo"}, Kinds: []string{"m1", "m2"}},
		descriptors.NewBudget(100, 0.6, 0.25), &stats.Set{}, slog.New(slog.DiscardHandler))
}

func TestApply(t *testing.T) {
	const line = `{"index":%d,"snapshot":%v,"endpoints":[{"name":%q,"address":"127.0.0.1:%d","zone":%q,` +
		`"type":"m2","group":3,"status":%q,"weight":1.5,"since_ms":1700000000123}]}`
	c := newClient("")
	for _, step := range []struct {
		in    string
		want  dispatch.Server // except its ID
		alive string
	}{
		{
			fmt.Sprintf(line, 4, true, "a", 1, "chuo", "in_service"),
			dispatch.Server{Zone: 1, State: balance.Up}, "a",
		},
		{fmt.Sprintf(line, 5, false, "b", 2, "elsewhere", "in_service"), dispatch.Server{Zone: 2}, "ab"},
		{fmt.Sprintf(line, 6, false, "a", 1, "kita", "terminating"), dispatch.Server{State: balance.Draining}, "b"},
		{fmt.Sprintf(line, 7, false, "b", 2, "kita", "terminated"), dispatch.Server{State: balance.Removed}, ""},
		{fmt.Sprintf(line, 8, false, "a", 1, "kita", "in_service"), dispatch.Server{}, "a"},
		{fmt.Sprintf(line, 2, true, "b", 2, "kita", "in_service"), dispatch.Server{}, "b"},
		{fmt.Sprintf(line, 9, false, "b", 2, "kita", "terminated"), dispatch.Server{State: balance.Removed}, ""},
	} {
		_, list, err := c.apply(nil, []byte(step.in))
		if err != nil || len(list) != 1 {
			t.Fatal(list, err)
		}
		step.want.ID, step.want.Kind, step.want.Cell, step.want.Rating = list[0].ID, 1, 3, 1.5
		step.want.Started = 1700000000123 * time.Millisecond
		if diff := cmp.Diff(step.want, list[0]); diff != "" {
			t.Error(diff)
		}
		if _, held := c.idByName["b"]; held && step.want.State == balance.Removed {
			t.Error("a name that left is kept for ever")
		}
		alive := ""
		for _, name := range []string{"a", "b"} {
			if _, ok := c.Address(c.serverID(name)); ok {
				alive += name
			}
		}
		if alive != step.alive {
			t.Errorf("in service %q after %s", alive, step.in)
		}
	}
	for _, bad := range []string{`{`, `[]`, `{"endpoints":[{"name":"a","status":"asleep"}]}`,
		`{"endpoints":[{"name":"","status":"in_service"}]}`,
		`{"endpoints":[{"name":"a","status":"in_service","group":-1}]}`} {
		if _, _, err := c.apply(nil, []byte(bad)); err == nil {
			t.Errorf("took %s", bad)
		}
	}
}

// The decisions place keys by ids, so all client proxies must give a name the same one.
func TestIDsAreTheSameAtAllProxies(t *testing.T) {
	x, y := newClient(""), newClient("")
	y.serverID("s-9")
	if x.serverID("s-1") != y.serverID("s-1") || x.serverID("s-1") == x.serverID("s-2") {
		t.Error("ids depend on what was seen before, or coincide")
	}
}

type sink struct {
	listed chan string
	failed chan bool
}

func (s *sink) UpdateList(full bool, list []dispatch.Server) { s.listed <- fmt.Sprint(full, len(list)) }
func (s *sink) ListFailed()                                  { s.failed <- true }

// A watch that ends, or whose response is an error, is reported as failed, and Follow opens another.
func TestEndedWatchIsReported(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	answers := []string{
		head + "3\r\n{]\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"",
		head + "21\r\n{\"snapshot\":true,\"endpoints\":[]}\n\n\r\n0\r\n\r\n",
	}
	next := make(chan string, len(answers))
	for _, a := range answers {
		next <- a
	}
	address := nettest.Listen(t, func(c *connbuffer.Conn) {
		a := <-next
		io.WriteString(c, a)
	})
	s := &sink{make(chan string, 1), make(chan bool)}
	c := newClient(address)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.Run(ctx, s, func() {})
	for i := range answers {
		c.Follow()
		select {
		case <-s.failed:
		case <-time.After(nettest.Patience):
			t.Fatalf("answer %d: never told as failed", i)
		}
	}
	if got := <-s.listed; got != "true 0" {
		t.Errorf("listed %s", got)
	}
}

// A move is followed at once and without Follow, while the watch before it stays open until the new one has
// delivered the full list. The new registry counts its changes anew.
func TestMove(t *testing.T) {
	old, fresh := nettest.NewDiscovery(t), nettest.NewDiscovery(t)
	s := &sink{make(chan string, 9), make(chan bool, 9)}
	c := newClient(old.Address)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.Run(ctx, s, func() {})
	c.Follow()
	list := func(from *nettest.Discovery, whole bool, n int) {
		t.Helper()
		names := map[string]string{}
		for i := range n {
			names[fmt.Sprint("s-", i)] = "127.0.0.1:1"
		}
		from.Send(t, nettest.List(whole, "in_service", names))
		if got := <-s.listed; got != fmt.Sprint(whole, n) {
			t.Fatalf("listed %s, want %v %d", got, whole, n)
		}
	}
	list(old, true, 1)
	fresh.Rejections.Store(2) // failed calls are made again without Follow
	c.ChangeAddress(fresh.Address)
	nettest.Until(t, "the new service is asked", func() bool { return fresh.Rejections.Load() < 0 })
	list(old, false, 2)
	list(fresh, true, 3)
	<-old.Abandoned
	list(fresh, false, 1)
	if diff := cmp.Diff([]string{"0", "7"}, []string{old.WatchedFrom(), fresh.WatchedFrom()}); diff != "" {
		t.Error(diff)
	}
	if _, _, err := c.apply(&watch{number: 1}, []byte(nettest.List(true, "in_service", nil))); err == nil {
		t.Error("a watch that was left is still heard")
	}
	c.ChangeAddress(fresh.Address) // a no-op
	list(fresh, false, 2)
	if n := len(s.failed); n > 0 || fresh.Watches.Load() != 1 {
		t.Errorf("%d times told as failed, %d watches", n, fresh.Watches.Load())
	}
}

// Export passes the full list to the next process, with draining servers and the index.
func TestExport(t *testing.T) {
	c := newClient("")
	if doc, err := c.Export(); doc != nil || err != nil {
		t.Errorf("of nothing: %s, %v", doc, err)
	}
	for _, doc := range []string{
		nettest.List(true, "in_service", map[string]string{"a": "127.0.0.1:1", "b": "127.0.0.1:2"}),
		nettest.List(false, "terminating", map[string]string{"b": "127.0.0.1:2"}),
		nettest.List(false, "terminated", map[string]string{"a": "127.0.0.1:1"}),
	} {
		if _, _, err := c.apply(nil, []byte(doc)); err != nil {
			t.Fatal(err)
		}
	}
	doc, err := c.Export()
	if err != nil {
		t.Fatal(err)
	}
	next := newClient("")
	list, err := next.Restore(doc)
	if err != nil || len(list) != 1 || list[0].State != balance.Draining || next.index != 7 ||
		next.NumListed() != 1 || next.NumInService() != 0 {
		t.Errorf("%s: %+v, %v, version %d", doc, list, err, next.index)
	}
}
