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

const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// document is a list of one server in discovery's form.
func document(index int, whole bool, name, status string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[{"name":%q,"address":"127.0.0.1:1",`+
		`"zone":"kita","type":"m2","group":1,"status":%q,"weight":1,"since_ms":0}]}`, index, whole, name, status)
}

// registryCall answers the n-th call, from 0 on, of a registry. It gets the call's target.
type registryCall func(n int, target string, c *connbuffer.Conn)

// scriptedRegistry is a registry whose calls are answered by serve.
func scriptedRegistry(t *testing.T, serve registryCall) string {
	t.Helper()
	return nettest.Listen(t, serveCalls(serve))
}

// connector opens the connections of a client.
type connector func(ctx context.Context, address string) (net.Conn, error)

// simulatedRegistry is scriptedRegistry on a simulated network, for tests whose result depends on time: in a
// bubble of package synctest no stall of the machine is seen. It returns what connects to it.
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

// serveCalls returns what serves one connection after the other, and counts the calls on all of them.
func serveCalls(serve registryCall) func(c *connbuffer.Conn) {
	calls := make(chan int, 1)
	calls <- 0
	return func(c *connbuffer.Conn) {
		for {
			q, err := http1.ReadRequest(c.In)
			if err != nil {
				return
			}
			n := <-calls
			calls <- n + 1
			serve(n, q.Target, c)
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
	over := make(chan bool)
	go func() { c.Run(ctx, s, func() {}); close(over) }()
	t.Cleanup(func() { cancel(); <-over })
	return c, s
}

// A list is applied however it is split into lines and chunks; one that is truncated, too large or invalid
// leaves the last good one.
func TestListsInChunks(t *testing.T) {
	one, two := document(8, true, "a", "in_service"), document(9, false, "b", "in_service")
	indent := strings.NewReplacer("{", "{\n  ", ",", ",\r\n\t", "}", "\n}")
	bytes := ""
	for i := range one {
		bytes += chunk(one[i : i+1])
	}
	for name, in := range map[string]struct {
		said string
		held int
	}{
		"on lines of their own": {chunk(one+"\n") + chunk(two+"\n"), 2},
		"indented":              {chunk(indent.Replace(one)+"\n") + chunk("\n"+indent.Replace(two)+"\n"), 2},
		"byte by byte":          {bytes + chunk("\n") + chunk(two), 2},
		"in one piece":          {chunk(one + two), 2},
		"across pieces":         {chunk(one+two[:20]) + chunk(two[20:]), 2},
		"cut off":               {chunk(one) + chunk(two[:20]), 1},
		"empty lines":           {chunk("\n") + chunk("\r\n") + chunk(one) + chunk("\n"), 1},
		"too large":             {chunk(one) + chunk(`{"index":9,"more":"`+strings.Repeat("x", 1<<16)+`"}`), 1},
		"no list":               {chunk(one) + chunk("nonsense"), 1},
		"an unknown status":     {chunk(one) + chunk(document(9, false, "b", "asleep")), 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, s := follow(t, scriptedRegistry(t, func(n int, _ string, conn *connbuffer.Conn) {
				io.WriteString(conn, chunked+in.said)
				conn.Close()
			}), Limits{WatchTimeout: nettest.Patience})
			c.Follow()
			<-s.failed
			got := []int{c.NumListed(), c.NumInService(), len(s.listed), int(c.Index()) - 7}
			if diff := cmp.Diff([]int{in.held, in.held, in.held, in.held}, got); diff != "" {
				t.Errorf("held, in service, told, version: %s", diff)
			}
		})
	}
}

// A watch that times out, also within a list of which bytes still trickle in, is reopened from the present
// index, without Follow and without ListFailed.
func TestTimedOutWatchIsReopened(t *testing.T) {
	for name, last := range map[string]string{"between lists": "\n", "in a list": `{"index":9,"endpo`} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { checkReopened(t, last) })
		})
	}
}

// checkReopened has a watch time out after a list and the bytes that follow it.
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
		t.Errorf("listed %s, told as failed %d times", got, len(s.failed))
	}
}

// What a silent watch misses takes effect soon, however long it may be until the next Follow: a first call
// after it that is refused, reset or not answered either is made again without ListFailed.
func TestReopenAfterTimeoutIsRetriedOnce(t *testing.T) {
	for name, refuse := range map[string]func(conn *connbuffer.Conn){
		"refused": func(conn *connbuffer.Conn) {
			io.WriteString(conn, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
		},
		"reset": func(conn *connbuffer.Conn) {
			conn.Conn.(interface{ SetLinger(seconds int) error }).SetLinger(0)
			conn.Close()
		},
		"not answered": func(*connbuffer.Conn) {},
	} {
		for _, opened := range []bool{true, false} { // whether the watch that timed out had delivered anything
			t.Run(fmt.Sprint(name, ", opened ", opened), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { checkRetriedOnce(t, refuse, opened) })
			})
		}
	}
}

