package handover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Incumbent is the process that serves the address, as a SuccessorListener sees it. Its methods are called from one
// goroutine for each successor.
type Incumbent interface {
	// SuccessorJoined returns the terms and the listening socket for a process that has connected; it may wait.
	SuccessorJoined() (State, syscall.Conn, error)
	// SuccessorReady is called when that process accepts clients.
	SuccessorReady()
	// SuccessorExited is called when its connection has ended; it follows each SuccessorJoined without error.
	SuccessorExited()
}

// SuccessorListener is the Unix socket by which successors find this process.
type SuccessorListener struct {
	listener   *net.UnixListener
	path       string
	socketFile os.FileInfo // of the socket that this process made at path
}

// Listen makes this process the one that successors find at path, in place of any other process.
func Listen(path string) (*SuccessorListener, error) {
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	if err := os.Remove(temporary); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	address, release, err := shortPath(temporary)
	if err != nil {
		return nil, err
	}
	defer release()
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: address, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // by then a successor's socket may have this name
	// The rename replaces another process's socket atomically, and only once this one listens.
	if err := os.Rename(temporary, path); err != nil {
		return nil, errors.Join(err, l.Close(), os.Remove(temporary))
	}
	socketFile, err := os.Lstat(path)
	if err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return &SuccessorListener{l, path, socketFile}, nil
}

// Close ends Serve and removes the socket's file, unless a successor has replaced it by its own. Errors are
// ignored: a file that stays refuses connections, which Join takes for no process.
func (o *SuccessorListener) Close() {
	_ = o.listener.Close()
	if file, err := os.Lstat(o.path); err == nil && os.SameFile(file, o.socketFile) {
		_ = os.Remove(o.path)
	}
}

// Serve accepts successors until Close.
func (o *SuccessorListener) Serve(incumbent Incumbent) {
	for {
		c, err := o.listener.AcceptUnix()
		if err != nil {
			return
		}
		go serveSuccessor(c, incumbent)
	}
}

// serveSuccessor sends one successor the terms and watches its connection until it exits. An error ends the
// handover to this successor only.
func serveSuccessor(c *net.UnixConn, incumbent Incumbent) {
	defer func() { _ = c.Close() }() // nothing unsent can be lost: the successor has all, or has exited
	if checkPeerUser(c) != nil {
		return
	}
	terms, socket, err := incumbent.SuccessorJoined()
	if err != nil {
		return
	}
	defer incumbent.SuccessorExited()
	if sendState(c, terms, socket) != nil {
		return
	}
	var message [1]byte
	if _, err := io.ReadFull(c, message[:]); err == nil && message[0] == readyByte {
		incumbent.SuccessorReady()
		_, _ = io.Copy(io.Discard, c) // however the connection ends, the successor has exited
	}
}

// sendState writes the terms, with the socket as a control message of their first byte.
func sendState(c *net.UnixConn, terms State, socket syscall.Conn) error {
	text, err := json.Marshal(terms)
	if err != nil {
		return err
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	if err := c.SetDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	controlErr := raw.Control(func(fd uintptr) {
		size := binary.BigEndian.AppendUint32(nil, uint32(len(text)))
		if _, _, err = c.WriteMsgUnix(size, unix.UnixRights(int(fd)), nil); err == nil {
			_, err = c.Write(text)
		}
	})
	if controlErr != nil {
		return controlErr
	}
	if err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}
