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

type fakeIncumbent struct {
	l             *net.TCPListener
	ready, exited chan bool
}

func (s *fakeIncumbent) SuccessorJoined() (State, syscall.Conn, error) {
	return State{ServerList: []byte(`{"index":7}`)}, s.l, nil
}
func (s *fakeIncumbent) SuccessorReady()  { s.ready <- true }
func (s *fakeIncumbent) SuccessorExited() { s.exited <- true }

// listen opens a listener whose address other sockets may share.
func listen(t *testing.T, address string) *net.TCPListener {
	t.Helper()
	l, err := (&net.ListenConfig{Control: ReusePort}).Listen(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

func offer(t *testing.T, path string) *fakeIncumbent {
	t.Helper()
	s := &fakeIncumbent{listen(t, "127.0.0.1:0"), make(chan bool, 1), make(chan bool, 1)}
	o, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	go o.Serve(s)
	t.Cleanup(o.Close)
	return s
}

// join is the successor; the test closes what it took over.
func join(t *testing.T, path string) *Predecessor {
	t.Helper()
	o, err := Join(path, testTimeout)
	if err != nil || o == nil {
		t.Fatalf("%v, %v", o, err)
	}
	t.Cleanup(func() { o.Close(); o.Listener.Close() })
	return o
}

func wait[T any](t *testing.T, what string, c <-chan T) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(testTimeout):
		t.Fatalf("never: %s", what)
	}
}

// What connected before the incumbent closed its listener is still there for the successor, also where the
// path is too long for a Unix address.
func TestSuccessorGetsTheSameSocket(t *testing.T) {
	for _, dir := range []string{"", strings.Repeat("long/", 30)} {
		dir = filepath.Join(t.TempDir(), dir)
		if err := os.MkdirAll(dir, 0o700); err != nil {
			t.Fatal(err)
		}
		path := SocketPath(dir, "127.0.0.1:1")
		s := offer(t, path)
		o := join(t, path)
		if o.Listener.Addr().String() != s.l.Addr().String() || string(o.ServerList) != `{"index":7}` {
			t.Errorf("%v, %s", o.Listener.Addr(), o.ServerList)
		}
		early, err := net.Dial("tcp", s.l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if err := o.SendReady(); err != nil {
			t.Fatal(err)
		}
		wait(t, "the incumbent sees that the successor is ready", s.ready)
		s.l.Close()
		c, err := o.Listener.Accept()
		if err != nil || c.RemoteAddr().String() != early.LocalAddr().String() {
			t.Errorf("%v, %v", c, err)
		}
		o.Close()
		wait(t, "the incumbent sees that the successor exited", s.exited)
	}
}

func TestBothSidesSeeTheConnectionEnd(t *testing.T) {
	path := SocketPath(t.TempDir(), "a")
	s := offer(t, path)
	o := join(t, path)
	o.conn.CloseWrite() // as the exit of this process looks to the incumbent, which then closes
	wait(t, "left", s.exited)
	wait(t, "gone", o.Exited())
}

// An incumbent that is killed anywhere while it passes its socket gives the successor an error at once; a
// successor that exits after it was ready leaves the incumbent for the next one.
func TestEitherSideMayBeKilledAtAnyPoint(t *testing.T) {
	for _, sent := range []int{0, 2, 4, 9} { // of the size and the terms, the socket with the first byte
		path := SocketPath(t.TempDir(), "a")
		o, err := Listen(path)
		if err != nil {
			t.Fatal(err)
		}
		socket := listen(t, "127.0.0.1:0")
		go func() {
			c, err := o.listener.AcceptUnix()
			if err != nil {
				return
			}
			defer c.Close()
			raw, _ := socket.SyscallConn()
			raw.Control(func(fd uintptr) {
				if text := append([]byte{0, 0, 0, 20}, `{"known":{"index":7}}`[:20]...); sent > 0 {
					c.WriteMsgUnix(text[:sent], unix.UnixRights(int(fd)), nil)
				}
			})
		}()
		began := time.Now()
		if old, err := Join(path, testTimeout); old != nil || err == nil || time.Since(began) > testTimeout/2 {
			t.Errorf("killed after %d bytes: %v, %v after %v", sent, old, err, time.Since(began))
		}
		o.Close()
	}
	path := SocketPath(t.TempDir(), "b")
	s := offer(t, path)
	for range 2 {
		o := join(t, path)
		if err := o.SendReady(); err != nil {
			t.Fatal(err)
		}
		wait(t, "it serves", s.ready)
		o.Close()
		wait(t, "it left", s.exited)
	}
	join(t, path)
}

func TestSocketFileOfAKilledProcessCountsAsNone(t *testing.T) {
	path := SocketPath(t.TempDir(), "a")
	if o, err := Join(path, testTimeout); o != nil || err != nil {
		t.Errorf("nothing there: %v, %v", o, err)
	}
	dead, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	dead.listener.Close() // and the file stays, as where it was killed
	if o, err := Join(path, testTimeout); o != nil || err != nil {
		t.Errorf("a dead one: %v, %v", o, err)
	}
	dead.Close()
	if _, err := os.Lstat(path); err == nil {
		t.Error("a file is left behind")
	}
	if err := os.WriteFile(path+".0", nil, 0o600); err != nil {
		t.Fatal(err)
	}
	offer(t, path)
	join(t, path)
}

func TestJoinGivesUpOnASilentIncumbent(t *testing.T) {
	path := SocketPath(t.TempDir(), "a")
	o, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	if old, err := Join(path, 50*time.Millisecond); old != nil || err == nil {
		t.Errorf("%v, %v", old, err)
	}
}

func TestFileThatIsNoSocketCountsAsNone(t *testing.T) {
	path := SocketPath(t.TempDir(), "a")
	if err := os.WriteFile(path, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if o, err := Join(path, testTimeout); o != nil || err != nil {
		t.Errorf("a file that is no socket: %v, %v", o, err)
	}
	offer(t, path)
	join(t, path)
}

// Why the socket is passed: of the connections that wait to be accepted when the incumbent closes its
// listener, those in a queue of its own are lost, those in a shared one are not.
func TestConnectionsInTheSharedQueueSurvive(t *testing.T) {
	const waiting = 64 // each falls into either queue by chance
	for _, passed := range []bool{true, false} {
		path := SocketPath(t.TempDir(), "a")
		old := offer(t, path).l
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
		if !passed { // some never come
			limit = 500 * time.Millisecond
		}
		next.(*net.TCPListener).SetDeadline(time.Now().Add(limit))
		kept := 0
		for kept < waiting {
			c, err := next.Accept()
			if err != nil {
				break
			}
			defer c.Close()
			kept++
		}
		t.Logf("passed %v: %d of %d that waited are lost", passed, waiting-kept, waiting)
		if passed != (kept == waiting) {
			t.Errorf("passed %v: %d of %d that waited are kept", passed, kept, waiting)
		}
	}
}

// A socket file that can't be looked at is an error: whether a process serves there is not known.
func TestSocketFileThatCannotBeLookedAtIsAnError(t *testing.T) {
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