// checkRetriedOnce refuses the call after a watch that timed out.
func checkRetriedOnce(t *testing.T, refuse func(conn *connbuffer.Conn), opened bool) {
	t.Helper()
	calls, over := make(chan int, 99), make(chan bool)
	defer close(over)
	c, s := followSimulated(t, simulatedRegistry(t, func(n int, _ string, conn *connbuffer.Conn) {
		calls <- n
		switch {
		case n == 0 && opened:
			io.WriteString(conn, chunked+chunk(document(8, true, "a", "in_service")))
		case n == 1:
			refuse(conn)
		case n >= 2:
			io.WriteString(conn, chunked+chunk(document(9, true, "b", "in_service")))
			<-over
		}
	}), Limits{WatchTimeout: 300 * time.Millisecond})
	c.Follow()
	lists := 1
	if opened {
		lists = 2
	}
	for range lists {
		select {
		case <-s.listed:
		case <-s.failed:
			t.Fatalf("told as failed after %d calls", len(calls))
		case <-time.After(nettest.Patience):
			t.Fatalf("nothing more after %d calls", len(calls))
		}
	}
	if len(calls) != 3 {
		t.Errorf("%d calls", len(calls))
	}
}

// Where changes take effect at once, a watch is reopened after a time-out no later than after any other end.
func TestReopenDelayWhereListsBind(t *testing.T) {
	for _, c := range []struct{ silence, again, want time.Duration }{
		{2400 * time.Millisecond, 0, 600 * time.Millisecond},
		{2400 * time.Millisecond, 150 * time.Millisecond, 100 * time.Millisecond},
		{2400 * time.Millisecond, time.Hour, 600 * time.Millisecond},
	} {
		if got := (&Limits{WatchTimeout: c.silence, MaxReopenDelay: c.again}).TimeoutReopenDelay(); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// While no connection to the registry comes up, as where a watch timed out because of a partition, calls
// are made for as long as that takes: they cost the registry nothing, and what was missed takes effect
// soon after the partition heals.
func TestReopenDuringPartition(t *testing.T) { synctest.Test(t, checkReopenedAfterPartition) }

func checkReopenedAfterPartition(t *testing.T) {
	const cut = 9 // calls whose connections never open
	tries := make(chan bool, 99)
	dial := simulatedRegistry(t, func(n int, _ string, conn *connbuffer.Conn) {
		if n == 0 {
			io.WriteString(conn, chunked+chunk(document(8, true, "a", "in_service")))
			return
		}
		io.WriteString(conn, chunked+chunk(document(9, false, "a", "terminating")))
	})
	connect := func(ctx context.Context, address string) (net.Conn, error) {
		if tries <- true; len(tries) > 1 && len(tries) <= 1+cut {
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
			t.Fatalf("told as failed after %d tries", len(tries))
		case <-time.After(nettest.Patience):
			t.Fatalf("nothing more after %d tries", len(tries))
		}
	}
	if c.NumInService() != 0 {
		t.Error("what drains is in service")
	}
}

// A registry that comes back with a lower index sends changes of another list than the present one, so the
// full list is asked for. The change is applied all the same, because a drain takes effect at once.
func TestIndexFallsBack(t *testing.T) {
	for _, first := range []string{"terminating", "in_service"} {
		c, s := follow(t, scriptedRegistry(t, func(n int, target string, conn *connbuffer.Conn) {
			switch n {
			case 0:
				io.WriteString(conn, chunked+chunk(document(8, true, "a", "in_service"))+
					chunk(document(3, false, "b", first)))
			case 1:
				if target != "/registry/instances" {
					t.Errorf("then %s", target)
				}
				nettest.OK(document(4, true, "b", "in_service")).Write(conn.Out)
				conn.Flush()
			default:
				if target != "/registry/instances?watch=1&from=4" {
					t.Errorf("at last %s", target)
				}
				io.WriteString(conn, chunked+chunk(document(5, false, "c", "in_service")))
			}
		}), Limits{WatchTimeout: nettest.Patience})
		c.Follow()
		got := []string{<-s.listed, <-s.listed, <-s.listed, <-s.listed}
		if diff := cmp.Diff([]string{"true 1", "false 1", "true 1", "false 1"}, got); diff != "" {
			t.Error(diff)
		}
		if c.NumListed() != 2 || c.Index() != 5 || len(s.failed) > 0 { // a, which the new count does not know, is gone
			t.Errorf("%d held at version %d", c.NumListed(), c.Index())
		}
	}
}

// Where changes take effect at once the full list is asked for at the start, and a watch is opened after
// every end, without Follow.
func TestFollowsAlways(t *testing.T) {
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
		t.Errorf("told as failed %d times, %d held", len(s.failed), c.NumListed())
	}
}

// A watch is reset, and before the next one opens a server drains, one moves and one is new: the next watch
// continues from the last index delivered, and from its first document on nothing old is valid. So it is
// where the reset comes within that document.
func TestDrainDuringReset(t *testing.T) {
	line := func(name, port, status string) string {
		return fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:%s","zone":"kita","type":"m2","group":1,`+
			`"status":%q,"weight":1,"since_ms":0}`, name, port, status)
	}
	list := func(index int, whole bool, lines ...string) string {
		return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, whole, strings.Join(lines, ","))
	}
	changes := list(12, false, line("drains", "1", "terminating"), line("moves", "22", "in_service"),
		line("new", "4", "in_service"))
	for _, cut := range []int{0, 1, len(changes) / 2, len(changes) - 1} {
		c, s := follow(t, scriptedRegistry(t, func(n int, target string, conn *connbuffer.Conn) {
			said, want := list(8, true, line("drains", "1", "in_service"), line("moves", "2", "in_service"),
				line("stays", "3", "in_service")), "/registry/instances?watch=1&from=0"
			switch n {
			case 1:
				said, want = changes[:cut], "/registry/instances?watch=1&from=8"
			case 2:
				said, want = changes, "/registry/instances?watch=1&from=8"
			}
			if target != want {
				t.Errorf("call %d: %s", n, target)
			}
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+said) // with no length: its end is a reset
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
