package handover

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const testTimeout = 20 * time.Second

// fakeIncumbent is an Incumbent that passes l and reports the calls of its methods on channels.
type fakeIncumbent struct {
	l             *net.TCPListener
	ready, exited chan bool
}

func (i *fakeIncumbent) SuccessorJoined() (State, syscall.Conn, error) {
	return State{ServerList: []byte(`{"index":7}`)}, i.l, nil
}
func (i *fakeIncumbent) SuccessorReady()  { i.ready <- true }
func (i *fakeIncumbent) SuccessorExited() { i.exited <- true }

// listen opens a listener with SO_REUSEPORT, so that other listeners can use the same address.
func listen(t *testing.T, address string) *net.TCPListener {
	t.Helper()
	l, err := (&net.ListenConfig{Control: ReusePort}).Listen(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

// serveIncumbent starts an incumbent that accepts successors at path until the test ends.
func serveIncumbent(t *testing.T, path string) *fakeIncumbent {
	t.Helper()
	incumbent := &fakeIncumbent{listen(t, "127.0.0.1:0"), make(chan bool, 1), make(chan bool, 1)}
	listener, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	go listener.Serve(incumbent)
	t.Cleanup(listener.Close)
	return incumbent
}

// join connects to the incumbent as a successor. The connection and the listener are closed when the test
// ends.
func join(t *testing.T, path string) *Predecessor {
	t.Helper()
	p, err := Join(path, testTimeout)
	if err != nil || p == nil {
		t.Fatalf("%v, %v", p, err)
	}
	t.Cleanup(func() { p.Close(); p.Listener.Close() })
	return p
}

// wait waits until something is received from c, or c is closed; event describes it in the failure message.
func wait[T any](t *testing.T, event string, c <-chan T) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for: %s", event)
	}
}

