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

// Incumbent is implemented by the process that serves the address. Each successor has a goroutine that calls
// the methods.
type Incumbent interface {
	// SuccessorJoined returns the state and the listening socket for a successor that has connected. It may
	// block.
	SuccessorJoined() (State, syscall.Conn, error)
	// SuccessorReady is called when the successor accepts clients.
	SuccessorReady()
	// SuccessorExited is called when the successor's connection has ended, once after each SuccessorJoined that
	// returned no error.
	SuccessorExited()
}

// SuccessorListener accepts connections of successors on a Unix socket.
type SuccessorListener struct {
	listener   *net.UnixListener
	path       string
	socketFile os.FileInfo // the socket file that this process created at path
}

// Listen listens for successors on a Unix socket at path, in place of any process that has listened there.
func Listen(path string) (*SuccessorListener, error) {
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	if err := os.Remove(temporary); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	address, release, err := shortenPath(temporary)
	if err != nil {
		return nil, err
	}
	defer release()
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: address, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // the file may be a successor's socket by then
	// The rename replaces another process's socket file atomically, and only after this process listens.
	if err := os.Rename(temporary, path); err != nil {
		return nil, errors.Join(err, l.Close(), os.Remove(temporary))
	}
	socketFile, err := os.Lstat(path)
	if err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return &SuccessorListener{l, path, socketFile}, nil
}

// Close ends Serve and removes the socket file, unless a successor has replaced it by its own. Errors are
// ignored: connections to a file that remains are refused, which Join treats like a missing file.
func (l *SuccessorListener) Close() {
	_ = l.listener.Close()
	if file, err := os.Lstat(l.path); err == nil && os.SameFile(file, l.socketFile) {
		_ = os.Remove(l.path)
	}
}

// Serve accepts connections of successors until Close.
func (l *SuccessorListener) Serve(incumbent Incumbent) {
	for {
		c, err := l.listener.AcceptUnix()
		if err != nil {
			return
		}
		go serveSuccessor(c, incumbent)
	}
}

// serveSuccessor sends the state and the socket to one successor and reads from its connection until it
// exits. An error ends the handover to this successor only.
func serveSuccessor(c *net.UnixConn, incumbent Incumbent) {
	defer func() { _ = c.Close() }() // no data can be lost: the successor has all, or has exited
	if checkPeerUser(c) != nil {
		return
	}
	state, socket, err := incumbent.SuccessorJoined()
	if err != nil {
		return
	}
	defer incumbent.SuccessorExited()
	if sendState(c, state, socket) != nil {
		return
	}
	var message [1]byte
	if _, err := io.ReadFull(c, message[:]); err == nil && message[0] == readyByte {
		incumbent.SuccessorReady()
		_, _ = io.Copy(io.Discard, c) // whatever ends the connection, the successor has exited
	}
}

// sendState writes the state and passes the socket in a control message with its first byte.
func sendState(c *net.UnixConn, state State, socket syscall.Conn) error {
	encoded, err := json.Marshal(state)
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
		size := binary.BigEndian.AppendUint32(nil, uint32(len(encoded)))
		if _, _, err = c.WriteMsgUnix(size, unix.UnixRights(int(fd)), nil); err == nil {
			_, err = c.Write(encoded)
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
