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
	// answering bounds each write to a process that joins, and how long it may take to say who it is.
	answering  = 2 * time.Second
	readyWord  = 'R'
	longestRaw = 100 // a longer path does not fit a Unix address
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

// short returns a path to the same file that fits a Unix address, and what to call when it is done with.
func short(path string) (string, func(), error) {
	if len(path) <= longestRaw {
		return path, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)), func() { dir.Close() }, nil
}

// Old is the process that serves the address so far.
type Old struct {
	Terms
	Listener net.Listener // its own, shared
	conn     *net.UnixConn
	gone     chan struct{}
}

// Join asks the process that serves at path for its listening socket and waits so long for it. It returns
// nil where there is no such process; a file that a killed one left behind is none.
func Join(path string, wait time.Duration) (*Old, error) {
	if _, err := os.Stat(path); err != nil {
		return nil, nil
	}
	at, done, err := short(path)
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
	o := &Old{conn: nc.(*net.UnixConn), gone: make(chan struct{})}
	nc.SetDeadline(time.Now().Add(wait))
	if err := o.receive(); err != nil {
		nc.Close()
		return nil, err
	}
	nc.SetDeadline(time.Time{})
	go func() {
		io.Copy(io.Discard, nc)
		close(o.gone)
	}()
	return o, nil
}

// receive reads the terms, with which the socket comes.
func (o *Old) receive() error {
	if err := trusted(o.conn); err != nil {
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

// Ready tells the old process that this one serves.
func (o *Old) Ready() error {
	o.conn.SetWriteDeadline(time.Now().Add(answering))
	_, err := o.conn.Write([]byte{readyWord})
	return err
}

// Gone is closed when the old process has ended.
func (o *Old) Gone() <-chan struct{} { return o.gone }

// Close ends the connection; the old process takes this one for gone.
func (o *Old) Close() { o.conn.Close() }

// Successor is told what a new process does. Its methods may be called from several goroutines.
type Successor interface {
	// Joins returns the terms and the listening socket for a process that starts; it may wait.
	Joins() (Terms, syscall.Conn, error)
	// Serves says that the process which joined serves.
	Serves()
	// Left says that it is gone.
	Left()
}

// Offer is how new processes find this one.
type Offer struct {
	l    *net.UnixListener
	path string
	file os.FileInfo
}

// Listen makes this process the one that is found at path, in the place of any other.
func Listen(path string) (*Offer, error) {
	own := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(own)
	at, done, err := short(own)
	if err != nil {
		return nil, err
	}
	defer done()
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: at, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false)  // the name may be another's by then
	err = os.Rename(own, path) // whole or not at all, so that nobody finds half a socket
	if err != nil {
		l.Close()
		os.Remove(own)
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
	o.l.Close()
	if file, err := os.Lstat(o.path); err == nil && os.SameFile(file, o.file) {
		os.Remove(o.path)
	}
}

// Serve meets new processes until Close.
func (o *Offer) Serve(s Successor) {
	for {
		c, err := o.l.AcceptUnix()
		if err != nil {
			return
		}
		go meet(c, s)
	}
}

func meet(c *net.UnixConn, s Successor) {
	defer c.Close()
	if trusted(c) != nil {
		return
	}
	terms, socket, err := s.Joins()
	if err != nil {
		return
	}
	defer s.Left()
	text, err := json.Marshal(terms)
	if err != nil {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	c.SetDeadline(time.Now().Add(answering))
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
	if _, err := io.ReadFull(c, word[:]); err == nil && word[0] == readyWord {
		s.Serves()
		io.Copy(io.Discard, c)
	}
}

// trusted tells whether the other side is a process of the same user: a folder that others may write to
// must not let them have our clients.
func trusted(c *net.UnixConn) error {
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

// Share sets on a socket, before it is bound, that a later process may listen at its address too: the way
// where none of the above is to be had.
func Share(_, _ string, raw syscall.RawConn) error {
	// An error is no reason not to listen: it only leaves the address to this process alone.
	return raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
}
