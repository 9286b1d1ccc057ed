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

// Predecessor is the process that has served the address so far, from the successor's point of view.
type Predecessor struct {
	State
	Listener net.Listener // shares the predecessor's listening socket
	conn     *net.UnixConn
	exited   chan struct{} // closed when conn has ended
}

// Join takes over the listening socket from the process that listens for successors at path, within the
// timeout. It returns nil and no error if there is no such process, including if path is a socket file that a
// killed process has left behind.
func Join(path string, timeout time.Duration) (*Predecessor, error) {
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil, nil
	} else if err != nil {
		return nil, err // it is unknown whether there is such a process
	}
	address, release, err := shortenPath(path)
	if err != nil {
		return nil, err
	}
	defer release()
	conn, err := (&net.Dialer{Timeout: timeout}).Dial("unix", address)
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	p := &Predecessor{conn: conn.(*net.UnixConn), exited: make(chan struct{})}
	conn.SetDeadline(time.Now().Add(timeout))
	if err := p.receiveState(); err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetDeadline(time.Time{})
	go func() {
		_, _ = io.Copy(io.Discard, conn) // whatever ends the connection, the predecessor has exited
		close(p.exited)
	}()
	return p, nil
}

// receiveState reads the state and the listening socket, which is passed with the first byte.
func (p *Predecessor) receiveState() error {
	if err := checkPeerUser(p.conn); err != nil {
		return err
	}
	var size [4]byte
	rights := make([]byte, unix.CmsgSpace(descriptorBytes))
	n, rightsBytes, _, _, err := p.conn.ReadMsgUnix(size[:], rights)
	if err != nil {
		return err
	}
	file, err := receivedSocket(rights[:rightsBytes])
	if err != nil {
		return err
	}
	defer file.Close()
	if _, err := io.ReadFull(p.conn, size[n:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(size[:])
	if length > maxStateBytes {
		return fmt.Errorf("announced state of %d bytes is too large", length)
	}
	encoded := make([]byte, length)
	if _, err := io.ReadFull(p.conn, encoded); err != nil {
		return err
	}
	if err := json.Unmarshal(encoded, &p.State); err != nil {
		return err
	}
	p.Listener, err = net.FileListener(file)
	return err
}

// receivedSocket returns the socket that was passed in the control messages, of which there must be one with
// one socket. The caller closes it.
func receivedSocket(rights []byte) (*os.File, error) {
	messages, err := unix.ParseSocketControlMessage(rights)
	if err != nil {
		return nil, fmt.Errorf("parse control message of the listening socket: %w", err)
	}
	if len(messages) != 1 {
		return nil, fmt.Errorf("received %d control messages, want one", len(messages))
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil {
		return nil, fmt.Errorf("parse descriptors of the listening socket: %w", err)
	}
	if len(fds) != 1 {
		return nil, fmt.Errorf("received %d sockets, want one", len(fds))
	}
	unix.CloseOnExec(fds[0])
	return os.NewFile(uintptr(fds[0]), "listener"), nil
}

// SendReady notifies the predecessor that this process accepts clients.
func (p *Predecessor) SendReady() error {
	if err := p.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := p.conn.Write([]byte{readyByte})
	return err
}

// Exited returns a channel that is closed when the predecessor has exited.
func (p *Predecessor) Exited() <-chan struct{} { return p.exited }

// Close closes the connection, which the predecessor takes as the exit of this process.
func (p *Predecessor) Close() { _ = p.conn.Close() } // its error is ignored: no data is left to be written
