package discovery

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
	"cresshub/internal/simulation/simnet"
	"cresshub/internal/testbed/connserver"
	"cresshub/internal/testbed/nettest"
)

// chunked is the head of a response with chunked transfer coding.
const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// chunk encodes text as one chunk.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// document returns a list of one server in the registry's format.
func document(index int, snapshot bool, name, status string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[{"name":%q,"address":"127.0.0.1:1",`+
		`"zone":"kita","type":"m2","group":1,"status":%q,"weight":1,"since_ms":0}]}`, index, snapshot, name, status)
}

// registryCall responds to call n of a registry, counted from 0, which has the given request target.
type registryCall func(n int, target string, c *connbuffer.Conn)

// scriptedRegistry starts a registry whose calls are handled by serve, and returns its address.
func scriptedRegistry(t *testing.T, serve registryCall) string {
	t.Helper()
	return nettest.Listen(t, serveCalls(serve))
}

// connector opens a client's connections to the registry.
type connector func(ctx context.Context, address string) (net.Conn, error)

// simulatedRegistry is scriptedRegistry on a simulated network, for tests whose result depends on time:
// stalls of the machine have no effect in a bubble of package synctest. It returns the function that connects
// to it.
func simulatedRegistry(t *testing.T, serve registryCall) connector {
	t.Helper()
	const address = "10.0.0.1:80"
	network := simnet.New()
	listener, err := network.Host("10.0.0.1").NewProcess().Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	registry := connserver.Serve(listener, 0, serveCalls(serve))
	t.Cleanup(func() { registry.Close(false) })
	proxy := network.Host("10.0.0.2").NewProcess()
	return func(context.Context, string) (net.Conn, error) { return proxy.Dial(address, time.Second) }
}

// serveCalls returns a function that serves the calls on one connection. The calls on all connections are
// counted together.
func serveCalls(serve registryCall) func(c *connbuffer.Conn) {
	calls := make(chan int, 1)
	calls <- 0
	return func(c *connbuffer.Conn) {
		for {
			request, err := http1.ReadRequest(c.In)
			if err != nil {
				return
			}
			n := <-calls
			calls <- n + 1
			serve(n, request.Target, c)
		}
	}
}

// follow runs a client until the test ends.
func follow(t *testing.T, address string, l Limits) (*Client, *sink) {
	t.Helper()
	return run(t, newClient(address), l)
}

// followSimulated is follow on a simulated network.
func followSimulated(t *testing.T, connect connector, l Limits) (*Client, *sink) {
	t.Helper()
	c := newClient("registry")
	c.connect = connect
	return run(t, c, l)
}

// run runs a client with limits until the test ends.
func run(t *testing.T, c *Client, l Limits) (*Client, *sink) {
	t.Helper()
	s := &sink{make(chan string, 9), make(chan bool, 9)}
	l.MaxListBytes = 1 << 16
	c.SetLimits(l)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan bool)
	go func() { c.Run(ctx, s, func() {}); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return c, s
}

// A list is applied however it is split into lines and chunks. A list that is truncated, too large or invalid
// leaves the last valid one in place.
func TestListsInChunks(t *testing.T) {
	one, two := document(8, true, "a", "in_service"), document(9, false, "b", "in_service")
	indent := strings.NewReplacer("{", "{\n  ", ",", ",\r\n\t", "}", "\n}")
	singleBytes := ""
	for i := range one {
		singleBytes += chunk(one[i : i+1])
	}
	for name, in := range map[string]struct {
		body   string
		listed int // servers in the list afterwards, lists applied, and the index less 7
	}{
		"on lines of their own": {chunk(one+"\n") + chunk(two+"\n"), 2},
		"indented":              {chunk(indent.Replace(one)+"\n") + chunk("\n"+indent.Replace(two)+"\n"), 2},
		"byte by byte":          {singleBytes + chunk("\n") + chunk(two), 2},
		"in one chunk":          {chunk(one + two), 2},
		"across chunks":         {chunk(one+two[:20]) + chunk(two[20:]), 2},
		"truncated":             {chunk(one) + chunk(two[:20]), 1},
		"empty lines":           {chunk("\n") + chunk("\r\n") + chunk(one) + chunk("\n"), 1},
		"too large":             {chunk(one) + chunk(`{"index":9,"more":"`+strings.Repeat("x", 1<<16)+`"}`), 1},
		"no list":               {chunk(one) + chunk("nonsense"), 1},
		"an unknown status":     {chunk(one) + chunk(document(9, false, "b", "asleep")), 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, s := follow(t, scriptedRegistry(t, func(n int, _ string, conn *connbuffer.Conn) {
				io.WriteString(conn, chunked+in.body)
				conn.Close()
			}), Limits{WatchTimeout: nettest.Patience})
			c.Follow()
			<-s.failed
			got := []int{c.NumListed(), c.NumInService(), len(s.listed), int(c.Index()) - 7}
			if diff := cmp.Diff([]int{in.listed, in.listed, in.listed, in.listed}, got); diff != "" {
				t.Errorf("listed, in service, lists applied, index less 7: %s", diff)
			}
		})
	}
}

// A watch that times out is reopened from the current index, without Follow and without ListFailed, even if
// it times out within a list of which single bytes still arrive.
func TestTimedOutWatchIsReopened(t *testing.T) {
	for name, last := range map[string]string{"between lists": "\n", "in a list": `{"index":9,"endpo`} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { checkReopened(t, last) })
		})
	}
}

