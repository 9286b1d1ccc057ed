package handover

import (
	"encoding/binary"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cresshub/internal/testbed/goldenfile"
)

// goldenTimeout bounds each wait of the golden test; the results don't depend on it.
const goldenTimeout = 10 * time.Second

// goldenPair returns both ends of a connection within this process, whose reads and writes time out after
// goldenTimeout.
func goldenPair(t *testing.T) (ends [2]*net.UnixConn) {
	t.Helper()
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	for i, fd := range fds {
		f := os.NewFile(uintptr(fd), "pair")
		c, err := net.FileConn(f)
		f.Close()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		if err := c.SetDeadline(time.Now().Add(goldenTimeout)); err != nil {
			t.Fatal(err)
		}
		ends[i] = c.(*net.UnixConn)
	}
	return ends
}

// goldenIncumbent is an Incumbent that passes a fixed state and a socket that no client connects to.
type goldenIncumbent struct {
	state         State
	l             *net.UnixListener
	ready, exited chan struct{}
}

func (i *goldenIncumbent) SuccessorJoined() (State, syscall.Conn, error) { return i.state, i.l, nil }
func (i *goldenIncumbent) SuccessorReady()                               { close(i.ready) }
func (i *goldenIncumbent) SuccessorExited()                              { close(i.exited) }

func newGoldenIncumbent(t *testing.T) *goldenIncumbent {
	t.Helper()
	dir, err := os.MkdirTemp("", "golden") //nolint:usetesting // t.TempDir is too long for a Unix address
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(dir, "s"), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &goldenIncumbent{l: l, ready: make(chan struct{}), exited: make(chan struct{}),
		state: State{ServerList: []byte(`{"index":7}`), DiscoveryAddress: "discovery.example:9"}}
}

// Compares the state that the incumbent sends and the byte that the successor sends with the golden files,
// byte for byte. The passed descriptor is not compared, because the kernel chooses its number.
func TestGoldenMessagesOfBothSidesAreReadAndWrittenByteForByte(t *testing.T) {
	incumbent := newGoldenIncumbent(t)
	goldenfile.CheckJSON(t, "terms.json", incumbent.state)

	// This program as the incumbent; the test is the successor, which sends the byte in new.bin below.
	ends := goldenPair(t)
	go serveSuccessor(ends[0], incumbent)
	sent := make([]byte, 4096)
	rights := make([]byte, unix.CmsgSpace(4))
	n, oob, _, _, err := ends[1].ReadMsgUnix(sent[:4], rights)
	if err != nil || n != 4 {
		t.Fatalf("received %d bytes of the length, %v", n, err)
	}
	msgs, err := unix.ParseSocketControlMessage(rights[:oob])
	if err != nil || len(msgs) != 1 {
		t.Fatalf("received %d control messages, %v", len(msgs), err)
	}
	fds, err := unix.ParseUnixRights(&msgs[0])
	if err != nil || len(fds) != 1 {
		t.Fatalf("received %d sockets, %v", len(fds), err)
	}
	unix.Close(fds[0])
	length := int(binary.BigEndian.Uint32(sent))
	if length > len(sent)-4 {
		t.Fatalf("the incumbent announces a state of %d bytes", length)
	}
	if _, err := io.ReadFull(ends[1], sent[4:4+length]); err != nil {
		t.Fatal(err)
	}
	old := goldenfile.CheckBytes(t, "old.bin", sent[:4+length])

	// This program as the successor; the test is the incumbent, which sends old.bin.
	pair := goldenPair(t)
	raw, err := incumbent.l.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) {
		_, _, err = pair[0].WriteMsgUnix(old, unix.UnixRights(int(fd)), nil)
	}); err != nil {
		t.Fatal(err)
	}
	if err != nil {
		t.Fatal(err)
	}
	// Nothing follows the file, so that a length in it that is too large makes the read fail at once.
	if err := pair[0].CloseWrite(); err != nil {
		t.Fatal(err)
	}
	predecessor := &Predecessor{conn: pair[1], exited: make(chan struct{})}
	if err := predecessor.receiveState(); err != nil {
		t.Fatal(err)
	}
	defer predecessor.Listener.Close()
	goldenfile.CheckDecoded(t, "old.bin", predecessor.State, incumbent.state)
	if err := predecessor.SendReady(); err != nil {
		t.Fatal(err)
	}
	predecessor.Close()
	message, err := io.ReadAll(pair[0])
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ends[1].Write(goldenfile.CheckBytes(t, "new.bin", message)); err != nil {
		t.Fatal(err)
	}
	ends[1].Close()
	select {
	case <-incumbent.exited:
	case <-time.After(goldenTimeout):
		t.Fatal("the incumbent does not notice that the successor has exited")
	}
	select {
	case <-incumbent.ready:
	default:
		t.Error("new.bin: the incumbent does not accept it as the message that the successor is ready")
	}
}

// Both processes derive the name of the socket file from the address, so it must not change.
func TestGoldenSocketPath(t *testing.T) {
	goldenfile.CheckBytes(t, "path.txt", []byte(SocketPath("run", "127.0.0.1:8080")))
}
