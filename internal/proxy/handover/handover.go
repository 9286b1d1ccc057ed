// Package handover lets a new process take over from an old one while both run: the old one passes its
// listening socket and its list of servers over a Unix socket, and each hears when the other is ready or
// gone.
package handover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxTerms = 64 << 20 // bytes; a list of servers is the largest part
	// replyTimeout bounds each write to a process that joins, and how long it may take to say who it is.
	replyTimeout = 2 * time.Second
	readyByte    = 'R'
	maxUnixPath  = 100 // a longer path does not fit a Unix address
)

// Terms are what the old process tells the new one.
type Terms struct {
	Known     json.RawMessage `json:"known,omitempty"`     // its list of servers, in discovery's form
	Discovery string          `json:"discovery,omitempty"` // where that list comes from
}

// Path is where the process that serves an address can be met, in a folder that both see.
func Path(dir, address string) string {
	h := fnv.New64a()
	io.WriteString(h, address)
	return filepath.Join(dir, "cresshub-"+strconv.FormatUint(h.Sum64(), 36)+".sock")
}

// shortPath returns a path to the same file that fits a Unix address, and what to call when it is done with.
func shortPath(path string) (string, func(), error) {
	if len(path) <= maxUnixPath {
		return path, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)), func() { dir.Close() }, nil
}

// Predecessor is the process that serves the address so far.
type Predecessor struct {
	Terms
	Listener net.Listener // its own, shared
	conn     *net.UnixConn
	exited   chan struct{}
}

// Join asks the process that serves at path for its listening socket and waits so long for it. It returns
// nil where there is no such process; a file that a killed one left behind is none.
func Join(path string, wait time.Duration) (*Predecessor, error) {
	if _, err := os.Stat(path); err != nil {
		return nil, nil
	}
	at, done, err := shortPath(path)
	if err != nil {
		return nil, err
	}
	defer done()
	nc, err := (&net.Dialer{Timeout: wait}).Dial("unix", at)
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	o := &Predecessor{conn: nc.(*net.UnixConn), exited: make(chan struct{})}
	nc.SetDeadline(time.Now().Add(wait))
	if err := o.receiveTerms(); err != nil {
		nc.Close()
		return nil, err
	}
	nc.SetDeadline(time.Time{})
	go func() {
		io.Copy(io.Discard, nc)
		close(o.exited)
	}()
	return o, nil
}

// receiveTerms reads the terms, with which the socket comes.
func (o *Predecessor) receiveTerms() error {
	if err := checkPeerUser(o.conn); err != nil {
		return err
	}
	var size [4]byte
	rights := make([]byte, unix.CmsgSpace(4))
	n, oob, _, _, err := o.conn.ReadMsgUnix(size[:], rights)
	if err != nil {
		return err
	}
	messages, err := unix.ParseSocketControlMessage(rights[:oob])
	if err != nil || len(messages) != 1 {
		return fmt.Errorf("no socket came with the terms (%v)", err)
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return fmt.Errorf("%d sockets came with the terms (%v)", len(fds), err)
	}
	file := os.NewFile(uintptr(fds[0]), "listener")
	defer file.Close()
	unix.CloseOnExec(fds[0])
	if _, err := io.ReadFull(o.conn, size[n:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(size[:])
	if length > maxTerms {
		return fmt.Errorf("terms of %d bytes", length)
	}
	text := make([]byte, length)
	if _, err := io.ReadFull(o.conn, text); err != nil {
		return err
	}
	if err := json.Unmarshal(text, &o.Terms); err != nil {
		return err
	}
	o.Listener, err = net.FileListener(file)
	return err
}

// SendReady tells the old process that this one serves.
func (o *Predecessor) SendReady() error {
	o.conn.SetWriteDeadline(time.Now().Add(replyTimeout))
	_, err := o.conn.Write([]byte{readyByte})
	return err
}

// Exited is closed when the old process has ended.
func (o *Predecessor) Exited() <-chan struct{} { return o.exited }

// Close ends the connection; the old process takes this one for gone.
func (o *Predecessor) Close() { o.conn.Close() }

// Incumbent is told what a new process does. Its methods may be called from several goroutines.
type Incumbent interface {
	// SuccessorJoined returns the terms and the listening socket for a process that starts; it may wait.
	SuccessorJoined() (Terms, syscall.Conn, error)
	// SuccessorReady says that the process which joined serves.
	SuccessorReady()
	// SuccessorExited says that it is gone.
	SuccessorExited()
}

// Offer is how new processes find this one.
type Offer struct {
	listener   *net.UnixListener
	path       string
	socketFile os.FileInfo
}

// Listen makes this process the one that is found at path, in the place of any other.
func Listen(path string) (*Offer, error) {
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(temporary)
	at, done, err := shortPath(temporary)
	if err != nil {
		return nil, err
	}
	defer done()
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: at, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false)        // the name may be another's by then
	err = os.Rename(temporary, path) // whole or not at all, so that nobody finds half a socket
	if err != nil {
		l.Close()
		os.Remove(temporary)
		return nil, err
	}
	file, err := os.Lstat(path)
	if err != nil {
		l.Close()
		return nil, err
	}
	return &Offer{l, path, file}, nil
}

// Close ends the offer and removes its file, if it is not a successor's by now.
func (o *Offer) Close() {
	o.listener.Close()
	if file, err := os.Lstat(o.path); err == nil && os.SameFile(file, o.socketFile) {
		os.Remove(o.path)
	}
}

// Serve meets new processes until Close.
func (o *Offer) Serve(s Incumbent) {
	for {
		c, err := o.listener.AcceptUnix()
		if err != nil {
			return
		}
		go serveSuccessor(c, s)
	}
}

func serveSuccessor(c *net.UnixConn, s Incumbent) {
	defer c.Close()
	if checkPeerUser(c) != nil {
		return
	}
	terms, socket, err := s.SuccessorJoined()
	if err != nil {
		return
	}
	defer s.SuccessorExited()
	text, err := json.Marshal(terms)
	if err != nil {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	c.SetDeadline(time.Now().Add(replyTimeout))
	failed := raw.Control(func(fd uintptr) {
		size := binary.BigEndian.AppendUint32(nil, uint32(len(text)))
		if _, _, err = c.WriteMsgUnix(size, unix.UnixRights(int(fd)), nil); err == nil {
			_, err = c.Write(text)
		}
	})
	if err != nil || failed != nil {
		return
	}
	c.SetDeadline(time.Time{})
	var word [1]byte
	if _, err := io.ReadFull(c, word[:]); err == nil && word[0] == readyByte {
		s.SuccessorReady()
		io.Copy(io.Discard, c)
	}
}

// checkPeerUser tells whether the other side is a process of the same user: a folder that others may write to
// must not let them have our clients.
func checkPeerUser(c *net.UnixConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var peer *unix.Ucred
	failed := raw.Control(func(fd uintptr) {
		peer, err = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	})
	switch {
	case failed != nil:
		return failed
	case err != nil:
		return err
	case int(peer.Uid) != os.Getuid() && peer.Uid != 0:
		return fmt.Errorf("the other process is user %d", peer.Uid)
	}
	return nil
}

// ReusePort sets on a socket, before it is bound, that a later process may listen at its address too: the way
// where none of the above is to be had.
func ReusePort(_, _ string, raw syscall.RawConn) error {
	// An error is no reason not to listen: it only leaves the address to this process alone.
	return raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
}