// A client that connected before the incumbent closed its listener is accepted by the successor, even if the
// path is too long for the address of a Unix socket.
func TestSuccessorSharesListeningSocket(t *testing.T) {
	for _, dir := range []string{"", strings.Repeat("long/", 30)} {
		dir = filepath.Join(t.TempDir(), dir)
		if err := os.MkdirAll(dir, 0o700); err != nil {
			t.Fatal(err)
		}
		path := SocketPath(dir, "127.0.0.1:1")
		incumbent := serveIncumbent(t, path)
		p := join(t, path)
		if p.Listener.Addr().String() != incumbent.l.Addr().String() || string(p.ServerList) != `{"index":7}` {
			t.Errorf("%v, %s", p.Listener.Addr(), p.ServerList)
		}
		client, err := net.Dial("tcp", incumbent.l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if err := p.SendReady(); err != nil {
			t.Fatal(err)
		}
		wait(t, "the incumbent sees that the successor is ready", incumbent.ready)
		incumbent.l.Close()
		c, err := p.Listener.Accept()
		if err != nil || c.RemoteAddr().String() != client.LocalAddr().String() {
			t.Errorf("%v, %v", c, err)
		}
		p.Close()
		wait(t, "the incumbent sees that the successor exited", incumbent.exited)
	}
}

func TestBothSidesNoticeEndOfConnection(t *testing.T) {
	path := SocketPath(t.TempDir(), "a")
	incumbent := serveIncumbent(t, path)
	p := join(t, path)
	p.conn.CloseWrite() // looks like an exit to the incumbent, which then closes the connection
	wait(t, "left", incumbent.exited)
	wait(t, "gone", p.Exited())
}

// If the incumbent is killed at any point while it passes its socket, Join returns an error at once. If a
// successor exits after it was ready, the incumbent accepts the next successor.
func TestEitherSideKilledDuringHandover(t *testing.T) {
	for _, sent := range []int{0, 2, 4, 9} { // bytes of length and state; the first passes the socket
		path := SocketPath(t.TempDir(), "a")
		listener, err := Listen(path)
		if err != nil {
			t.Fatal(err)
		}
		socket := listen(t, "127.0.0.1:0")
		go func() {
			c, err := listener.listener.AcceptUnix()
			if err != nil {
				return
			}
			defer c.Close()
			raw, _ := socket.SyscallConn()
			raw.Control(func(fd uintptr) {
				if message := append([]byte{0, 0, 0, 20}, `{"known":{"index":7}}`[:20]...); sent > 0 {
					c.WriteMsgUnix(message[:sent], unix.UnixRights(int(fd)), nil)
				}
			})
		}()
		start := time.Now()
		if p, err := Join(path, testTimeout); p != nil || err == nil || time.Since(start) > testTimeout/2 {
			t.Errorf("killed after %d bytes: %v, %v after %v", sent, p, err, time.Since(start))
		}
		listener.Close()
	}
	path := SocketPath(t.TempDir(), "b")
	incumbent := serveIncumbent(t, path)
	for range 2 {
		p := join(t, path)
		if err := p.SendReady(); err != nil {
			t.Fatal(err)
		}
		wait(t, "the incumbent sees that the successor is ready", incumbent.ready)
		p.Close()
		wait(t, "the incumbent sees that the successor exited", incumbent.exited)
	}
	join(t, path)
}

func TestJoinIgnoresSocketFileOfKilledProcess(t *testing.T) {
	path := SocketPath(t.TempDir(), "a")
	if p, err := Join(path, testTimeout); p != nil || err != nil {
		t.Errorf("without a file: %v, %v", p, err)
	}
	killed, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	killed.listener.Close() // the file remains, as when the process is killed
	if p, err := Join(path, testTimeout); p != nil || err != nil {
		t.Errorf("the file of a killed process: %v, %v", p, err)
	}
	killed.Close()
	if _, err := os.Lstat(path); err == nil {
		t.Error("Close does not remove the socket file")
	}
	if err := os.WriteFile(path+".0", nil, 0o600); err != nil {
		t.Fatal(err)
	}
	serveIncumbent(t, path)
	join(t, path)
}

func TestJoinTimesOut(t *testing.T) {
	path := SocketPath(t.TempDir(), "a")
	listener, err := Listen(path) // without Serve: it never sends its state
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if p, err := Join(path, 50*time.Millisecond); p != nil || err == nil {
		t.Errorf("%v, %v", p, err)
	}
}

func TestJoinIgnoresFileThatIsNoSocket(t *testing.T) {
	path := SocketPath(t.TempDir(), "a")
	if err := os.WriteFile(path, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if p, err := Join(path, testTimeout); p != nil || err != nil {
		t.Errorf("a file that is no socket: %v, %v", p, err)
	}
	serveIncumbent(t, path)
	join(t, path)
}

// The reason for passing the socket: connections that wait to be accepted when the incumbent closes its
// listener are lost if they are in the queue of its own socket, but not if the successor shares the socket.
func TestConnectionsInSharedQueueSurvive(t *testing.T) {
	const waiting = 64 // with two sockets, the kernel puts each connection into either queue at random
	for _, passed := range []bool{true, false} {
		path := SocketPath(t.TempDir(), "a")
		old := serveIncumbent(t, path).l
		next := net.Listener(nil)
		if passed {
			next = join(t, path).Listener
		} else {
			next = listen(t, old.Addr().String())
		}
		for range waiting {
			c, err := net.Dial("tcp", old.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
		}
		old.Close()
		limit := testTimeout
		if !passed { // lost connections never arrive
			limit = 500 * time.Millisecond
		}
		next.(*net.TCPListener).SetDeadline(time.Now().Add(limit))
		accepted := 0
		for accepted < waiting {
			c, err := next.Accept()
			if err != nil {
				break
			}
			defer c.Close()
			accepted++
		}
		t.Logf("socket passed %v: %d of %d waiting connections are lost", passed, waiting-accepted, waiting)
		if passed != (accepted == waiting) {
			t.Errorf("socket passed %v: %d of %d waiting connections are accepted", passed, accepted, waiting)
		}
	}
}

// Join returns an error if it can't stat the socket file, because it is unknown whether a process serves
// there.
func TestJoinReturnsStatError(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if p, err := Join(filepath.Join(file, "s"), testTimeout); p != nil || err == nil {
		t.Errorf("%v, %v", p, err)
	}
	if p, err := Join(filepath.Join(dir, "none"), testTimeout); p != nil || err != nil {
		t.Errorf("without a file: %v, %v", p, err)
	}
}
