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
	const format = `{"index":%d,"snapshot":%v,"endpoints":[{"name":%q,"address":"127.0.0.1:%d","zone":%q,` +
		`"type":"m2","group":3,"status":%q,"weight":1.5,"since_ms":1700000000123}]}`
	c := newClient("")
	for _, step := range []struct {
		in        string
		want      dispatch.Server // except the fields that are the same in each step, set below
		inService string          // names of the servers in service afterwards
	}{
		{
			fmt.Sprintf(format, 4, true, "a", 1, "chuo", "in_service"),
			dispatch.Server{Zone: 1, State: balance.Up}, "a",
		},
		{fmt.Sprintf(format, 5, false, "b", 2, "elsewhere", "in_service"), dispatch.Server{Zone: 2}, "ab"},
		{
			fmt.Sprintf(format, 6, false, "a", 1, "kita", "terminating"),
			dispatch.Server{State: balance.Draining}, "b",
		},
		{fmt.Sprintf(format, 7, false, "b", 2, "kita", "terminated"), dispatch.Server{State: balance.Removed}, ""},
		{fmt.Sprintf(format, 8, false, "a", 1, "kita", "in_service"), dispatch.Server{}, "a"},
		{fmt.Sprintf(format, 2, true, "b", 2, "kita", "in_service"), dispatch.Server{}, "b"},
		{fmt.Sprintf(format, 9, false, "b", 2, "kita", "terminated"), dispatch.Server{State: balance.Removed}, ""},
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
		if _, known := c.idByName["b"]; known && step.want.State == balance.Removed {
			t.Error("the name of a removed server is not deleted")
		}
		inService := ""
		for _, name := range []string{"a", "b"} {
			if _, ok := c.Address(c.serverID(name)); ok {
				inService += name
			}
		}
		if inService != step.inService {
			t.Errorf("in service %q after %s", inService, step.in)
		}
	}
	for _, invalid := range []string{`{`, `[]`, `{"endpoints":[{"name":"a","status":"asleep"}]}`,
		`{"endpoints":[{"name":"","status":"in_service"}]}`,
		`{"endpoints":[{"name":"a","status":"in_service","group":-1}]}`} {
		if _, _, err := c.apply(nil, []byte(invalid)); err == nil {
			t.Errorf("no error for %s", invalid)
		}
	}
}

// The balancer maps keys to servers by the hash of the server's id, so all client proxies must give a name
// the same id.
func TestIDsAreTheSameAtAllProxies(t *testing.T) {
	first, second := newClient(""), newClient("")
	second.serverID("s-9")
	if first.serverID("s-1") != second.serverID("s-1") || first.serverID("s-1") == first.serverID("s-2") {
		t.Error("ids depend on names that were seen before, or coincide")
	}
}

// sink is a Sink that sends each call on a channel.
type sink struct {
	listed chan string // "full number" of each UpdateList: whether the list is full, and its number of servers
	failed chan bool
}

func (s *sink) UpdateList(full bool, list []dispatch.Server) { s.listed <- fmt.Sprint(full, len(list)) }
func (s *sink) ListFailed()                                  { s.failed <- true }

// A watch that ends, or whose response is an error, is reported by ListFailed, and Follow opens another one.
func TestEndedWatchIsReported(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	responses := []string{
		head + "3\r\n{]\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"",
		head + "21\r\n{\"snapshot\":true,\"endpoints\":[]}\n\n\r\n0\r\n\r\n",
	}
	next := make(chan string, len(responses))
	for _, response := range responses {
		next <- response
	}
	address := nettest.Listen(t, func(c *connbuffer.Conn) {
		response := <-next
		io.WriteString(c, response)
	})
	s := &sink{make(chan string, 1), make(chan bool)}
	c := newClient(address)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.Run(ctx, s, func() {})
	for i := range responses {
		c.Follow()
		select {
		case <-s.failed:
		case <-time.After(nettest.Patience):
			t.Fatalf("response %d: ListFailed was not called", i)
		}
	}
	if got := <-s.listed; got != "true 0" {
		t.Errorf("listed %s", got)
	}
}

// After a change of address a watch at the new address opens at once and without Follow. The watch at the old
// address stays open until the new one has delivered the full list. The indexes of the two registries are
// unrelated.
func TestChangeAddress(t *testing.T) {
	old, fresh := nettest.NewDiscovery(t), nettest.NewDiscovery(t)
	s := &sink{make(chan string, 9), make(chan bool, 9)}
	c := newClient(old.Address)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.Run(ctx, s, func() {})
	c.Follow()
	sendList := func(from *nettest.Discovery, snapshot bool, n int) {
		t.Helper()
		names := map[string]string{}
		for i := range n {
			names[fmt.Sprint("s-", i)] = "127.0.0.1:1"
		}
		from.Send(t, nettest.List(snapshot, "in_service", names))
		if got := <-s.listed; got != fmt.Sprint(snapshot, n) {
			t.Fatalf("listed %s, want %v %d", got, snapshot, n)
		}
	}
	sendList(old, true, 1)
	fresh.Rejections.Store(2) // rejected calls are retried without Follow
	c.ChangeAddress(fresh.Address)
	nettest.Until(t, "the new registry is called", func() bool { return fresh.Rejections.Load() < 0 })
	sendList(old, false, 2)
	sendList(fresh, true, 3)
	<-old.Abandoned
	sendList(fresh, false, 1)
	if diff := cmp.Diff([]string{"0", "7"}, []string{old.WatchedFrom(), fresh.WatchedFrom()}); diff != "" {
		t.Error(diff)
	}
	if _, _, err := c.apply(&watch{number: 1}, []byte(nettest.List(true, "in_service", nil))); err == nil {
		t.Error("a document of the superseded watch is applied")
	}
	c.ChangeAddress(fresh.Address) // a no-op: the address is the current one
	sendList(fresh, false, 2)
	if n := len(s.failed); n > 0 || fresh.Watches.Load() != 1 {
		t.Errorf("%d calls of ListFailed, %d watches", n, fresh.Watches.Load())
	}
}

// Export and Restore pass the full list to the next process, including draining servers and the index.
func TestExport(t *testing.T) {
	c := newClient("")
	if doc, err := c.Export(); doc != nil || err != nil {
		t.Errorf("export of an empty list: %s, %v", doc, err)
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
		t.Errorf("%s: %+v, %v, index %d", doc, list, err, next.index)
	}
}
