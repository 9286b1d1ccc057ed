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

// goldenTimeout bounds what the golden test waits for on a connection; no result depends on how much of it is
// used.
const goldenTimeout = 10 * time.Second

// goldenPair is both ends of a connection within this process, on which no read or write outlasts
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

// goldenIncumbent hands over a socket that nobody connects to.
type goldenIncumbent struct {
	terms         State
	l             *net.UnixListener
	ready, exited chan struct{}
}

func (o *goldenIncumbent) SuccessorJoined() (State, syscall.Conn, error) { return o.terms, o.l, nil }
func (o *goldenIncumbent) SuccessorReady()                               { close(o.ready) }
func (o *goldenIncumbent) SuccessorExited()                              { close(o.exited) }

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
		terms: State{ServerList: []byte(`{"index":7}`), DiscoveryAddress: "discovery.example:9"}}
}

// What the incumbent sends, and the one byte that the successor sends. The socket comes as a descriptor,
// whose number is the kernel's.
func TestGoldenMessagesOfBothSidesAreReadAndWrittenByteForByte(t *testing.T) {
	s := newGoldenIncumbent(t)
	goldenfile.CheckJSON(t, "terms.json", s.terms)

	// The incumbent, as this program writes, and a successor that sends the byte of the file.
	ends := goldenPair(t)
	go serveSuccessor(ends[0], s)
	said := make([]byte, 4096)
	rights := make([]byte, unix.CmsgSpace(4))
	n, oob, _, _, err := ends[1].ReadMsgUnix(said[:4], rights)
	if err != nil || n != 4 {
		t.Fatalf("%d bytes of the length, %v", n, err)
	}
	msgs, err := unix.ParseSocketControlMessage(rights[:oob])
	if err != nil || len(msgs) != 1 {
		t.Fatalf("%d control messages, %v", len(msgs), err)
	}
	fds, err := unix.ParseUnixRights(&msgs[0])
	if err != nil || len(fds) != 1 {
		t.Fatalf("%d sockets, %v", len(fds), err)
	}
	unix.Close(fds[0])
	length := int(binary.BigEndian.Uint32(said))
	if length > len(said)-4 {
		t.Fatalf("the incumbent announces terms of %d bytes", length)
	}
	if _, err := io.ReadFull(ends[1], said[4:4+length]); err != nil {
		t.Fatal(err)
	}
	old := goldenfile.CheckBytes(t, "old.bin", said[:4+length])

	// The successor, as this program reads and writes, and an incumbent that sends the file.
	pair := goldenPair(t)
	raw, err := s.l.SyscallConn()
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
	// The file is all that comes: a length in it that is too large fails the read at once.
	if err := pair[0].CloseWrite(); err != nil {
		t.Fatal(err)
	}
	o := &Predecessor{conn: pair[1], exited: make(chan struct{})}
	if err := o.receiveState(); err != nil {
		t.Fatal(err)
	}
	defer o.Listener.Close()
	goldenfile.CheckDecoded(t, "old.bin", o.State, s.terms)
	if err := o.SendReady(); err != nil {
		t.Fatal(err)
	}
	o.Close()
	word, err := io.ReadAll(pair[0])
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ends[1].Write(goldenfile.CheckBytes(t, "new.bin", word)); err != nil {
		t.Fatal(err)
	}
	ends[1].Close()
	select {
	case <-s.exited:
	case <-time.After(goldenTimeout):
		t.Fatal("the incumbent does not notice that the successor has exited")
	}
	select {
	case <-s.ready:
	default:
		t.Error("new.bin: the incumbent does not take it for the byte by which a successor is ready")
	}
}

// Where both processes meet: a file's name by the address.
func TestGoldenPathIsTheSameForAnAddress(t *testing.T) {
	goldenfile.CheckBytes(t, "path.txt", []byte(SocketPath("run", "127.0.0.1:8080")))
}