// checkReopened checks that a watch is reopened which times out after a complete list and the bytes last.
func checkReopened(t *testing.T, last string) {
	t.Helper()
	c, s := followSimulated(t, simulatedRegistry(t, func(n int, target string, conn *connbuffer.Conn) {
		switch {
		case n == 0:
			io.WriteString(conn, chunked+chunk(document(8, true, "a", "in_service"))+chunk(last))
			for last != "\n" {
				if _, err := io.WriteString(conn, chunk(" ")); err != nil {
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		case target == "/registry/instances?watch=1&from=8":
			io.WriteString(conn, chunked+chunk(document(9, false, "b", "in_service")))
		default:
			t.Errorf("call %d: %s", n, target)
		}
	}), Limits{WatchTimeout: 100 * time.Millisecond})
	c.Follow()
	if got := <-s.listed + ", " + <-s.listed; got != "true 1, false 1" || len(s.failed) > 0 {
		t.Errorf("listed %s, ListFailed called %d times", got, len(s.failed))
	}
}

// Changes that a timed-out watch missed take effect soon, however late the next Follow is: if the first call
// after the timeout is rejected, reset or gets no response, it is retried without ListFailed.
func TestReopenAfterTimeoutIsRetriedOnce(t *testing.T) {
	for name, fail := range map[string]func(conn *connbuffer.Conn){
		"refused": func(conn *connbuffer.Conn) {
			io.WriteString(conn, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
		},
		"reset": func(conn *connbuffer.Conn) {
			conn.Conn.(interface{ SetLinger(seconds int) error }).SetLinger(0)
			conn.Close()
		},
		"not answered": func(*connbuffer.Conn) {},
	} {
		for _, delivered := range []bool{true, false} { // whether the watch that timed out had delivered a list
			t.Run(fmt.Sprint(name, ", delivered ", delivered), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { checkRetriedOnce(t, fail, delivered) })
			})
		}
	}
}

// checkRetriedOnce has the first call after a watch that timed out fail and checks that one more is made.
func checkRetriedOnce(t *testing.T, fail func(conn *connbuffer.Conn), delivered bool) {
	t.Helper()
	calls, done := make(chan int, 99), make(chan bool)
	defer close(done)
	c, s := followSimulated(t, simulatedRegistry(t, func(n int, _ string, conn *connbuffer.Conn) {
		calls <- n
		switch {
		case n == 0 && delivered:
			io.WriteString(conn, chunked+chunk(document(8, true, "a", "in_service")))
		case n == 1:
			fail(conn)
		case n >= 2:
			io.WriteString(conn, chunked+chunk(document(9, true, "b", "in_service")))
			<-done
		}
	}), Limits{WatchTimeout: 300 * time.Millisecond})
	c.Follow()
	lists := 1
	if delivered {
		lists = 2
	}
	for range lists {
		select {
		case <-s.listed:
		case <-s.failed:
			t.Fatalf("ListFailed called after %d calls", len(calls))
		case <-time.After(nettest.Patience):
			t.Fatalf("no further list after %d calls", len(calls))
		}
	}
	if len(calls) != 3 {
		t.Errorf("%d calls to the registry", len(calls))
	}
}

// If changes take effect at once, a watch is reopened after a timeout no later than after any other end.
func TestTimeoutReopenDelay(t *testing.T) {
	for _, c := range []struct{ watchTimeout, maxReopenDelay, want time.Duration }{
		{2400 * time.Millisecond, 0, 600 * time.Millisecond},
		{2400 * time.Millisecond, 150 * time.Millisecond, 100 * time.Millisecond},
		{2400 * time.Millisecond, time.Hour, 600 * time.Millisecond},
	} {
		if got := (&Limits{
			WatchTimeout: c.watchTimeout, MaxReopenDelay: c.maxReopenDelay,
		}).TimeoutReopenDelay(); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// As long as no connection to the registry can be opened, as during a partition, calls after a timeout are
// retried without limit. They cost the registry nothing, and the changes that were missed take effect soon
// after the partition ends.
func TestReopenDuringPartition(t *testing.T) { synctest.Test(t, checkReopenedAfterPartition) }

func checkReopenedAfterPartition(t *testing.T) {
	const failedDials = 9
	dials := make(chan bool, 99)
	dial := simulatedRegistry(t, func(n int, _ string, conn *connbuffer.Conn) {
		if n == 0 {
			io.WriteString(conn, chunked+chunk(document(8, true, "a", "in_service")))
			return
		}
		io.WriteString(conn, chunked+chunk(document(9, false, "a", "terminating")))
	})
	connect := func(ctx context.Context, address string) (net.Conn, error) {
		if dials <- true; len(dials) > 1 && len(dials) <= 1+failedDials {
			return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
		}
		return dial(ctx, address)
	}
	c, s := followSimulated(t, connect, Limits{WatchTimeout: 200 * time.Millisecond})
	c.Follow()
	for _, want := range []string{"true 1", "false 1"} {
		select {
		case got := <-s.listed:
			if got != want {
				t.Errorf("listed %s, want %s", got, want)
			}
		case <-s.failed:
			t.Fatalf("ListFailed called after %d dials", len(dials))
		case <-time.After(nettest.Patience):
			t.Fatalf("no further list after %d dials", len(dials))
		}
	}
	if c.NumInService() != 0 {
		t.Error("a draining server is in service")
	}
}

// A change with a lower index than the current list's belongs to another list, so the full list is requested.
// The change is applied nevertheless, because a drain takes effect at once.
func TestIndexDecreases(t *testing.T) {
	for _, first := range []string{"terminating", "in_service"} {
		c, s := follow(t, scriptedRegistry(t, func(n int, target string, conn *connbuffer.Conn) {
			switch n {
			case 0:
				io.WriteString(conn, chunked+chunk(document(8, true, "a", "in_service"))+
					chunk(document(3, false, "b", first)))
			case 1:
				if target != "/registry/instances" {
					t.Errorf("second call: %s", target)
				}
				nettest.OK(document(4, true, "b", "in_service")).Write(conn.Out)
				conn.Flush()
			default:
				if target != "/registry/instances?watch=1&from=4" {
					t.Errorf("call after the full list: %s", target)
				}
				io.WriteString(conn, chunked+chunk(document(5, false, "c", "in_service")))
			}
		}), Limits{WatchTimeout: nettest.Patience})
		c.Follow()
		got := []string{<-s.listed, <-s.listed, <-s.listed, <-s.listed}
		if diff := cmp.Diff([]string{"true 1", "false 1", "true 1", "false 1"}, got); diff != "" {
			t.Error(diff)
		}
		if c.NumListed() != 2 || c.Index() != 5 || len(s.failed) > 0 { // "a" is not in the new full list
			t.Errorf("%d servers listed at index %d", c.NumListed(), c.Index())
		}
	}
}

// If changes take effect at once, the full list is requested at the start, and a watch is reopened after
// every end, without Follow.
func TestFollowsAutomatically(t *testing.T) {
	c, s := follow(t, scriptedRegistry(t, func(n int, target string, conn *connbuffer.Conn) {
		want := "/registry/instances"
		switch n {
		case 0, 1:
			(&http1.Response{Status: 503}).Write(conn.Out)
		case 2:
			nettest.OK(document(4, true, "a", "in_service")).Write(conn.Out)
		default: // each watch sends one change and ends
			want = fmt.Sprintf("/registry/instances?watch=1&from=%d", n+1)
			io.WriteString(conn.Out, chunked+chunk(document(n+2, false, "b", "in_service"))+"0\r\n\r\n")
		}
		if conn.Flush(); n == 3 || n == 4 {
			conn.Close()
		}
		if target != want {
			t.Errorf("call %d: %s", n, target)
		}
	}), Limits{WatchTimeout: nettest.Patience, MaxReopenDelay: 10 * time.Millisecond})
	for i, want := range []string{"true 1", "false 1", "false 1", "false 1"} {
		if got := <-s.listed; got != want {
			t.Errorf("list %d: %s", i, got)
		}
	}
	if len(s.failed) > 0 || c.NumListed() != 2 {
		t.Errorf("ListFailed called %d times, %d servers listed", len(s.failed), c.NumListed())
	}
}

// A watch is reset, and before the next one opens, one server begins to drain, one changes its address and
// one is added. The next watch continues from the last index that was delivered, and its first document
// replaces all outdated entries. The same holds if that document is cut short by another reset.
func TestDrainDuringReset(t *testing.T) {
	endpoint := func(name, port, status string) string {
		return fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:%s","zone":"kita","type":"m2","group":1,`+
			`"status":%q,"weight":1,"since_ms":0}`, name, port, status)
	}
	list := func(index int, snapshot bool, endpoints ...string) string {
		return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, snapshot,
			strings.Join(endpoints, ","))
	}
	changes := list(12, false, endpoint("drains", "1", "terminating"), endpoint("moves", "22", "in_service"),
		endpoint("new", "4", "in_service"))
	for _, cut := range []int{0, 1, len(changes) / 2, len(changes) - 1} {
		c, s := follow(t, scriptedRegistry(t, func(n int, target string, conn *connbuffer.Conn) {
			body, want := list(8, true, endpoint("drains", "1", "in_service"),
				endpoint("moves", "2", "in_service"), endpoint("stays", "3", "in_service")),
				"/registry/instances?watch=1&from=0"
			switch n {
			case 1:
				body, want = changes[:cut], "/registry/instances?watch=1&from=8"
			case 2:
				body, want = changes, "/registry/instances?watch=1&from=8"
			}
			if target != want {
				t.Errorf("call %d: %s", n, target)
			}
			// Without a length the body ends with the connection, here with its reset.
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+body)
			if n < 2 {
				conn.Conn.(*net.TCPConn).SetLinger(0)
				conn.Close()
			}
		}), Limits{WatchTimeout: nettest.Patience})
		for range 2 {
			c.Follow()
			<-s.failed
		}
		c.Follow()
		if got := <-s.listed + ", " + <-s.listed; got != "true 3, false 3" {
			t.Errorf("cut after %d: %s", cut, got)
		}
		got := map[string]string{}
		for _, name := range []string{"drains", "moves", "stays", "new"} {
			c.mu.Lock()
			id := c.serverID(name)
			c.mu.Unlock()
			got[name], _ = c.Address(id)
		}
		want := map[string]string{"drains": "", "moves": "127.0.0.1:22", "stays": "127.0.0.1:3",
			"new": "127.0.0.1:4"}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("cut after %d: %s", cut, diff)
		}
	}
}
